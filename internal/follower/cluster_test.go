package follower_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/monsoonrail/monsoonrail/internal/acceptance"
	"github.com/monsoonrail/monsoonrail/internal/configlog"
	"github.com/monsoonrail/monsoonrail/internal/fake/kvfake"
	"github.com/monsoonrail/monsoonrail/internal/fake/memnet"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/follower"
	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/peer"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	peerPort = 7000
	// linkDelay is the one-way delay between nodes.
	linkDelay = 500 * time.Microsecond
	// settleTime is how long nodes get to discover each other before a test begins.
	settleTime = 30 * time.Second
)

var (
	quiet = &log.Logger{Handler: discard.New()}
	keys  = peer.Keys{[]byte("a shared key of the tests")}
)

// cluster is a set of nodes in one process, connected by an in-memory network, with one key-value service.
type cluster struct {
	t       *testing.T
	service *kvfake.Service
	changes *configlog.Log
	network *memnet.Network
	domains int
	nodes   []*node
	seeds   []peer.Seed
}

// clusterOptions is the size of a cluster: the number of nodes and of failure domains.
type clusterOptions struct {
	nodes   int
	domains int
}

// newCluster starts the nodes of a cluster whose service holds the sample configuration at revision 1.
func newCluster(t *testing.T, opts clusterOptions) *cluster {
	c := &cluster{t: t, service: kvfake.New(), network: memnet.New(), domains: opts.domains}
	c.service.SetLatency(2 * time.Millisecond)
	c.changes = configlog.New(c.service.Store(), configlog.DefaultPrefix)
	c.acceptFirst()
	for i := range opts.nodes {
		c.seeds = append(c.seeds, peer.Seed{PeerAddress: fmt.Sprintf("%s:%d", ipOf(i), peerPort), FailureDomain: c.domainOf(i)})
	}
	for i := range opts.nodes {
		for j := range i {
			c.network.Delay(ipOf(i), ipOf(j), linkDelay)
		}
	}
	for i := range opts.nodes {
		c.nodes = append(c.nodes, c.start(i, 0))
	}
	return c
}

func ipOf(i int) string { return fmt.Sprintf("10.0.%d.%d", i/250, i%250+1) }

func (c *cluster) domainOf(i int) api.FailureDomain {
	return api.FailureDomain(fmt.Sprint("domain-", i%c.domains))
}

func (c *cluster) acceptFirst() {
	config, err := fleet.Load("../../examples/sample.yaml")
	qt.Assert(c.t, err, qt.IsNil)
	first := fleet.Change{ID: "first", Author: "test", Reason: "first", Ops: fleet.NewState().Ops(config)}
	_, err = acceptance.New(c.changes, nil, quiet).Accept(c.t.Context(), first)
	qt.Assert(c.t, err, qt.IsNil)
}

// node is one node of a cluster.
type node struct {
	index    int
	ip       string
	follower *follower.Follower
	exchange *peer.Exchange
	acceptor *acceptance.Acceptor
	traffic  *traffic
	gate     *gate
	stop     func()
	// inForceAt is when each revision came into force; reverted is true if a lower revision followed a higher one.
	mu        sync.Mutex
	inForceAt map[api.Revision]time.Time
	reverted  bool
}

