package peer_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestUrgentNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 16, 4)
		defer g.close()
		for i := range 16 {
			g.start(i, nodeOptions{})
		}
		time.Sleep(15 * time.Second)
		g.nodes[0].words.add("bad-version")
		g.nodes[0].Notify("words")
		time.Sleep(3 * time.Second)
		for _, n := range g.nodes {
			qt.Assert(t, n.words.all(), qt.DeepEquals, []string{"bad-version"})
		}
		before := g.merged()
		time.Sleep(2 * time.Minute)
		// Once each pair of nodes has acknowledged the other's state, nothing is sent again.
		sent := g.merged() - before
		time.Sleep(2 * time.Minute)
		qt.Assert(t, g.merged()-before-sent <= sent, qt.IsTrue)
		qt.Assert(t, sent <= 16*15, qt.IsTrue, qt.Commentf("%d", sent))
	})
}

// TestNewsOfAllNodesAtOnce checks that all news spreads when every node has news at the same time, several times in a
// row.
func TestNewsOfAllNodesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 16, 2)
		defer g.close()
		for i := range 16 {
			g.start(i, nodeOptions{})
		}
		time.Sleep(15 * time.Second)
		for round := range 10 {
			for i, n := range g.nodes {
				n.words.add(fmt.Sprintf("%02d-%02d", round, i))
				n.Notify("words")
			}
			time.Sleep(150 * time.Millisecond)
		}
		time.Sleep(10 * time.Second)
		for _, n := range g.nodes {
			qt.Assert(t, n.words.all(), qt.HasLen, 160)
		}
	})
}

// TestNewsReachesAPeerCalledBeforeItListened guards against urgent news that skips a node in backoff: a node starts
// after another has called it without success, and must get news at once when it is listed.
func TestNewsReachesAPeerCalledBeforeItListened(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 2, 2)
		defer g.close()
		first := g.start(0, nodeOptions{})
		time.Sleep(8 * time.Second)
		late := g.start(1, nodeOptions{})
		for range 300 {
			if _, ok := first.findMember(late.name); ok {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		first.words.add("bad-version")
		first.Notify("words")
		time.Sleep(100 * time.Millisecond)
		qt.Assert(t, late.words.all(), qt.DeepEquals, []string{"bad-version"})
	})
}

// TestUnreachableCallerIsBackedOff checks that the calls to a peer that makes calls but can't be reached stay few.
func TestUnreachableCallerIsBackedOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 2, 2)
		defer g.close()
		first := g.start(0, nodeOptions{})
		g.start(1, nodeOptions{})
		time.Sleep(10 * time.Second)
		g.network.Kill(ipOf(1))
		before := first.count("peer.failed_calls")
		time.Sleep(10 * time.Minute)
		// Backoffs of 3 s for 15 s, then of 6, 12, 24, 48, 96 and 120 s, with two calls each.
		failed := first.count("peer.failed_calls") - before
		qt.Check(t, failed > 5 && failed <= 30, qt.IsTrue, qt.Commentf("%d", failed))
	})
}

// TestNewsReachesARestartedNode makes a node unreachable that keeps calling for a time, then restarts it: the new
// incarnation must get news at once although the earlier one could not be reached.
func TestNewsReachesARestartedNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 2, 2)
		defer g.close()
		first := g.start(0, nodeOptions{})
		old := g.start(1, nodeOptions{})
		time.Sleep(10 * time.Second)
		g.network.Kill(ipOf(1))
		time.Sleep(20 * time.Second)
		old.stop()
		restarted := g.start(1, nodeOptions{run: 1})
		for range 300 {
			if member, ok := first.findMember(restarted.name); ok && member.Incarnation == "n1-1" {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		first.words.add("bad-version")
		first.Notify("words")
		time.Sleep(100 * time.Millisecond)
		qt.Assert(t, restarted.words.all(), qt.DeepEquals, []string{"bad-version"})
	})
}
