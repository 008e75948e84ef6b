package peer_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestNewcomer starts a node in a failure domain of the size to come: it must know all others soon, and they it, and stay within
// a node's budget of bytes from its first minute on.
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
		draining, _ := newcomer.sees("n3")
		qt.Check(t, draining.Draining, qt.IsTrue)
		time.Sleep(45 * time.Second)
		// It serves as many calls as it begins.
		qt.Check(t, 2*newcomer.count("peer.bytes.wire") <= 60*bytesPerSecond, qt.IsTrue, qt.Commentf("%d", newcomer.count("peer.bytes.wire")))
	})
}
