package peer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/monsoonrail/monsoonrail/internal/fake/memnet"
	"github.com/monsoonrail/monsoonrail/internal/peer"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const port = 7000

// group is a set of exchanges that communicate over an in-memory network.
type group struct {
	t       *testing.T
	network *memnet.Network
	domains int
	seeds   []peer.Seed
	nodes   []*node
}

type node struct {
	*peer.Exchange
	ip    string
	name  api.NodeID
	words *words
	log   *memory.Handler
	stop  func()

	registry metrics.Registry
}

// nodeOptions are the settings in which the nodes of a group differ.
type nodeOptions struct {
	run         int
	keys        peer.Keys
	protocol    uint32
	minProtocol uint32
	config      peer.ConfigSource
}

func newGroup(t *testing.T, size, domains int) *group {
	g := &group{t: t, network: memnet.New(), domains: domains}
	for i := range size {
		g.seeds = append(g.seeds, peer.Seed{PeerAddress: fmt.Sprintf("%s:%d", ipOf(i), port), FailureDomain: g.domainOf(i)})
	}
	return g
}

func ipOf(i int) string { return fmt.Sprintf("10.0.0.%d", i+1) }

func (g *group) domainOf(i int) api.FailureDomain {
	return api.FailureDomain(fmt.Sprint("d", i%g.domains))
}

func (g *group) start(i int, opts nodeOptions) *node {
	if opts.keys == nil {
		opts.keys = peer.Keys{[]byte("shared")}
	}
	n := &node{ip: ipOf(i), name: api.NodeID(fmt.Sprint("n", i)), words: &words{known: make(map[string]uint64), protocols: make(map[api.NodeID]uint32)}, log: memory.New(), registry: metrics.NewRegistry()}
	exchange, err := peer.New(peer.Options{
		Self: peer.Member{
			Node: n.name, Incarnation: api.Incarnation(fmt.Sprintf("n%d-%d", i, opts.run)), Started: time.Now(),
			Address: ipOf(i) + ":80", PeerAddress: g.seeds[i].PeerAddress, FailureDomain: g.domainOf(i), Region: "r",
		},
		Keys: opts.keys, Seeds: func() []peer.Seed { return g.seeds }, Network: g.network.Host(n.ip), Config: opts.config,
		Log: &log.Logger{Handler: n.log, Level: log.InfoLevel}, Metrics: n.registry,
		Rand: rand.New(rand.NewPCG(uint64(i), uint64(opts.run))), Protocol: opts.protocol, MinProtocol: opts.minProtocol,
	})
	qt.Assert(g.t, err, qt.IsNil)
	n.Exchange = exchange
	exchange.Register(n.words)
	mux := http.NewServeMux()
	mux.Handle(exchange.Handler())
	server := &http.Server{Handler: mux}
	listener, err := g.network.Host(n.ip).Listen(g.t.Context(), g.seeds[i].PeerAddress)
	qt.Assert(g.t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(listener) })
	running.Go(func() { _ = exchange.Run(ctx) })
	n.stop = sync.OnceFunc(func() {
		cancel()
		_ = server.Close()
		running.Wait()
	})
	g.nodes = append(g.nodes, n)
	return n
}

func (g *group) close() {
	for _, n := range g.nodes {
		n.stop()
	}
}

func (n *node) findMember(name api.NodeID) (peer.Member, bool) {
	for _, member := range n.Members() {
		if member.Node == name {
			return member, true
		}
	}
	return peer.Member{}, false
}

// stopAndFindRefusal stops the node and reports whether it logged that a peer rejected it or was rejected.
func (n *node) stopAndFindRefusal() bool {
	n.stop()
	return slices.ContainsFunc(n.log.Entries, func(e *log.Entry) bool { return e.Message == "peer refused" })
}
