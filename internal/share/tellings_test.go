package share

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/peer"
)

// gossipNodes are nodes of one failure domain. Each exchanges records with one random peer per second.
type gossipNodes struct {
	states []counts
	topics []*Topic[count]
	// sentUpTo holds, by sender and receiver, the version of the sender's topic that the receiver has.
	sentUpTo [][]uint64
	// sentPayloads counts, by sender and key, the payloads that included the key.
	sentPayloads map[int]map[string]int
	// cutOff holds the nodes whose payloads to and from others are lost.
	cutOff map[int]bool
	rand   *rand.Rand
}

// newGossipNodes returns nodes that have exchanged their records with each other.
func newGossipNodes(size int) *gossipNodes {
	c := &gossipNodes{sentPayloads: make(map[int]map[string]int), cutOff: make(map[int]bool), rand: rand.New(rand.NewPCG(1, 1))}
	for i := range size {
		c.states = append(c.states, counts{"first": {Key: "first", Value: 1}})
		c.topics = append(c.topics, c.states[i].topic())
		c.sentUpTo = append(c.sentUpTo, make([]uint64, size))
		c.sentPayloads[i] = make(map[string]int)
	}
	for from := range size {
		for to := range size {
			c.send(from, to)
		}
	}
	return c
}

func (c *gossipNodes) send(from, to int) {
	payload, version := c.topics[from].Since(c.sentUpTo[from][to], peer.Member{FailureDomain: "home"}, 64<<10)
	if records, err := Unpack[count](payload, nil); err == nil {
		for _, r := range records {
			c.sentPayloads[from][r.Key]++
		}
	}
	if c.cutOff[from] || c.cutOff[to] {
		return
	}
	c.sentUpTo[from][to] = version
	if len(payload) > 0 {
		_, _ = c.topics[to].Merge(peer.Member{}, payload)
	}
}

func (c *gossipNodes) exchangeFor(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
		for from := range c.topics {
			if to := c.rand.IntN(len(c.topics)); to != from {
				c.send(from, to)
				c.send(to, from)
			}
		}
	}
}

// nodesWith returns the number of nodes that have a record for a key.
func (c *gossipNodes) nodesWith(key string) (nodes int) {
	for _, state := range c.states {
		if _, ok := state[key]; ok {
			nodes++
		}
	}
	return nodes
}

// TestFewSendsReachAllNodes checks that a record of one node reaches all thirty although no node sends it more than maxSends times, and
// guards against a record that never spreads because all payloads with it were lost.
func TestFewSendsReachAllNodes(t *testing.T) {
	const size = 30
	synctest.Test(t, func(t *testing.T) {
		c := newGossipNodes(size)
		c.states[3].apply([]count{{Key: "news", Value: 1}}, time.Now())
		c.exchangeFor(15 * time.Second)
		qt.Check(t, c.nodesWith("news"), qt.Equals, size)
		for node, carried := range c.sentPayloads {
			qt.Check(t, carried["news"] <= maxSends, qt.IsTrue, qt.Commentf("node %d: %d", node, carried["news"]))
		}

		c.cutOff[3] = true
		c.states[3].apply([]count{{Key: "lost", Value: 1}}, time.Now())
		c.exchangeFor(time.Minute)
		c.cutOff[3] = false
		qt.Check(t, c.nodesWith("lost"), qt.Equals, 1)
		c.exchangeFor(3 * resendInterval)
		qt.Check(t, c.nodesWith("lost"), qt.Equals, size)
	})
}

// TestNewNodeGetsAllRecords checks that a node without records also gets those that were already sent maxSends times.
func TestNewNodeGetsAllRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newGossipNodes(12)
		c.states[0].apply([]count{{Key: "news", Value: 1}}, time.Now())
		c.exchangeFor(time.Minute)
		newNode := counts{}
		payload, _ := c.topics[5].Since(0, peer.Member{FailureDomain: "home"}, 64<<10)
		_, err := newNode.topic().Merge(peer.Member{}, payload)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, newNode, qt.DeepEquals, c.states[5])
	})
}
