package edge_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/boottime"
	"github.com/monsoonrail/monsoonrail/internal/edge"
	"github.com/monsoonrail/monsoonrail/internal/fake/memnet"
	"github.com/monsoonrail/monsoonrail/internal/fake/platformfake"
	"github.com/monsoonrail/monsoonrail/internal/site"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	storeIP  = "10.200.0.1"
	callerIP = "10.100.0.1"
	// startTime is enough for nodes to read the store and find each other.
	startTime = 3 * time.Second
)

// world is a platform with two nodes, two model servers and a server of calls, in virtual time.
type world struct {
	c       *qt.C
	network *memnet.Network
	store   *platformfake.Store
	models  []*platformfake.Server
	calls   *platformfake.Server
	nodes   []*runningNode
	client  *http.Client
	began   time.Time
	// requests numbers the callers' requests.
	requests atomic.Int64
}

type runningNode struct {
	ip   string
	stop context.CancelFunc
	done chan struct{}
}

// configuration is an operators' configuration with the given keys of the only team.
func configuration(keys ...string) []byte {
	text, _ := json.Marshal(keys)
	return fmt.Appendf(nil, `{"version":1,"routes":[
		{"name":"stream","host":"app.example","prefix":"/s/","routeType":"streaming","timeoutMs":20000,"targetLatencyMs":1000,
		 "itlTargetMs":500,"sizes":["small","large"],"service":"models","maxAttempts":3,"resumable":true,"sessionAffinity":true},
		{"name":"call","host":"app.example","prefix":"/c/","routeType":"unsafe","targetLatencyMs":100,"service":"calls","maxAttempts":1},
		{"name":"read","host":"app.example","prefix":"/r/","routeType":"safe","targetLatencyMs":100,"service":"calls","maxAttempts":2},
		{"name":"open","host":"app.example","prefix":"/o/","routeType":"safe","service":"calls","maxAttempts":1,"public":true}],
		"services":[{"name":"models","healthPath":"/health","engine":{"slots":8,"kvCapacityTokens":1000,
		 "models":[{"name":"small","cost":0.1},{"name":"large","cost":1}]}},{"name":"calls","healthPath":"/health"}],
		"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
		"tenants":[{"name":"school","apiKeys":%s}]}`, text)
}

