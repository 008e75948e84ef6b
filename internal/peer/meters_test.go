package peer_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
)

// count returns the value of a counter of the node, 0 if there is none.
func (n *node) count(name string) int64 {
	counter, ok := n.registry.Get(name).(metrics.Counter)
	if !ok {
		return 0
	}
	return counter.Count()
}

// TestBytesByContentAddUp checks that the byte counts by content add up to that of the messages, and that the
// connections carry more than the messages.
func TestBytesByContentAddUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 4, 2)
		defer g.close()
		for i := range 4 {
			g.start(i, nodeOptions{})
		}
		g.nodes[0].words.add(strings.Repeat("x", 100))
		time.Sleep(15 * time.Second)
		for _, n := range g.nodes {
			n.stop()
			parts := int64(0)
			for _, name := range []string{"records", "heartbeats", "envelope", "fetches", "topic.words"} {
				parts += n.count("peer.bytes." + name)
			}
			qt.Check(t, parts, qt.Equals, n.count("peer.bytes.messages"))
			qt.Check(t, n.count("peer.bytes.topic.words") >= 100, qt.IsTrue)
			qt.Check(t, n.count("peer.bytes.heartbeats") > 0, qt.IsTrue)
			qt.Check(t, n.count("peer.bytes.wire") > n.count("peer.bytes.messages"), qt.IsTrue)
		}
	})
}