// start starts node i; run is part of its incarnation.
func (c *cluster) start(i, run int) *node {
	ip := ipOf(i)
	address := fmt.Sprintf("%s:%d", ip, peerPort)
	n := &node{index: i, ip: ip, traffic: new(traffic), gate: newGate(), inForceAt: make(map[api.Revision]time.Time)}
	self := peer.Member{
		Node: api.NodeID(fmt.Sprint("node-", i)), Incarnation: api.Incarnation(fmt.Sprintf("node-%d-run-%d", i, run)),
		Started: time.Now(), Address: ip + ":80", PeerAddress: address, FailureDomain: c.domainOf(i), Region: "home",
	}
	random := rand.New(rand.NewPCG(uint64(i), uint64(run)))
	changes := configlog.New(gatedStore{c.service.Store(), n.gate}, configlog.DefaultPrefix)
	n.follower = follower.New(follower.Options{
		Self: self, Log: changes, Logger: quiet, Metrics: metrics.NewRegistry(), Rand: rand.New(rand.NewPCG(uint64(i), 99)),
	})
	exchange, err := peer.New(peer.Options{
		Self: self, Keys: keys, Seeds: func() []peer.Seed { return c.seeds }, Config: n.follower,
		Network: countedNetwork{c.network.Host(ip), n.traffic}, Log: quiet, Metrics: metrics.NewRegistry(), Rand: random,
	})
	qt.Assert(c.t, err, qt.IsNil)
	n.exchange = exchange
	exchange.Register(n.follower)
	n.follower.SetPeers(exchange)
	n.acceptor = acceptance.New(changes, n.follower, quiet)
	n.run(c, address)
	return n
}

// run starts the node's goroutines and sets stop, which ends them.
func (n *node) run(c *cluster, address string) {
	mux := http.NewServeMux()
	mux.Handle(n.exchange.Handler())
	server := &http.Server{Handler: mux}
	listener, err := c.network.Host(n.ip).Listen(c.t.Context(), address)
	qt.Assert(c.t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(countedListener{listener, n.traffic}) })
	group.Go(func() { _ = n.exchange.Run(ctx) })
	group.Go(func() { _ = n.follower.Run(ctx) })
	group.Go(func() { n.observe(ctx) })
	n.stop = sync.OnceFunc(func() {
		cancel()
		_ = server.Close()
		group.Wait()
	})
}