func entry(service, address, state string) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"z1","version":"v1","slots":8,"state":%q,"warmupLeftMs":0,"sequence":1}`,
		service, address, state)
}

// inWorld runs a test in a bubble, with a started world.
func inWorld(t *testing.T, test func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{c: qt.New(t), network: memnet.New(), store: platformfake.NewStore(), began: time.Now()}
		var servers []*http.Server
		serve := func(ip string, handler http.Handler) {
			listener, err := w.network.Host(ip).Listen(context.Background(), ip+":80")
			w.c.Assert(err, qt.IsNil)
			server := &http.Server{Handler: handler}
			servers = append(servers, server)
			go func() { _ = server.Serve(listener) }()
		}
		serve(storeIP, w.store)
		for i := range 2 {
			server := platformfake.NewServer(platformfake.ServerOptions{
				ID: fmt.Sprintf("m%d", i), Latency: 50 * time.Millisecond, Pause: 100 * time.Millisecond, Events: 10, Confidence: 90,
			})
			w.models = append(w.models, server)
			ip := fmt.Sprintf("10.1.0.%d", i+1)
			serve(ip, server)
			w.store.Put(fmt.Sprintf("servers/m%d", i), entry("models", ip+":80", "ready"))
		}
		w.calls = platformfake.NewServer(platformfake.ServerOptions{ID: "c0", Latency: 20 * time.Millisecond})
		serve("10.2.0.1", w.calls)
		w.store.Put("servers/c0", entry("calls", "10.2.0.1:80", "ready"))
		w.store.Put("servers/broken", []byte(`{"service":"calls","address":7}`))
		w.store.Put("op/config", configuration("key-1", "key-2"))
		w.start("10.0.0.1")
		w.start("10.0.0.2")
		transport := tcp.NewTransport(w.network.Host(callerIP))
		w.client = &http.Client{Transport: transport}
		time.Sleep(startTime)
		test(w)
		transport.CloseIdleConnections()
		for _, node := range w.nodes {
			node.stop()
			<-node.done
		}
		w.store.Close()
		for _, server := range servers {
			_ = server.Close()
		}
	})
}

func (w *world) start(ip string) {
	ctx, cancel := context.WithCancel(context.Background())
	node := &runningNode{ip: ip, stop: cancel, done: make(chan struct{})}
	running := edge.New(edge.Options{
		Settings: site.Settings{
			Node: api.NodeID("node-" + ip), FailureDomain: "z1",
			Listen: site.Listen{Callers: ip + ":80", Readiness: ip + ":81", Addresses: ip + ":82", Peers: ip + ":83", Metrics: ip + ":84"},
			Bounds: site.Bounds{
				MaxDrainDelay: 2 * time.Second, GracePeriod: 8 * time.Second, MaxApplyDelay: 2 * time.Second, MaxRevocationDelay: 5 * time.Second,
				RetryRatio: 0.9, RetrySlack: 56, RetryWindow: 10 * time.Second, SessionTimeout: 5 * time.Second, MaxAddressTTL: 5 * time.Second,
			},
			Store: site.Store{Address: storeIP + ":80", MinLease: time.Second},
		},
		Network: w.network.Host(ip), Log: &log.Logger{Handler: discard.New()},
		Now: func() boottime.Time { return boottime.Time(time.Since(w.began) + time.Hour) },
	})
	go func() {
		defer close(node.done)
		_ = running.Run(ctx)
	}()
	w.nodes = append(w.nodes, node)
}

// onlyModelServer puts one server in the place of the model servers, until end is called.
func (w *world) onlyModelServer(opts platformfake.ServerOptions) (server *platformfake.Server, end func()) {
	opts.ID = "m0"
	server = platformfake.NewServer(opts)
	listener, err := w.network.Host("10.1.0.9").Listen(context.Background(), "10.1.0.9:80")
	w.c.Assert(err, qt.IsNil)
	serving := &http.Server{Handler: server}
	go func() { _ = serving.Serve(listener) }()
	w.store.Delete("servers/m1")
	w.store.Put("servers/m0", entry("models", "10.1.0.9:80", "ready"))
	time.Sleep(time.Second)
	return server, func() { _ = serving.Close() }
}

// answer is what a caller got; err tells that its connection ended first.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (w *world) ask(ctx context.Context, node int, path, key string) answer {
	number := w.requests.Add(1)
	method := http.MethodGet
	var body io.Reader
	if !strings.HasPrefix(path, "/r/") {
		method, body = http.MethodPost, strings.NewReader("body")
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+w.nodes[node].ip+":80"+path, body)
	w.c.Assert(err, qt.IsNil)
	req.Host = "app.example"
	req.Header.Set("Attempt-Id", fmt.Sprintf("request-%d", number))
	req.Header.Set("Deadline-Ms", "10000")
	req.Header.Set("Tenant", "forged")
	if key != "" {
		req.Header.Set("Key", key)
	}
	if strings.HasPrefix(path, "/s/") {
		req.Header.Set("Model", "*")
		req.Header.Set("Prompt-Prefix", "aa:10,bb:20")
		req.Header.Set("Token-Usage", "30,100")
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(text), err: err}
}

func (w *world) runs() []platformfake.Run {
	runs := w.calls.Runs()
	for _, server := range w.models {
		runs = append(runs, server.Runs()...)
	}
	return runs
}

// TestRequestsReachServers walks a stream, a call and a read through a node.
func TestRequestsReachServers(t *testing.T) {
	inWorld(t, func(w *world) {
		for _, test := range []struct {
			path, key, body string
			status          int
		}{
			{"/s/1", "key-1", platformfake.Stream("/s/1", 10), http.StatusOK},
			{"/c/1?a=b", "key-2", "answer of c0", http.StatusOK},
			{"/r/1", "key-1", "answer of c0", http.StatusOK},
			{"/o/1", "", "answer of c0", http.StatusOK},
			{"/c/1", "other", "", http.StatusUnauthorized},
			{"/none/", "key-1", "", http.StatusNotFound},
		} {
			got := w.ask(context.Background(), 0, test.path, test.key)
			w.c.Check(got.err, qt.IsNil)
			w.c.Check(got.status, qt.Equals, test.status, qt.Commentf(test.path))
			w.c.Check(got.body, qt.Equals, test.body)
			w.c.Check(got.header.Get("Server-Signature") != "", qt.Equals, test.status == http.StatusOK)
		}
		for _, run := range w.runs() {
			w.c.Check(run.HasKey, qt.IsFalse)
			w.c.Check(run.DeadlineMs, qt.Matches, "9[0-9]{3}|10000")
			if !strings.HasPrefix(run.Path, "/o/") {
				w.c.Check(run.Tenant, qt.Equals, "school")
			} else {
				w.c.Check(run.Tenant, qt.Equals, "")
			}
		}
	})
}

// TestBrokenStreamGoesOn breaks a stream within an event: it goes on after the last whole one, at another server if need be.
func TestBrokenStreamGoesOn(t *testing.T) {
	inWorld(t, func(w *world) {
		for _, server := range w.models {
			server.TruncateNextStream(4)
		}
		got := w.ask(context.Background(), 0, "/s/1", "key-1")
		w.c.Assert(got.err, qt.IsNil)
		w.c.Assert(got.body, qt.Equals, platformfake.Stream("/s/1", 10))
		var lasts []string
		for _, run := range w.runs() {
			lasts = append(lasts, run.LastEvent)
		}
		w.c.Assert(len(lasts) >= 2, qt.IsTrue)
	})
}

// TestSilentStreamIsKeptWhereNoneGoesOn lets all servers pause longer between events than the route's patience: the last server that may
// run the stream is waited for, and the caller gets all of it.
func TestSilentStreamIsKeptWhereNoneGoesOn(t *testing.T) {
	inWorld(t, func(w *world) {
		_, end := w.onlyModelServer(platformfake.ServerOptions{
			Latency: 50 * time.Millisecond, Pause: 1500 * time.Millisecond, Events: 6, Confidence: 90,
		})
		defer end()
		got := w.ask(context.Background(), 0, "/s/1", "key-1")
		w.c.Assert(got.err, qt.IsNil)
		w.c.Assert(got.body, qt.Equals, platformfake.Stream("/s/1", 6))
	})
}

// TestCallRunsAtMostOnce loses the answer of a call that may not be repeated: the caller is told that it may have run.
func TestCallRunsAtMostOnce(t *testing.T) {
	inWorld(t, func(w *world) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() {
			time.Sleep(10 * time.Millisecond)
			w.network.Kill("10.2.0.1")
		}()
		got := w.ask(ctx, 0, "/c/1", "key-1")
		w.c.Assert(got.err, qt.IsNil)
		w.c.Assert(got.status, qt.Equals, http.StatusBadGateway)
		w.c.Assert(w.calls.Runs(), qt.HasLen, 1)
	})
}

// TestRefusalIsTrue lets the only server refuse: the caller is told that nothing ran, and when to come back.
func TestRefusalIsTrue(t *testing.T) {
	inWorld(t, func(w *world) {
		w.calls.SetResponse(http.StatusServiceUnavailable, true)
		got := w.ask(context.Background(), 0, "/c/1", "key-1")
		w.c.Assert(got.status, qt.Equals, http.StatusServiceUnavailable)
		w.c.Assert(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
		w.c.Assert(w.calls.Runs(), qt.HasLen, 0)
	})
}

// TestRevokedKeyStops takes a key away, with the store in touch and while it is away.
func TestRevokedKeyStops(t *testing.T) {
	for _, isDown := range []bool{false, true} {
		t.Run(fmt.Sprintf("store down %v", isDown), func(t *testing.T) {
			inWorld(t, func(w *world) {
				w.store.SetDown(isDown)
				w.store.Put("op/config", configuration("key-2"))
				time.Sleep(5 * time.Second)
				for node := range w.nodes {
					got := w.ask(context.Background(), node, "/c/1", "key-1")
					if isDown {
						w.c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
					} else {
						w.c.Check(got.status, qt.Equals, http.StatusUnauthorized)
					}
				}
				w.c.Assert(w.calls.Runs(), qt.HasLen, 0)
				w.store.SetDown(false)
				time.Sleep(3 * time.Second)
				w.c.Assert(w.ask(context.Background(), 0, "/c/1", "key-1").status, qt.Equals, http.StatusUnauthorized)
				w.c.Assert(w.ask(context.Background(), 0, "/c/1", "key-2").status, qt.Equals, http.StatusOK)
			})
		})
	}
}

// TestConfigurationHoldsThroughCompaction changes the configuration in the moment in which the store drops its history.
func TestConfigurationHoldsThroughCompaction(t *testing.T) {
	inWorld(t, func(w *world) {
		w.store.Put("op/config", configuration("key-3"))
		w.store.Compact()
		time.Sleep(2 * time.Second)
		for node := range w.nodes {
			w.c.Check(w.ask(context.Background(), node, "/c/1", "key-3").status, qt.Equals, http.StatusOK)
			w.c.Check(w.ask(context.Background(), node, "/c/1", "key-1").status, qt.Equals, http.StatusUnauthorized)
		}
	})
}

// TestLeavingServerGetsNothing drains one model server: it gets no request later.
func TestLeavingServerGetsNothing(t *testing.T) {
	inWorld(t, func(w *world) {
		w.store.Put("servers/m0", entry("models", "10.1.0.1:80", "draining"))
		time.Sleep(time.Second)
		for i := range 10 {
			got := w.ask(context.Background(), i%2, fmt.Sprintf("/s/%d", i), "key-1")
			w.c.Check(got.status, qt.Equals, http.StatusOK)
		}
		w.c.Assert(w.models[0].Runs(), qt.HasLen, 0)
	})
}

// TestServersLapsedWithTheStoreAreKept lets a server's entry lapse while the store is away: requests go on, and two seconds after the
// store's return the server is gone.
func TestServersLapsedWithTheStoreAreKept(t *testing.T) {
	inWorld(t, func(w *world) {
		w.store.SetDown(true)
		time.Sleep(3500 * time.Millisecond)
		w.store.Delete("servers/c0")
		w.c.Check(w.ask(context.Background(), 0, "/o/1", "").status, qt.Equals, http.StatusOK)
		w.store.SetDown(false)
		time.Sleep(time.Second)
		w.c.Check(w.ask(context.Background(), 0, "/o/1", "").status, qt.Equals, http.StatusOK)
		time.Sleep(3 * time.Second)
		w.c.Check(w.ask(context.Background(), 0, "/o/1", "").status, qt.Equals, http.StatusServiceUnavailable)
	})
}

// TestGracefulStop stops a node while a stream runs and requests keep coming on a kept connection: none is cut, and the address answers
// of the other node leave it out.
func TestGracefulStop(t *testing.T) {
	inWorld(t, func(w *world) {
		streamed := make(chan answer, 1)
		go func() { streamed <- w.ask(context.Background(), 0, "/s/1", "key-1") }()
		time.Sleep(100 * time.Millisecond)
		w.nodes[0].stop()
		stopped := false
		for !stopped {
			got := w.ask(context.Background(), 0, "/r/1", "key-1")
			if got.err == nil {
				w.c.Check(got.status == http.StatusOK || got.status == http.StatusServiceUnavailable, qt.IsTrue)
			}
			select {
			case <-w.nodes[0].done:
				stopped = true
			case <-time.After(37 * time.Millisecond):
			}
		}
		got := <-streamed
		w.c.Assert(got.err, qt.IsNil)
		w.c.Assert(got.body, qt.Equals, platformfake.Stream("/s/1", 10))
		resp, err := w.client.Get("http://" + w.nodes[1].ip + ":82/monsoonrail/resolution?name=app.example&zone=z1")
		w.c.Assert(err, qt.IsNil)
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		w.c.Assert(err, qt.IsNil)
		w.c.Assert(string(text), qt.Equals, `{"addresses":["10.0.0.2:80"],"ttlS":2}`+"\n")
	})
}

// TestOneNodeWatchesTheStore counts calls: of the nodes of a failure domain one watches the store, the others follow it.
func TestOneNodeWatchesTheStore(t *testing.T) {
	inWorld(t, func(w *world) {
		for i := range 6 {
			w.start(fmt.Sprintf("10.0.1.%d", i+1))
		}
		time.Sleep(10 * time.Second)
		w.store.Calls()
		const period = 30
		time.Sleep(period * time.Second)
		// One poll in 1.2 s, and one lease renewal a second for each of eight nodes.
		w.c.Assert(w.store.Calls() <= period*9, qt.IsTrue)
	})
}

// TestMetricsTellHowRequestsEnd asks for the series after a stream, a refused key and a server's failure.
func TestMetricsTellHowRequestsEnd(t *testing.T) {
	inWorld(t, func(w *world) {
		w.ask(context.Background(), 0, "/s/1", "key-1")
		w.ask(context.Background(), 0, "/c/1", "other")
		w.calls.SetResponse(http.StatusInternalServerError, false)
		w.ask(context.Background(), 0, "/c/1", "key-1")
		resp, err := w.client.Get("http://" + w.nodes[0].ip + ":84/metrics")
		w.c.Assert(err, qt.IsNil)
		text, err := io.ReadAll(resp.Body)
		w.c.Assert(err, qt.IsNil)
		w.c.Assert(resp.Body.Close(), qt.IsNil)
		for _, line := range []string{
			`monsoonrail_gateway_requests{route="stream",outcome="request answered"} 1`,
			`monsoonrail_gateway_team_requests{team="school",outcome="request answered"} 2`,
			`monsoonrail_gateway_refused{reason="unknown key"} 1`,
			`monsoonrail_gateway_offers{service="calls",version="v1",outcome="server's failure"} 1`,
			`monsoonrail_gateway_request_microseconds_count{route="stream"} 1`,
			`monsoonrail_gateway_first_event_microseconds_count{route="stream"} 1`,
			`monsoonrail_edge_servers 3`,
			`monsoonrail_edge_nodes 2`,
		} {
			w.c.Check(string(text), qt.Contains, line+"\n")
		}
	})
}

// TestFollowersLeaveANodeCutFromTheStore silences the store for one node after the other, so that in turn it is the node that the
// others follow: a configuration accepted in that moment is in force on all others within the time that operators are told.
func TestFollowersLeaveANodeCutFromTheStore(t *testing.T) {
	const apply = 2 * time.Second
	inWorld(t, func(w *world) {
		for i := range 6 {
			w.start(fmt.Sprintf("10.0.1.%d", i+1))
		}
		time.Sleep(10 * time.Second)
		for cut := range w.nodes {
			key := fmt.Sprintf("new-key-%d", cut)
			w.network.Blackhole(w.nodes[cut].ip, storeIP)
			w.store.Put("op/config", configuration(key))
			time.Sleep(apply)
			for node := range w.nodes {
				if node != cut {
					w.c.Check(w.ask(context.Background(), node, "/r/1", key).status, qt.Equals, http.StatusOK, qt.Commentf("node %d, cut %d", node, cut))
				}
			}
			w.network.Heal(w.nodes[cut].ip, storeIP)
			time.Sleep(10 * time.Second)
		}
	})
}

// TestDoubtfulAnswerIsEscalated gives the small model's answers little confidence: the caller gets the large model's.
func TestDoubtfulAnswerIsEscalated(t *testing.T) {
	inWorld(t, func(w *world) {
		doubtful, end := w.onlyModelServer(platformfake.ServerOptions{Latency: time.Millisecond, Events: 3, Confidence: 10})
		defer end()
		got := w.ask(context.Background(), 0, "/s/1", "key-1")
		w.c.Assert(got.body, qt.Equals, platformfake.Stream("/s/1", 3))
		var models []string
		for _, run := range doubtful.Runs() {
			models = append(models, run.Model)
		}
		w.c.Assert(models, qt.DeepEquals, []string{"small", "large"})
	})
}
