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
	g := &gossipNodes{sentPayloads: make(map[int]map[string]int), cutOff: make(map[int]bool), rand: rand.New(rand.NewPCG(1, 1))}
	for i := range size {
		g.states = append(g.states, counts{"first": {Key: "first", Value: 1}})
		g.topics = append(g.topics, g.states[i].topic())
		g.sentUpTo = append(g.sentUpTo, make([]uint64, size))
		g.sentPayloads[i] = make(map[string]int)
	}
	for from := range size {
		for to := range size {
			g.send(from, to)
		}
	}
	return g
}

func (g *gossipNodes) send(from, to int) {
	payload, version := g.topics[from].Since(g.sentUpTo[from][to], peer.Member{FailureDomain: "home"}, 64<<10)
	if records, err := Unpack[count](payload, nil); err == nil {
		for _, r := range records {
			g.sentPayloads[from][r.Key]++
		}
	}
	if g.cutOff[from] || g.cutOff[to] {
		return
	}
	g.sentUpTo[from][to] = version
	if len(payload) > 0 {
		_, _ = g.topics[to].Merge(peer.Member{}, payload)
	}
}

func (g *gossipNodes) exchangeFor(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
		for from := range g.topics {
			if to := g.rand.IntN(len(g.topics)); to != from {
				g.send(from, to)
				g.send(to, from)
			}
		}
	}
}

// nodesWith returns the number of nodes that have a record for a key.
func (g *gossipNodes) nodesWith(key string) (nodes int) {
	for _, state := range g.states {
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
		g := newGossipNodes(size)
		g.states[3].apply([]count{{Key: "news", Value: 1}}, time.Now())
		g.exchangeFor(15 * time.Second)
		qt.Check(t, g.nodesWith("news"), qt.Equals, size)
		for node, sent := range g.sentPayloads {
			qt.Check(t, sent["news"] <= maxSends, qt.IsTrue, qt.Commentf("node %d: %d", node, sent["news"]))
		}

		g.cutOff[3] = true
		g.states[3].apply([]count{{Key: "lost", Value: 1}}, time.Now())
		g.exchangeFor(time.Minute)
		g.cutOff[3] = false
		qt.Check(t, g.nodesWith("lost"), qt.Equals, 1)
		g.exchangeFor(3 * resendInterval)
		qt.Check(t, g.nodesWith("lost"), qt.Equals, size)
	})
}

// TestNewNodeGetsAllRecords checks that a node without records also gets those that were already sent maxSends times.
func TestNewNodeGetsAllRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGossipNodes(12)
		g.states[0].apply([]count{{Key: "news", Value: 1}}, time.Now())
		g.exchangeFor(time.Minute)
		newNode := counts{}
		payload, _ := g.topics[5].Since(0, peer.Member{FailureDomain: "home"}, 64<<10)
		_, err := newNode.topic().Merge(peer.Member{}, payload)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, newNode, qt.DeepEquals, g.states[5])
	})
}
