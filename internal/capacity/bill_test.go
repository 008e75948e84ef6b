package capacity_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/billfold"
	"github.com/monsoonrail/monsoonrail/internal/billing"
	"github.com/monsoonrail/monsoonrail/internal/billing/billingpb"
	"github.com/monsoonrail/monsoonrail/internal/capacity"
	"github.com/monsoonrail/monsoonrail/internal/fake/kvfake"
	"github.com/monsoonrail/monsoonrail/internal/fake/memnet"
	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/noderpc"
	"github.com/monsoonrail/monsoonrail/internal/peer"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// teamsOfNode is how many teams a node is taken to see between two flushes.
	teamsOfNode = 10
	// holdLatency is the time of a message to a peer and back.
	holdLatency = time.Millisecond
	// holdInterval is that of a node.
	holdInterval = 100 * time.Millisecond
	flushes      = 1 / 10.0
)

// peerCalls are the calls of one node to another over a network in memory, whose bytes are counted.
type peerCalls struct {
	*noderpc.Client
	network *countedNetwork
	keys    peer.Keys
	close   func()
}

const peerIP = "10.0.0.2"

// newPeerCalls serves one node until close is called.
func newPeerCalls(t *testing.T, opts noderpc.ServerOptions) *peerCalls {
	network := &countedNetwork{Network: memnet.New(), bytes: make(map[int]*atomic.Int64)}
	network.Delay("10.0.0.1", peerIP, holdLatency/2)
	keys := peer.Keys{[]byte("a key of the peers")}
	_, handler := noderpc.NewHandler(opts)
	listener, err := network.Host(peerIP).Listen(context.Background(), fmt.Sprint(":", portPeer))
	qt.Assert(t, err, qt.IsNil)
	web := &http.Server{Handler: keys.RequireSigned(handler), Protocols: tcp.UnencryptedProtocols()}
	go func() { _ = web.Serve(listener) }()
	calls := &peerCalls{network: network, keys: keys, close: func() { _ = web.Close() }}
	calls.Client = calls.from("10.0.0.1")
	return calls
}

// from returns a client of a further node; it must not be called once close was.
func (c *peerCalls) from(ip string) *noderpc.Client {
	transport := tcp.NewHTTP2Transport(c.network.host(ip))
	before := c.close
	c.close = func() {
		transport.CloseIdleConnections()
		before()
	}
	return noderpc.NewClient(noderpc.ClientOptions{
		HTTP:    &http.Client{Transport: c.keys.SignTransport(transport)},
		FindURL: func(api.NodeID) (string, bool) { return fmt.Sprintf("http://%s:%d", peerIP, portPeer), true },
	})
}

// bytes returns those that the calling node sent and received.
func (c *peerCalls) bytes() float64 {
	return float64(c.network.counter(fmt.Sprint(":", portPeer)).Load())
}

// peerHolder is a peer that holds bills; it counts the messages.
type peerHolder struct {
	*peerCalls
	messages int
}

// Hold implements billing.Holder.
func (h *peerHolder) Hold(ctx context.Context, peer api.NodeID, req *billingpb.HoldRequest) (*billingpb.HoldResponse, error) {
	h.messages++
	return h.Client.Hold(ctx, peer, req)
}

// bills is what the lines of one node cost.
type bills struct{ messages, holdBytes, segmentBytes, writes float64 }

// measureBills adds lines at a rate for some kinds of team and version, for a while of virtual time.
func measureBills(t *testing.T, perSecond, kinds int, hold time.Duration) bills {
	var seen bills
	synctest.Test(t, func(t *testing.T) {
		service := kvfake.New()
		store := &countedStore{Store: service.Store()}
		ctx, cancel := context.WithCancel(context.Background())
		holder := &peerHolder{peerCalls: newPeerCalls(t, noderpc.ServerOptions{BillHolder: billing.NewBatchHolder(billing.BatchHolderOptions{
			Store: service.Store(), IsAlive: func(api.NodeID, api.Incarnation) bool { return true }, Log: quiet,
		})})}
		defer holder.close()
		biller := billing.NewBiller(billing.Options{
			Node: "node-1", Incarnation: "run-1", Store: store, HoldClient: holder, HoldInterval: hold,
			Peers: func() []api.NodeID { return []api.NodeID{"node-2"} }, Rand: rand.New(rand.NewPCG(1, 1)), Log: quiet,
		})
		var duties, answers sync.WaitGroup
		duties.Go(func() { _ = biller.RunHold(ctx) })
		duties.Go(func() { _ = biller.RunFlush(ctx) })
		random := rand.New(rand.NewPCG(2, 2))
		seconds := lasting().Seconds()
		for i := range int(seconds * float64(perSecond)) {
			time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(perSecond)))
			line := billing.Line{
				RequestID: api.RequestID(fmt.Sprint(i)), Team: api.Team(fmt.Sprint("team-", i%kinds)), Service: "a-service",
				Version: api.VersionID{Model: "a-model", Version: "v1"}, PromptTokens: 1000, AnswerTokens: 230, Cost: 50, At: time.Now(),
			}
			answers.Go(func() { qt.Check(t, biller.Add(ctx, line), qt.IsNil) })
		}
		answers.Wait()
		time.Sleep(15 * time.Second)
		cancel()
		duties.Wait()
		seen.messages, seen.holdBytes = float64(holder.messages)/seconds, holder.bytes()/seconds
		segments := biller.Stats().Segments
		if segments > 0 {
			seen.segmentBytes = float64(store.written) / float64(segments)
		}
		seen.writes = float64(segments) / seconds
	})
	return seen
}

