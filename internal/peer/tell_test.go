package peer_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/peer"
)

// TestTell tells a member something at once, and says so of a release, a run or a member that does not take it.
func TestTell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 4, 1)
		defer g.close()
		teller := g.start(0, nodeOptions{})
		taker := g.start(1, nodeOptions{})
		g.start(2, nodeOptions{protocol: peer.DirectSendProtocol - 1})
		time.Sleep(20 * time.Second)
		var told peer.Member
		told, _ = teller.sees("n1")
		qt.Check(t, told.Protocol, qt.Equals, uint32(peer.Protocol))
		earlier, _ := teller.sees("n2")
		qt.Check(t, earlier.Protocol, qt.Equals, uint32(peer.DirectSendProtocol-1))
		qt.Check(t, teller.words.protocolOf("n1"), qt.Equals, uint32(peer.Protocol))
		qt.Check(t, teller.words.protocolOf("n2"), qt.Equals, uint32(peer.DirectSendProtocol-1))

		calls := make(map[string]error)
		for name, to := range map[string]peer.Member{"taker": told, "earlier release": earlier, "another run": {
			Node: told.Node, Incarnation: "n1-before", PeerAddress: told.PeerAddress, FailureDomain: told.FailureDomain,
		}, "nobody": {Node: "n3", Incarnation: "n3-0", PeerAddress: g.seeds[3].PeerAddress, FailureDomain: "d0"}} {
			calls[name] = teller.Send(t.Context(), to, teller.words.Name(), []byte("\x04told"))
		}
		qt.Check(t, calls["taker"], qt.IsNil)
		qt.Check(t, taker.words.all(), qt.DeepEquals, []string{"told"})
		var notTaken *peer.ErrNotAccepted
		qt.Check(t, calls["earlier release"], qt.ErrorAs, &notTaken)
		qt.Check(t, calls["another run"], qt.ErrorAs, &notTaken)
		qt.Check(t, calls["nobody"], qt.IsNotNil)
	})
}
