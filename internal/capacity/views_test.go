package capacity_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/monsoonrail/monsoonrail/internal/capacity"
	"github.com/monsoonrail/monsoonrail/internal/fake/memnet"
	"github.com/monsoonrail/monsoonrail/internal/peer"
	"github.com/monsoonrail/monsoonrail/internal/rendezvous"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// nodesOfView is how many nodes a failure domain has in the measurement of views.
	nodesOfView = 20
	// dutyCandidates is how many nodes internal/node lets try to take a duty.
	dutyCandidates = 3
)

// views tells how many nodes take themselves or others for the few of a kind.
type views struct{ members, candidates, gatherers, lagging float64 }

// measureViews lets exchanges find each other and asks each for its view.
func measureViews(t *testing.T, domains int) views {
	var seen views
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		network := memnet.New()
		exchanges := make([]*peer.Exchange, nodesOfView*domains)
		seeds := make([]peer.Seed, len(exchanges))
		for i := range seeds {
			seeds[i] = peer.Seed{PeerAddress: peerAddress(i), FailureDomain: api.FailureDomain(fmt.Sprint(i % domains))}
		}
		var running sync.WaitGroup
		var servers []*http.Server
		for i := range exchanges {
			self := peer.Member{
				Node: nodeName(i), Incarnation: api.Incarnation(fmt.Sprint("run-", i)), Started: time.Now(), Address: seeds[i].PeerAddress,
				PeerAddress: seeds[i].PeerAddress, FailureDomain: seeds[i].FailureDomain, Region: "home",
			}
			exchange, err := peer.New(peer.Options{
				Self: self, Keys: peer.Keys{[]byte("a shared key")}, Seeds: func() []peer.Seed { return seeds },
				Network: network.Host(hostOf(i)), Log: quiet, Metrics: metrics.NewRegistry(), Rand: rand.New(rand.NewPCG(1, uint64(i))),
			})
			qt.Assert(t, err, qt.IsNil)
			mux := http.NewServeMux()
			mux.Handle(exchange.Handler())
			listener, err := network.Host(hostOf(i)).Listen(ctx, seeds[i].PeerAddress)
			qt.Assert(t, err, qt.IsNil)
			server := &http.Server{Handler: mux}
			running.Go(func() { _ = server.Serve(listener) })
			running.Go(func() { _ = exchange.Run(ctx) })
			exchanges[i], servers = exchange, append(servers, server)
		}
		time.Sleep(lasting())
		seen = viewsOf(exchanges, func(i int) int { return i % domains })
		cancel()
		for _, server := range servers {
			_ = server.Close()
		}
		running.Wait()
	})
	return seen
}

func hostOf(i int) string         { return fmt.Sprintf("10.1.%d.%d", i/200, i%200+1) }
func peerAddress(i int) string    { return fmt.Sprintf("%s:%d", hostOf(i), portPeer) }
func nodeName(i int) api.NodeID   { return api.NodeID(fmt.Sprint("node-", i)) }
func dutyName(service int) string { return fmt.Sprint("service-", service, "/rollout") }

// viewsOf counts members a node, and with the lists that internal/node ranks over, candidates a duty (mean of several) and the
// gatherers that any node uses: if all listed nodes live, and if one of each failure domain has gone, which its own domain knows.
func viewsOf(exchanges []*peer.Exchange, domainOf func(i int) int) views {
	const duties = capacity.Versions
	var seen views
	gatherers, lagging := make(map[api.NodeID]bool), make(map[api.NodeID]bool)
	for i, exchange := range exchanges {
		heard := make(map[api.NodeID]bool)
		for _, member := range exchange.Members() {
			heard[member.Node] = true
		}
		seen.members += float64(len(heard)) / float64(len(exchanges))
		live := listSeenBy(i, len(exchanges), domainOf, heard)
		note(gatherers, rendezvous.Top("claim gatherers", live, gatherersOfNode))
		for domain := range len(exchanges) / nodesOfView {
			delete(heard, goneOf(domain, len(exchanges), domainOf))
		}
		note(lagging, rendezvous.Top("claim gatherers", listSeenBy(i, len(exchanges), domainOf, heard), gatherersOfNode))
		for duty := range duties {
			for _, candidate := range rendezvous.Top(dutyName(duty), live, dutyCandidates) {
				if candidate == nodeName(i) {
					seen.candidates += 1.0 / duties
				}
			}
		}
	}
	seen.gatherers, seen.lagging = float64(len(gatherers)), float64(len(lagging))
	return seen
}

// listSeenBy returns the VM list without those of the node's own failure domain that it does not hear of.
func listSeenBy(node, nodes int, domainOf func(i int) int, heard map[api.NodeID]bool) []api.NodeID {
	var live []api.NodeID
	for i := range nodes {
		if domainOf(i) != domainOf(node) || heard[nodeName(i)] {
			live = append(live, nodeName(i))
		}
	}
	return live
}

// goneOf returns the node of a failure domain that has gone: the one that is ranked first for gathering.
func goneOf(domain, nodes int, domainOf func(i int) int) api.NodeID {
	var members []api.NodeID
	for i := range nodes {
		if domainOf(i) == domain {
			members = append(members, nodeName(i))
		}
	}
	first, _ := rendezvous.First("claim gatherers", members)
	return first
}

func note(set map[api.NodeID]bool, nodes []api.NodeID) {
	for _, node := range nodes {
		set[node] = true
	}
}

// TestMeasureViews counts the nodes that the views of unlike failure domains make candidates and gatherers.
func TestMeasureViews(t *testing.T) {
	xs := sizes(1, 2, 5, 10)
	all := make([]views, len(xs))
	for i, domains := range xs {
		all[i] = measureViews(t, domains)
	}
	base := capacity.Series{Over: "failure domains of 20 nodes", Target: capacity.FailureDomains}
	make1 := func(quantity string, budget float64, mechanism string) capacity.Series {
		s := base
		s.Quantity, s.Budget, s.Mechanism = quantity, budget, mechanism
		return s
	}
	finish(t, "views", "TestMeasureViews", []capacity.Series{
		series(make1("members that a node knows", 0, "own failure domain, 4 contacts of each other (internal/peer)"), xs, func(i int) float64 { return all[i].members }),
		series(make1("candidates of a duty in the fleet", dutyCandidates, "rendezvous hashing over the VM list (internal/node, internal/rendezvous)"), xs, func(i int) float64 { return all[i].candidates }),
		series(make1("gatherers of claims in the fleet", gatherersOfNode, "rendezvous hashing over the VM list (internal/claim)"), xs, func(i int) float64 { return all[i].gatherers }),
		series(make1("gatherers while the list shows a node of each failure domain that has gone", 0, "a node leaves out those of its own failure domain that it does not hear of (internal/node)"), xs, func(i int) float64 { return all[i].lagging }),
	})
}