// countedStore counts the bytes of what is read and written, and the calls.
type countedStore struct {
	kv.Store
	read, written int
	reads, writes int
}

func (s *countedStore) List(ctx context.Context, opts kv.ListOptions) (kv.ListResult, error) {
	listed, err := s.Store.List(ctx, opts)
	s.reads++
	for _, pair := range listed.Pairs {
		s.read += len(pair.Key) + len(pair.Value)
	}
	return listed, err
}

func (s *countedStore) Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	s.writes++
	for _, op := range txn.Then {
		s.written += len(op.Key) + len(op.Value)
	}
	return s.Store.Commit(ctx, txn)
}

// folding is what all folders together do in a second, and the busiest scope.
type folding struct{ bytes, busiest, core, reads, writes float64 }

// measureFolding folds the segments that some nodes write in one interval of the folders, with what was folded before at hand.
func measureFolding(t *testing.T, nodes int) folding {
	service := kvfake.New()
	store := &countedStore{Store: service.Store()}
	folders := make(map[billfold.Scope]*billfold.Aggregator)
	for _, scope := range billfold.AllScopes() {
		folders[scope] = billfold.New(billfold.Options{Store: store, Scope: scope, Log: quiet})
	}
	var seen folding
	for round := range 3 {
		for i := range nodes {
			for piece := range int(billfold.DefaultInterval.Seconds() * flushes) {
				putSegment(t, service, i, 10*round+piece)
			}
		}
		seen = foldRound(t, store, folders)
	}
	calls := billfold.DefaultInterval.Seconds()
	return folding{
		bytes: seen.bytes / calls / float64(nodes), busiest: seen.busiest / calls, core: seen.core / calls / float64(nodes),
		reads: seen.reads / calls, writes: seen.writes / calls,
	}
}

// foldRound has each folder fold all that is there.
func foldRound(t *testing.T, store *countedStore, folders map[billfold.Scope]*billfold.Aggregator) folding {
	var seen folding
	store.reads, store.writes = 0, 0
	used := processorTime(t)
	for _, scope := range billfold.AllScopes() {
		store.read, store.written = 0, 0
		for more := true; more; {
			var err error
			more, err = folders[scope].FoldOnce(t.Context(), time.Now())
			qt.Assert(t, err, qt.IsNil)
		}
		bytes := float64(store.read + store.written)
		seen.bytes += bytes
		seen.busiest = max(seen.busiest, bytes)
	}
	seen.core = (processorTime(t) - used).Seconds()
	seen.reads, seen.writes = float64(store.reads), float64(store.writes)
	return seen
}

// putSegment puts a segment as a node writes it at the size to come.
func putSegment(t *testing.T, service *kvfake.Service, node, number int) {
	segment := &billingpb.Segment{First: uint64(number) + 1, Last: uint64(number) + 1}
	sum := func(team, version int) *billingpb.Sum {
		return &billingpb.Sum{
			Team: fmt.Sprint("team-", team), Service: "a-service", Model: "a-model", Version: fmt.Sprint("v", version), Day: 20_000, Requests: 10,
			PromptTokens: 10_000, AnswerTokens: 2300, CostMicroUsd: 500,
		}
	}
	for team := range teamsOfNode {
		for version := range capacity.Versions {
			segment.Sums = append(segment.Sums, sum(team, version))
		}
	}
	for i := range int(math.Round(ownKeys * capacity.RequestsPerNode / flushes)) {
		segment.Keyed = append(segment.Keyed, &billingpb.Keyed{Id: fmt.Appendf(nil, "%04d%03d%05d", node, number, i), Sum: sum(0, 0)})
	}
	value, err := billing.EncodeSegment(segment)
	qt.Assert(t, err, qt.IsNil)
	// The name of an incarnation is a UUID.
	run := api.Incarnation(fmt.Sprintf("00000000-0000-4000-8000-%012d", node))
	_, err = service.Store().Commit(t.Context(), kv.Txn{Then: []kv.Op{{
		Kind: kv.OpPut, Key: fmt.Sprintf("%s%s/%020d", billing.ShardOf(run).Prefix(), run, number), Value: value,
	}}})
	qt.Assert(t, err, qt.IsNil)
}

