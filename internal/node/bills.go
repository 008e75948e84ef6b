package node

import (
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/billfold"
	"github.com/monsoonrail/monsoonrail/internal/billing"
	"github.com/monsoonrail/monsoonrail/internal/idem"
	"github.com/monsoonrail/monsoonrail/internal/noderpc"
	"github.com/monsoonrail/monsoonrail/internal/peer"
	"github.com/monsoonrail/monsoonrail/internal/router"
	"github.com/monsoonrail/monsoonrail/internal/supervisor"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// holdInterval is the mean time between two messages of bills to the peer that holds them. Under load the end of a stream waits
// for at most this long; a node that sends fewer answers than messages per second doesn't wait.
const holdInterval = 100 * time.Millisecond

// makeBills creates the biller, the holder of other nodes' bills and the duties that fold bills into totals.
func (n *Node) makeBills() {
	transport := tcp.NewHTTP2Transport(n.opts.Network)
	n.parts.onClose = append(n.parts.onClose, transport.CloseIdleConnections)
	peerClient := noderpc.NewClient(noderpc.ClientOptions{
		HTTP:    &http.Client{Transport: n.peerKeys().SignTransport(transport)},
		FindURL: n.findPeerURL,
	})
	n.peerClient = peerClient
	n.biller = billing.NewBiller(billing.Options{
		Node: n.opts.Settings.Node.NodeID(), Incarnation: n.incarnation, Store: n.store, HoldClient: peerClient,
		Peers: n.billPeers, HoldInterval: holdInterval, Rand: n.newRand(streamBills), Log: n.log,
	})
	n.billHolder = billing.NewBatchHolder(billing.BatchHolderOptions{Store: n.store, IsAlive: n.isAlive, IsReplaced: n.isReplaced, Log: n.log})
	foldRunner := billfold.NewRunner(billfold.RunnerOptions{
		Store: n.store, Node: n.opts.Settings.Node.NodeID(), Nodes: n.liveNodes, Log: n.log,
	})
	n.parts.bills = billAdder{n.biller}
	n.parts.duties = append(n.parts.duties,
		supervisor.Duty{Name: "bill-hold", Run: n.biller.RunHold},
		supervisor.Duty{Name: "bill-flush", Run: n.biller.RunFlush},
		supervisor.Duty{Name: "bill-keeper", Run: n.billHolder.Run},
		supervisor.Duty{Name: "bill-fold", Run: foldRunner.Run})
	n.parts.onFlush = append(n.parts.onFlush, func(ctx context.Context) {
		if err := n.biller.Close(ctx); err != nil {
			n.log.WithError(err).Warn("bills left with the peer that holds them")
		}
	})
}

func (n *Node) peerKeys() peer.Keys {
	return peer.Keys(secretBytes([]string{n.opts.Settings.Secrets.Peer}))
}

// findPeerURL returns the base URL of a live node's peer API.
func (n *Node) findPeerURL(node api.NodeID) (string, bool) {
	for _, member := range n.cluster.exchange.Members() {
		if member.Node == node {
			return "http://" + member.PeerAddress, true
		}
	}
	snapshot, _ := n.parts.vms.Snapshot()
	for _, entry := range snapshot.Nodes {
		if entry.ID == node {
			return n.peerURLOf(entry.Address)
		}
	}
	return "", false
}

// peerURLOf returns the base URL of the peer API of a node on the VM list. It assumes that all nodes use the same peer port.
func (n *Node) peerURLOf(callerAddress string) (string, bool) {
	host, _, err := net.SplitHostPort(callerAddress)
	_, port, ownErr := net.SplitHostPort(n.opts.Settings.Node.PeerAddress())
	if err != nil || ownErr != nil {
		return "", false
	}
	return "http://" + net.JoinHostPort(host, port), true
}

// billPeers lists the nodes that may hold this node's bills. Those of other failure domains come first, so that the loss of a
// failure domain loses no bill.
func (n *Node) billPeers() []api.NodeID {
	own := n.self(n.started)
	var otherDomains, ownDomain []api.NodeID
	for _, member := range n.cluster.exchange.Members() {
		switch {
		case member.Node == own.Node || member.Draining:
		case member.FailureDomain == own.FailureDomain:
			ownDomain = append(ownDomain, member.Node)
		default:
			otherDomains = append(otherDomains, member.Node)
		}
	}
	return slices.Concat(otherDomains, ownDomain)
}

func (n *Node) isAlive(node api.NodeID, incarnation api.Incarnation) bool {
	return slices.ContainsFunc(n.cluster.exchange.Members(), func(member peer.Member) bool {
		return member.Node == node && member.Incarnation == incarnation
	})
}

// isReplaced reports whether the membership list has another incarnation of a node.
func (n *Node) isReplaced(node api.NodeID, incarnation api.Incarnation) bool {
	return slices.ContainsFunc(n.cluster.exchange.Members(), func(member peer.Member) bool {
		return member.Node == node && member.Incarnation != incarnation
	})
}

// billAdder implements router.Biller.
type billAdder struct{ biller *billing.Biller }

// Add implements router.Biller. The key of a bill is recorded only if the caller chose it: an issued key belongs to one
// incarnation, which bills each request once by its id.
func (b billAdder) Add(ctx context.Context, bill router.Bill) error {
	line := billing.Line{
		RequestID: bill.RequestID, Team: bill.Team, Service: bill.Service, Version: bill.Version,
		PromptTokens: bill.Usage.PromptTokens, AnswerTokens: bill.Usage.CompletionTokens, Cost: bill.Cost, At: bill.At,
		IsWhole: bill.IsWhole,
	}
	if bill.Key != "" && !idem.IsIssued(bill.Key) {
		line.Key = bill.Key
	}
	return b.biller.Add(ctx, line)
}