// observe records when revisions come into force.
func (n *node) observe(ctx context.Context) {
	last := api.Revision(0)
	for {
		changed := n.follower.Changed()
		now := n.follower.Current().Revision
		n.mu.Lock()
		n.reverted = n.reverted || now < last
		for ; last < now; last++ {
			n.inForceAt[last+1] = time.Now()
		}
		n.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// close stops all nodes and waits for their abandoned calls to the service to end.
func (c *cluster) close() {
	for _, n := range c.nodes {
		n.stop()
	}
	time.Sleep(time.Second)
}

// kill stops a node like a crash: its connections are cut first.
func (c *cluster) kill(n *node) {
	c.network.Kill(n.ip)
	n.stop()
}

// restart kills a node and starts it as a new incarnation.
func (c *cluster) restart(i, run int) *node {
	c.kill(c.nodes[i])
	c.nodes[i] = c.start(i, run)
	return c.nodes[i]
}

// accept lets a node accept a change, rebased over others, and returns the revision and when the change was submitted.
func (c *cluster) accept(n *node, exception string) (api.Revision, time.Time) {
	began := time.Now()
	revision, err := n.acceptor.Accept(c.t.Context(), newChange(n.follower.Revision(), exception))
	qt.Assert(c.t, err, qt.IsNil)
	return revision, began
}

func newChange(base api.Revision, exception string) fleet.Change {
	value, err := json.Marshal(fleet.Exception{
		ID: exception, Scope: fleet.Scope{Team: "reports", Class: "draft"}, Set: fleet.PolicyPatch{Hedge: new(bool)},
		Reason: "drafts are made overnight", Author: "a.operator",
	})
	if err != nil {
		panic(err)
	}
	op := fleet.Op{EntityID: fleet.EntityID{Kind: fleet.KindException, Name: exception}, Value: value}
	return fleet.Change{
		ID: fleet.NewChangeID(), Base: base, Rebase: true, Author: "a.operator", Reason: "drafts are made overnight",
		Time: time.Now(), Ops: []fleet.Op{op},
	}
}

// inForce reports whether all nodes have reached a revision.
func (c *cluster) inForce(revision api.Revision) bool {
	return !slices.ContainsFunc(c.nodes, func(n *node) bool { return n.follower.Revision() < revision })
}

// waitInForce waits until all nodes have reached a revision, and fails the test after limit.
func (c *cluster) waitInForce(revision api.Revision, limit time.Duration) {
	c.t.Helper()
	deadline := time.Now().Add(limit)
	for !c.inForce(revision) {
		if time.Now().After(deadline) {
			c.t.Fatalf("revision %d is not in force on all nodes after %v", revision, limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// delays returns the time from acceptance until each revision was in force on each node, sorted.
func (c *cluster) delays(accepted map[api.Revision]time.Time) []time.Duration {
	var all []time.Duration
	for _, n := range c.nodes {
		n.mu.Lock()
		for revision, at := range accepted {
			seen, ok := n.inForceAt[revision]
			qt.Assert(c.t, ok, qt.IsTrue, qt.Commentf("node %d never saw revision %d", n.index, revision))
			all = append(all, max(0, seen.Sub(at)))
		}
		n.mu.Unlock()
	}
	slices.Sort(all)
	return all
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// checkNoRevert fails if any node returned to a lower revision, or if two nodes have different changes under one revision.
func (c *cluster) checkNoRevert() {
	c.t.Helper()
	held := make(map[api.Revision]fleet.ChangeID)
	for _, n := range c.nodes {
		n.mu.Lock()
		qt.Check(c.t, n.reverted, qt.IsFalse, qt.Commentf("node %d went back", n.index))
		n.mu.Unlock()
		state := n.follower.State()
		if other, ok := held[state.Revision()]; ok {
			qt.Check(c.t, state.ChangeID, qt.Equals, other)
		}
		held[state.Revision()] = state.ChangeID
	}
}

// traffic counts a node's bytes on the wire, in both directions.
type traffic struct{ bytes atomic.Int64 }

type countedNetwork struct {
	*memnet.Host
	traffic *traffic
}

func (n countedNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := n.Host.DialContext(ctx, network, address)
	return countedConn{conn, n.traffic}, err
}

type countedListener struct {
	net.Listener
	traffic *traffic
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countedConn{conn, l.traffic}, err
}

type countedConn struct {
	net.Conn
	traffic *traffic
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.bytes.Add(int64(n))
	return n, err
}

// gate cuts a node's connection to the service while it is closed.
type gate struct {
	mu sync.Mutex
	// closed is a closed channel while the connection is cut.
	closed chan struct{}
}

func newGate() *gate { return &gate{closed: make(chan struct{})} }

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.closed)
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = make(chan struct{})
}

func (g *gate) wait() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

func (g *gate) check() error {
	select {
	case <-g.wait():
		return kv.Error.Wrap(&kv.ErrUnavailable{Cause: context.DeadlineExceeded})
	default:
		return nil
	}
}

// gatedStore is a node's client of the service, which fails while the gate is closed.
type gatedStore struct {
	kv.Store
	gate *gate
}

func (s gatedStore) Get(ctx context.Context, key string) (kv.Pair, error) {
	if err := s.gate.check(); err != nil {
		return kv.Pair{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s gatedStore) List(ctx context.Context, opts kv.ListOptions) (kv.ListResult, error) {
	if err := s.gate.check(); err != nil {
		return kv.ListResult{}, err
	}
	return s.Store.List(ctx, opts)
}

func (s gatedStore) Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	if err := s.gate.check(); err != nil {
		return kv.TxnResult{}, err
	}
	return s.Store.Commit(ctx, txn)
}

// Watch ends when the gate is closed.
func (s gatedStore) Watch(ctx context.Context, prefix string, from kv.Version, handle func(kv.WatchBatch) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	cut := s.gate.wait()
	go func() {
		select {
		case <-cut:
		case <-ctx.Done():
		}
		cancel()
	}()
	return s.Store.Watch(ctx, prefix, from, handle)
}
