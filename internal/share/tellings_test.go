package share

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/peer"
)

// talkers are nodes of one failure domain that talk with each other at random, one a second each.
type talkers struct {
	states []counts
	topics []*Topic[count]
	// marks holds the version of a node's topic that another has.
	marks [][]uint64
	// carried counts the payloads that a node sent and that held a key.
	carried map[int]map[string]int
	// cut nodes send, but nothing of it arrives.
	cut  map[int]bool
	rand *rand.Rand
}

// newTalkers returns nodes that have all exchanged what they have.
func newTalkers(size int) *talkers {
	c := &talkers{carried: make(map[int]map[string]int), cut: make(map[int]bool), rand: rand.New(rand.NewPCG(1, 1))}
	for i := range size {
		c.states = append(c.states, counts{"first": {Key: "first", Value: 1}})
		c.topics = append(c.topics, c.states[i].topic())
		c.marks = append(c.marks, make([]uint64, size))
		c.carried[i] = make(map[string]int)
	}
	for from := range size {
		for to := range size {
			c.send(from, to)
		}
	}
	return c
}

func (c *talkers) send(from, to int) {
	payload, version := c.topics[from].Since(c.marks[from][to], peer.Member{FailureDomain: "home"}, 64<<10)
	if records, err := Unpack[count](payload, nil); err == nil {
		for _, r := range records {
			c.carried[from][r.Key]++
		}
	}
	if c.cut[from] || c.cut[to] {
		return
	}
	c.marks[from][to] = version
	if len(payload) > 0 {
		_, _ = c.topics[to].Merge(peer.Member{}, payload)
	}
}

func (c *talkers) talkFor(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
		for from := range c.topics {
			if to := c.rand.IntN(len(c.topics)); to != from {
				c.send(from, to)
				c.send(to, from)
			}
		}
	}
}

// knowing counts the nodes that know a key.
func (c *talkers) knowing(key string) (known int) {
	for _, state := range c.states {
		if _, ok := state[key]; ok {
			known++
		}
	}
	return known
}

// TestFewTellingsReachAll has news of one node reach thirty while no node tells it to more than a few, and brings news that was lost
// with all its tellings on its way again.
func TestFewTellingsReachAll(t *testing.T) {
	const size = 30
	synctest.Test(t, func(t *testing.T) {
		c := newTalkers(size)
		c.states[3].apply([]count{{Key: "news", Value: 1}}, time.Now())
		c.talkFor(15 * time.Second)
		qt.Check(t, c.knowing("news"), qt.Equals, size)
		for node, carried := range c.carried {
			qt.Check(t, carried["news"] <= maxTellings, qt.IsTrue, qt.Commentf("node %d: %d", node, carried["news"]))
		}

		c.cut[3] = true
		c.states[3].apply([]count{{Key: "lost", Value: 1}}, time.Now())
		c.talkFor(time.Minute)
		c.cut[3] = false
		qt.Check(t, c.knowing("lost"), qt.Equals, 1)
		c.talkFor(3 * repeatAfter)
		qt.Check(t, c.knowing("lost"), qt.Equals, size)
	})
}

// TestNewcomerIsToldAll checks that whoever was told nothing yet gets also what no others are told any more.
func TestNewcomerIsToldAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTalkers(12)
		c.states[0].apply([]count{{Key: "news", Value: 1}}, time.Now())
		c.talkFor(time.Minute)
		newcomer := counts{}
		payload, _ := c.topics[5].Since(0, peer.Member{FailureDomain: "home"}, 64<<10)
		_, err := newcomer.topic().Merge(peer.Member{}, payload)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, newcomer, qt.DeepEquals, c.states[5])
	})
}