// TestMeasureBills varies a node's lines, the kinds of team and version, and the nodes whose segments are folded.
func TestMeasureBills(t *testing.T) {
	rates, kinds, nodes := sizes(20, 40, 80, 160), sizes(20, 40, 80, 170), sizes(74, 148, 295, 590)
	overRates, paced := make([]bills, len(rates)), make([]bills, len(rates))
	overKinds, overNodes := make([]bills, len(kinds)), make([]folding, len(nodes))
	for i := range rates {
		overRates[i] = measureBills(t, rates[i], teamsOfNode*capacity.Versions, 0)
		paced[i] = measureBills(t, rates[i], teamsOfNode*capacity.Versions, holdInterval)
		overKinds[i] = measureBills(t, 160, kinds[i], 0)
		overNodes[i] = measureFolding(t, nodes[i])
	}
	const (
		lines  = "lines/s of a node"
		holds  = "an answer ends when a peer holds its line (internal/billing)"
		folds  = "145 scopes with turns and totals of their own, spread over the nodes (internal/billfold)"
		pieces = "sums by team, version and day, one segment every 10 s (internal/billing)"
	)
	finish(t, "bills", "TestMeasureBills", []capacity.Series{
		series(capacity.Series{Quantity: "messages to the peer", Unit: "1/s", Over: lines, Target: capacity.RequestsPerNode, Mechanism: holds},
			rates, func(i int) float64 { return overRates[i].messages }),
		series(capacity.Series{Quantity: "messages to the peer at a HoldInterval of 100 ms", Unit: "1/s", Over: lines, Target: capacity.RequestsPerNode, Mechanism: holds},
			rates, func(i int) float64 { return paced[i].messages }),
		series(capacity.Series{Quantity: "bytes to and from the peer", Unit: "B/s", Over: lines, Target: capacity.RequestsPerNode, Budget: capacity.ControlBytes, Mechanism: holds},
			rates, func(i int) float64 { return overRates[i].holdBytes }),
		series(capacity.Series{Quantity: "bytes to and from the peer at a HoldInterval of 100 ms", Unit: "B/s", Over: lines, Target: capacity.RequestsPerNode, Budget: capacity.ControlBytes, Mechanism: holds},
			rates, func(i int) float64 { return paced[i].holdBytes }),
		series(capacity.Series{Quantity: "a segment", Unit: "B", Over: "kinds of team and version between two flushes", Target: teamsOfNode * capacity.Versions, Mechanism: pieces},
			kinds, func(i int) float64 { return overKinds[i].segmentBytes }),
		series(capacity.Series{Quantity: "segments written by all nodes", Unit: "1/s", Over: lines, Target: capacity.RequestsPerNode, Times: capacity.Nodes, Budget: capacity.ServiceWrites, Mechanism: pieces},
			rates, func(i int) float64 { return overRates[i].writes }),
		series(capacity.Series{Quantity: "read and written by a node's folders, mean", Unit: "B/s", Over: "nodes", Target: capacity.Nodes, Budget: capacity.ControlBytes, Mechanism: folds},
			nodes, func(i int) float64 { return overNodes[i].bytes }),
		series(capacity.Series{Quantity: "read and written in the busiest scope", Unit: "B/s", Over: "nodes", Target: capacity.Nodes, Budget: capacity.ControlBytes, Mechanism: folds},
			nodes, func(i int) float64 { return overNodes[i].busiest }),
		series(capacity.Series{Quantity: "folds at the service", Unit: "1/s", Over: "nodes", Target: capacity.Nodes, Budget: capacity.ServiceWrites, Mechanism: folds},
			nodes, func(i int) float64 { return overNodes[i].writes }),
		series(capacity.Series{Quantity: "reads of folders at the service", Unit: "1/s", Over: "nodes", Target: capacity.Nodes, Budget: capacity.ServiceReads, Mechanism: folds},
			nodes, func(i int) float64 { return overNodes[i].reads }),
		series(capacity.Series{Quantity: "processor time of a node's folders, the service included", Unit: "of a core", Over: "nodes", Target: capacity.Nodes, Budget: capacity.ControlCore, Mechanism: folds},
			nodes, func(i int) float64 { return overNodes[i].core }),
	})
}
