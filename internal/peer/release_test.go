package peer_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/peer"
)

// TestRollingUpgrade checks that two neighbouring releases exchange state, and that a release that is too new is
// rejected and the rejection logged.
func TestRollingUpgrade(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3, 1)
		defer g.close()
		old := g.start(0, nodeOptions{})
		next := g.start(1, nodeOptions{protocol: peer.Protocol + 1, minProtocol: peer.Protocol})
		old.words.add("from-old")
		next.words.add("from-next")
		time.Sleep(10 * time.Second)
		qt.Assert(t, old.words.all(), qt.DeepEquals, []string{"from-next", "from-old"})
		qt.Assert(t, next.words.all(), qt.DeepEquals, []string{"from-next", "from-old"})

		tooNew := g.start(2, nodeOptions{protocol: peer.Protocol + 2, minProtocol: peer.Protocol + 1})
		time.Sleep(10 * time.Second)
		qt.Assert(t, tooNew.words.all(), qt.DeepEquals, []string{"from-next", "from-old"})
		qt.Assert(t, old.stopAndFindRefusal(), qt.IsTrue)
		qt.Assert(t, next.stopAndFindRefusal(), qt.IsFalse)
	})
}

func TestWrongKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 2, 1)
		defer g.close()
		right := g.start(0, nodeOptions{})
		wrong := g.start(1, nodeOptions{keys: peer.Keys{[]byte("other")}})
		wrong.words.add("forged")
		time.Sleep(10 * time.Second)
		qt.Assert(t, right.words.all(), qt.HasLen, 0)
		qt.Assert(t, right.Members(), qt.HasLen, 1)
		qt.Assert(t, wrong.stopAndFindRefusal(), qt.IsTrue)
	})
}

// TestKeyIsReplaced checks each step of replacing the shared key: nodes of two consecutive steps must accept each
// other.
func TestKeyIsReplaced(t *testing.T) {
	before, after := []byte("before"), []byte("after")
	steps := []peer.Keys{{before}, {before, after}, {after, before}, {after}}
	for i := range len(steps) - 1 {
		synctest.Test(t, func(t *testing.T) {
			g := newGroup(t, 2, 1)
			defer g.close()
			a := g.start(0, nodeOptions{keys: steps[i]})
			b := g.start(1, nodeOptions{keys: steps[i+1]})
			a.words.add("a")
			b.words.add("b")
			time.Sleep(10 * time.Second)
			qt.Assert(t, a.words.all(), qt.DeepEquals, []string{"a", "b"})
			qt.Assert(t, b.words.all(), qt.DeepEquals, []string{"a", "b"})
			qt.Assert(t, a.stopAndFindRefusal() || b.stopAndFindRefusal(), qt.IsFalse)
		})
	}
}
