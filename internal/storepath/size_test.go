package storepath_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/boottime"
	"github.com/monsoonrail/monsoonrail/internal/fake/memnet"
	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/mirror"
	"github.com/monsoonrail/monsoonrail/internal/nodelist"
	"github.com/monsoonrail/monsoonrail/internal/relay"
	"github.com/monsoonrail/monsoonrail/internal/storepath"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// history is a store that retains all changes. Its lists are up to maxListAge old.
type history struct {
	mu      sync.Mutex
	events  []kv.Event
	times   []time.Time
	changed chan struct{}
	lists   int
}

const (
	firstRevision = kv.Version(1)
	maxListAge    = 3 * time.Second
	listLatency   = time.Second
)

func (h *history) change(events ...kv.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range events {
		e.Pair.Version = firstRevision + kv.Version(len(h.events)) + 1
		h.events, h.times = append(h.events, e), append(h.times, time.Now())
	}
	close(h.changed)
	h.changed = make(chan struct{})
}

// List implements mirror.Store. Lists are of different ages.
func (h *history) List(context.Context, string) (kv.ListResult, error) {
	time.Sleep(listLatency)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lists++
	at := time.Now().Add(-maxListAge * time.Duration(h.lists*7919%100) / 100)
	pairs, listed := make(map[string]kv.Pair), kv.ListResult{Revision: firstRevision}
	for i, e := range h.events {
		if h.times[i].After(at) {
			break
		}
		listed.Revision = e.Pair.Version
		if pairs[e.Pair.Key] = e.Pair; e.Deleted {
			delete(pairs, e.Pair.Key)
		}
	}
	for _, pair := range pairs {
		listed.Pairs = append(listed.Pairs, pair)
	}
	return listed, nil
}

// ListStale implements mirror.StaleLister.
func (h *history) ListStale(ctx context.Context, prefix string) (kv.ListResult, error) {
	return h.List(ctx, prefix)
}

// Poll implements mirror.Store.
func (h *history) Poll(ctx context.Context, _ string, after kv.Version, wait time.Duration) (kv.WatchBatch, error) {
	h.mu.Lock()
	changed, count := h.changed, len(h.events)
	h.mu.Unlock()
	if int(after-firstRevision) == count {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return kv.WatchBatch{}, ctx.Err()
		}
	}
	time.Sleep(4 * time.Millisecond)
	h.mu.Lock()
	defer h.mu.Unlock()
	return kv.WatchBatch{
		Events: append([]kv.Event(nil), h.events[after-firstRevision:]...), Revision: firstRevision + kv.Version(len(h.events)),
	}, nil
}

// sizedServer returns the change that writes the entry of a server.
func sizedServer(i, sequence int) kv.Event {
	value := fmt.Appendf(nil, `{"service":"models","address":"10.%d.%d.%d:8749","zone":"z%d","version":"v1","slots":16,"state":"ready",`+
		`"warmupLeftMs":0,"sequence":%d,"born":%d,"kvTotal":348104,"models":[{"name":"m%d","version":1,"adapters":[]}]}`,
		i/65536, i/256%256, i%256, i%3, sequence, 1700000000000+i*7919, i%17)
	return kv.Event{Pair: kv.Pair{Key: fmt.Sprintf("servers/i-%d", i), Value: value, Lease: kv.LeaseID(i + 1)}}
}

// sizedFleet is the nodes of a failure domain that read a history.
type sizedFleet struct {
	mu          sync.Mutex
	confirmedAt map[string]boottime.Time
	mirrors     []*mirror.Mirror
	now         func() boottime.Time
	// running are the goroutines of the nodes, which cancel and closers end.
	running sync.WaitGroup
	cancel  context.CancelFunc
	closers []func()
}

func newSizedFleet() *sizedFleet {
	began := time.Now()
	return &sizedFleet{confirmedAt: make(map[string]boottime.Time), now: func() boottime.Time { return boottime.Time(time.Since(began) + time.Hour) }}
}

