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
		// Once each pair of nodes knows what the other has, nothing is sent again.
		sent := g.merged() - before
		time.Sleep(2 * time.Minute)
		qt.Assert(t, g.merged()-before-sent <= sent, qt.IsTrue)
		qt.Assert(t, sent <= 16*15, qt.IsTrue, qt.Commentf("%d", sent))
	})
}

// TestNewsFromAllSides lets every node have news at the same time, several times.
func TestNewsFromAllSides(t *testing.T) {
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

// TestNewsReachesAPeerThatWasCalledTooEarly starts a node after another has called it in vain: once it is heard of, news goes
// to it at once.
func TestNewsReachesAPeerThatWasCalledTooEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 2, 2)
		defer g.close()
		first := g.start(0, nodeOptions{})
		time.Sleep(8 * time.Second)
		late := g.start(1, nodeOptions{})
		for range 300 {
			if _, ok := first.sees(late.name); ok {
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

// TestPeerThatOnlyCallsIsLeftAlone lets a node call others that can't call it.
func TestPeerThatOnlyCallsIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 2, 2)
		defer g.close()
		first := g.start(0, nodeOptions{})
		g.start(1, nodeOptions{})
		time.Sleep(10 * time.Second)
		g.network.Kill(ipOf(1))
		before := first.count("peer.failed_calls")
		time.Sleep(10 * time.Minute)
		// Waits of 3 s for 15 s, of 6, 12, 24, 48, 96 and then 120 s, with two calls each.
		failed := first.count("peer.failed_calls") - before
		qt.Check(t, failed > 5 && failed <= 30, qt.IsTrue, qt.Commentf("%d", failed))
	})
}

// TestNewsReachesANodeThatBeganAnew kills a node that goes on calling for a while, and starts it again: the new incarnation gets news
// at once although the one before could not be called.
func TestNewsReachesANodeThatBeganAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 2, 2)
		defer g.close()
		first := g.start(0, nodeOptions{})
		old := g.start(1, nodeOptions{})
		time.Sleep(10 * time.Second)
		g.network.Kill(ipOf(1))
		time.Sleep(20 * time.Second)
		old.stop()
		again := g.start(1, nodeOptions{run: 1})
		for range 300 {
			if member, ok := first.sees(again.name); ok && member.Incarnation == "n1-1" {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		first.words.add("bad-version")
		first.Notify("words")
		time.Sleep(100 * time.Millisecond)
		qt.Assert(t, again.words.all(), qt.DeepEquals, []string{"bad-version"})
	})
}
