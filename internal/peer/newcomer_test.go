package peer_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestNewcomer starts a node in a failure domain of the target size. The node and all others must list each other
// within 15 seconds, and the node must stay within its byte budget from its first minute on.
func TestNewcomer(t *testing.T) {
	const (
		size           = 59
		bytesPerSecond = 6 * 1024
	)
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, size, 1)
		defer g.close()
		for i := range size - 1 {
			g.start(i, nodeOptions{})
		}
		time.Sleep(time.Minute)
		g.nodes[3].SetDraining(true)
		time.Sleep(2 * time.Minute)
		newcomer := g.start(size-1, nodeOptions{run: 1})
		time.Sleep(15 * time.Second)
		for _, n := range g.nodes {
			qt.Check(t, n.Members(), qt.HasLen, size)
		}
		draining, _ := newcomer.findMember("n3")
		qt.Check(t, draining.Draining, qt.IsTrue)
		time.Sleep(45 * time.Second)
		// The node serves about as many calls as it makes, and the counter covers only the latter; hence the factor of 2.
		qt.Check(t, 2*newcomer.count("peer.bytes.wire") <= 60*bytesPerSecond, qt.IsTrue, qt.Commentf("%d", newcomer.count("peer.bytes.wire")))
	})
}
