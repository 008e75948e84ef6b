package peer_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/peer"
)

// TestSend checks that a payload sent directly reaches a member, and that Send fails for an earlier release, another
// incarnation and a node that is not running.
func TestSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 4, 1)
		defer g.close()
		sender := g.start(0, nodeOptions{})
		receiver := g.start(1, nodeOptions{})
		g.start(2, nodeOptions{protocol: peer.DirectSendProtocol - 1})
		time.Sleep(20 * time.Second)
		var member peer.Member
		member, _ = sender.findMember("n1")
		qt.Check(t, member.Protocol, qt.Equals, uint32(peer.Protocol))
		earlier, _ := sender.findMember("n2")
		qt.Check(t, earlier.Protocol, qt.Equals, uint32(peer.DirectSendProtocol-1))
		qt.Check(t, sender.words.protocolOf("n1"), qt.Equals, uint32(peer.Protocol))
		qt.Check(t, sender.words.protocolOf("n2"), qt.Equals, uint32(peer.DirectSendProtocol-1))

		errs := make(map[string]error)
		for name, to := range map[string]peer.Member{"taker": member, "earlier release": earlier, "another run": {
			Node: member.Node, Incarnation: "n1-before", PeerAddress: member.PeerAddress, FailureDomain: member.FailureDomain,
		}, "nobody": {Node: "n3", Incarnation: "n3-0", PeerAddress: g.seeds[3].PeerAddress, FailureDomain: "d0"}} {
			errs[name] = sender.Send(t.Context(), to, sender.words.Name(), []byte("\x04told"))
		}
		qt.Check(t, errs["taker"], qt.IsNil)
		qt.Check(t, receiver.words.all(), qt.DeepEquals, []string{"told"})
		var notAccepted *peer.ErrNotAccepted
		qt.Check(t, errs["earlier release"], qt.ErrorAs, &notAccepted)
		qt.Check(t, errs["another run"], qt.ErrorAs, &notAccepted)
		qt.Check(t, errs["nobody"], qt.IsNotNil)
	})
}