// start starts a number of nodes, each with a link of a bandwidth in bytes per second.
func (f *sizedFleet) start(t *testing.T, network *memnet.Network, store mirror.Store, count int, bandwidth float64) {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	var nodes, unknown []nodelist.Node
	for i := range count {
		ip := fmt.Sprintf("10.0.%d.1", i)
		nodes = append(nodes, nodelist.Node{
			ID: api.NodeID(ip), FailureDomain: "a", Callers: ip + ":80", Peers: ip + ":83", CPU: 0.144, Bandwidth: bandwidth * 8,
		})
	}
	for _, node := range nodes {
		ip := string(node.ID)
		network.LimitBandwidth(ip, bandwidth)
		transport := tcp.NewTransport(network.Host(ip))
		var m *mirror.Mirror
		selector := storepath.New(storepath.Options{
			Self: node.ID, FailureDomain: "a", Store: store, Client: &http.Client{Transport: transport}, CountRead: func(bool, storepath.ReadOutcome) {},
			Nodes: func() *[]nodelist.Node {
				// The first list of the store tells a node of the others.
				if m.Get(sizedServer(0, 0).Pair.Key).Version == 0 {
					return &unknown
				}
				return &nodes
			},
		})
		f.confirmedAt[ip] = f.now()
		m = mirror.New(mirror.Options{
			Upstream: selector.Next, ExpiringPrefix: "servers/", Changed: func([]string) {}, Now: f.now,
			Confirmed: func(at boottime.Time) {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.confirmedAt[ip] = max(f.confirmedAt[ip], at)
			},
		})
		f.mirrors = append(f.mirrors, m)
		mux := http.NewServeMux()
		relay.Handle(mux, m, nil)
		listener, err := network.Host(ip).Listen(ctx, node.Peers)
		qt.Assert(t, err, qt.IsNil)
		server := &http.Server{Handler: mux}
		f.running.Go(func() { _ = server.Serve(listener) })
		f.running.Go(func() { _ = m.Run(ctx) })
		f.closers = append(f.closers, func() { _ = server.Close() }, transport.CloseIdleConnections)
	}
}

// close ends the nodes.
func (f *sizedFleet) close() {
	f.cancel()
	for _, end := range f.closers {
		end()
	}
	f.running.Wait()
}

// oldest returns the largest time since a node's copy was known to be complete.
func (f *sizedFleet) oldest() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	oldest := time.Duration(0)
	for _, at := range f.confirmedAt {
		oldest = max(oldest, time.Duration(f.now()-at))
	}
	return oldest
}

// TestFailureDomainOfSmallNodesFollowsManyServers starts the 100 small nodes of one of three failure domains at once, with links of 10 Mbit/s, while servers
// register, and later has a third of 3,000 servers lost and back: the nodes must have current copies within 5 s, and keep them young enough to trust keys.
func TestFailureDomainOfSmallNodesFollowsManyServers(t *testing.T) {
	const (
		nodeCount, servers = 100, 3000
		linkBytesPerSecond = 10e6 / 8
		startBound         = 5 * time.Second
		// maxAge is the age from which on keys aren't trusted at bounds of 5 s.
		maxAge = 4700 * time.Millisecond
		steps  = 30
	)
	synctest.Test(t, func(t *testing.T) {
		network, store := memnet.New(), &history{changed: make(chan struct{})}
		f := newSizedFleet()
		for i := range servers {
			store.change(sizedServer(i, 0))
		}
		for i := range 60 {
			store.change(sizedServer(i, 1))
			time.Sleep(maxListAge / 30)
		}
		f.start(t, network, store, nodeCount, linkBytesPerSecond)
		step := func(kind string, bound time.Duration, change func(i int)) {
			oldest := time.Duration(0)
			for i := range steps {
				change(i)
				time.Sleep(200 * time.Millisecond)
				oldest = max(oldest, f.oldest())
			}
			t.Logf("%s: copies up to %s old", kind, oldest)
			qt.Check(t, oldest < bound, qt.IsTrue, qt.Commentf("%s: copies up to %s old", kind, oldest))
		}
		step("start", startBound, func(i int) {
			for j := range 10 {
				store.change(sizedServer(i*10+j, 1))
			}
		})
		step("loss", maxAge, func(i int) {
			var lost []kv.Event
			for j := i; j < servers/3; j += steps {
				lost = append(lost, kv.Event{Deleted: true, Pair: kv.Pair{Key: fmt.Sprintf("servers/i-%d", j)}})
			}
			store.change(lost...)
		})
		step("return", maxAge, func(i int) {
			if i > 0 {
				return
			}
			var back []kv.Event
			for j := range servers / 3 {
				back = append(back, sizedServer(j, 2))
			}
			store.change(back...)
		})
		for _, m := range f.mirrors {
			qt.Check(t, m.List("servers/"), qt.HasLen, servers)
		}
		f.close()
	})
}
