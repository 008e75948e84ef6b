package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fake/platformfake"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
)

const (
	// edgeNodes and edgeServers are the numbers of nodes and of backend servers, which are in two failure domains by turns.
	edgeNodes, edgeServers = 4, 4
	// edgeInterval is the time between two requests.
	edgeInterval = 15 * time.Millisecond
	// evacuationBound is the time in which all nodes must know of an evacuation.
	evacuationBound = 5 * time.Second
	// coldTime is how long servers are cold, and coldPerSecond what they take then; settings allow them coldMost requests in a second.
	coldTime      = 3 * time.Second
	coldPerSecond = 4
	coldMost      = 1.5*coldPerSecond + 5

	edgeNodeSettings = `nodeName = "edge-%[1]d"
zone = "z%[2]d"
region = "north"
ip = %[3]q
internalPortRange = [8003,8005]
[listen]
front = "%[3]s:8001"
ready = "%[3]s:8002"
[limits]
cores = 1
memoryMb = 284
[bounds]
graceS = 3
configApplyMs = 2000
retryBudgetRatio = 0.9
retrySlack = 56
warmupOvershoot = 1.5
warmupSlack = 5
evacuationMs = 5000
[platform]
address = %[4]q
minTtlMs = 1000
`
	edgeRoutes = `{"version":1,"routes":[{"name":"read","host":"app.example","prefix":"/r/","routeType":"safe","service":"app","maxAttempts":3,"public":true}],` +
		`"services":[{"name":"app","healthPath":"/health","warmupS":%d,"warmupPerS":%d}],"limits":{"maxBodyBytes":100000}}`
)

// span is a time in which a server is cold, or must get no requests.
type span struct{ from, to time.Time }

// edgeFleet is a fleet of nodes as processes on a fake platform, all on loopback addresses.
type edgeFleet struct {
	c           *qt.C
	dir, prefix string
	programs    []string
	store       *platformfake.Store
	storeURL    string
	servers     []*platformfake.Server
	addresses   []string
	// nodes holds the running process of each place, starts how often it was started.
	nodes  [edgeNodes]*exec.Cmd
	starts [edgeNodes]int

	mu sync.Mutex
	// evacuated and cold hold the spans of each server.
	evacuated, cold [edgeServers][]span
}

func newEdgeFleet(t *testing.T, dir string, programs ...string) *edgeFleet {
	f := &edgeFleet{c: qt.New(t), dir: dir, prefix: fmt.Sprintf("127.%d", 64+os.Getpid()%128), programs: programs, store: platformfake.NewStore()}
	t.Cleanup(f.store.Close)
	f.storeURL = f.serve(t, f.store)
	f.store.Put("op/config", fmt.Appendf(nil, edgeRoutes, int(coldTime.Seconds()), coldPerSecond))
	for i := range edgeServers {
		server := platformfake.NewServer(platformfake.ServerOptions{ID: fmt.Sprintf("s%d", i), Latency: 20 * time.Millisecond})
		f.servers, f.addresses = append(f.servers, server), append(f.addresses, f.serve(t, server))
		f.announce(i, 0)
	}
	for i := range edgeNodes {
		f.start(i)
	}
	t.Cleanup(func() {
		for _, node := range f.nodes {
			_ = node.Process.Kill()
			_ = node.Wait()
		}
	})
	return f
}

// serve serves a handler on a loopback address, which it returns.
func (f *edgeFleet) serve(t *testing.T, handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	f.c.Assert(err, qt.IsNil)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// domainOf returns the failure domain of a server or node.
func domainOf(i int) int { return 1 + i%2 }

// announce writes a server's entry, by which it is cold for a time.
func (f *edgeFleet) announce(i int, cold time.Duration) {
	f.store.Put(fmt.Sprintf("servers/s%d", i), fmt.Appendf(nil,
		`{"service":"app","address":%q,"zone":"z%d","version":"v1","slots":32,"state":"ready","warmupLeftMs":%d,"sequence":1,"born":1}`,
		f.addresses[i], domainOf(i), cold.Milliseconds()))
}

// start starts a node, every other one at first with the earlier release's program if there is one.
func (f *edgeFleet) start(i int) {
	ip := fmt.Sprintf("%s.77.%d", f.prefix, i+1)
	settings := filepath.Join(f.dir, fmt.Sprintf("node-%d.toml", i))
	f.c.Assert(os.WriteFile(settings, fmt.Appendf(nil, edgeNodeSettings, i, domainOf(i), ip, f.storeURL), 0o600), qt.IsNil)
	program := f.programs[0]
	if f.starts[i] == 0 {
		program = f.programs[i%len(f.programs)]
	}
	f.starts[i]++
	output, err := os.Create(filepath.Join(f.dir, fmt.Sprintf("node-%d.%d.log", i, f.starts[i])))
	f.c.Assert(err, qt.IsNil)
	defer output.Close()
	node := exec.Command(program, "edge", "--settings", settings)
	node.Stdout, node.Stderr = output, output
	f.c.Assert(node.Start(), qt.IsNil)
	f.nodes[i] = node
}

// evacuate evacuates a failure domain for a time. Its servers come back cold.
func (f *edgeFleet) evacuate(ctx context.Context, domain int, lasts time.Duration) {
	f.store.Put(fmt.Sprintf("op/evacuate/z%d", domain), []byte(`{}`))
	from := time.Now().Add(evacuationBound)
	sleep.For(ctx, lasts)
	to := time.Now()
	for i := range f.servers {
		if domainOf(i) == domain {
			f.announce(i, coldTime)
		}
	}
	f.store.Delete(fmt.Sprintf("op/evacuate/z%d", domain))
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.servers {
		if domainOf(i) == domain {
			f.evacuated[i] = append(f.evacuated[i], span{from, to})
			f.cold[i] = append(f.cold[i], span{to, to.Add(coldTime)})
		}
	}
}

// breaches returns the requests that servers got in spite of an evacuation or of being cold.
func (f *edgeFleet) breaches() (broken []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, server := range f.servers {
		within := func(s span) (times []time.Time) {
			for _, arrival := range server.ListArrivals() {
				if arrival.At.After(s.from) && arrival.At.Before(s.to) {
					times = append(times, arrival.At)
				}
			}
			slices.SortFunc(times, time.Time.Compare)
			return times
		}
		for _, s := range f.evacuated[i] {
			if times := within(s); len(times) > 0 {
				broken = append(broken, fmt.Sprintf("server %d got %d requests while its failure domain was evacuated", i, len(times)))
			}
		}
		for _, s := range f.cold[i] {
			times, first := within(s), 0
			for n, at := range times {
				for at.Sub(times[first]) >= time.Second {
					first++
				}
				if float64(n-first+1) > coldMost {
					broken = append(broken, fmt.Sprintf("server %d got %d requests in a second while it was cold", i, n-first+1))
					break
				}
			}
		}
	}
	return broken
}

// send sends a request through a node, and once more through the next one if it isn't answered.
func (f *edgeFleet) send(client *http.Client, number int) bool {
	for try := range 2 {
		url := fmt.Sprintf("http://%s.77.%d:8001/r/%d", f.prefix, 1+(number+try)%edgeNodes, number)
		req, err := http.NewRequest(http.MethodGet, url, nil)
		f.c.Check(err, qt.IsNil)
		req.Host = "app.example"
		req.Header.Set("Attempt-Id", fmt.Sprintf("r%d-%d", number, try))
		req.Header.Set("Deadline-Ms", "3000")
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// TestEdgeSoak evacuates one failure domain after the other and lets its servers come back cold, while nodes are killed and the store is out, at times drawn by
// the seed. It checks that no server gets more than it may, and that requests are answered. While an earlier release runs beside (SOAK_OLD), only the latter,
// since that one knows neither.
func TestEdgeSoak(t *testing.T) {
	seeds := envInt("SOAK_SEEDS", 0)
	if seeds == 0 {
		t.Skip("make soak runs it")
	}
	programs := []string{build(t)}
	earlier := os.Getenv("SOAK_OLD")
	if earlier != "" {
		programs = append(programs, earlier)
	}
	first := envInt("SOAK_SEED", 1)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newEdgeFleet(t, t.TempDir(), programs...)
			sent, answered := f.run(uint64(seed))
			t.Logf("seed %d: %d requests, %d answered; %s", seed, sent, answered, strings.Join(f.breaches(), "; "))
			qt.Check(t, float64(answered) >= (1-refusedShare)*float64(sent), qt.IsTrue)
			if earlier == "" {
				qt.Check(t, f.breaches(), qt.HasLen, 0)
			}
		})
	}
}

// run sends requests while everything happens, and returns how many were sent and answered.
func (f *edgeFleet) run(seed uint64) (sent int, answered int64) {
	const warmUp, rounds = 5 * time.Second, 3
	random := rand.New(rand.NewPCG(seed, 0x65646765))
	within := func(least, most time.Duration) time.Duration {
		return least + time.Duration(random.Int64N(int64(most-least)))
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	time.Sleep(warmUp)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for round := range rounds {
			outageAt, outageLasts := within(100*time.Millisecond, 4*time.Second), within(time.Second, 3*time.Second)
			lasts, node, pause := within(7*time.Second, 9*time.Second), random.IntN(edgeNodes), within(4*time.Second, 5*time.Second)
			var open sync.WaitGroup
			open.Go(func() { f.evacuate(ctx, 1+round%2, lasts) })
			sleep.For(ctx, outageAt)
			f.store.SetDown(true)
			sleep.For(ctx, outageLasts)
			f.store.SetDown(false)
			open.Wait()
			_ = f.nodes[node].Process.Kill()
			_ = f.nodes[node].Wait()
			f.start(node)
			sleep.For(ctx, pause)
		}
	}()
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	var count atomic.Int64
	var open sync.WaitGroup
	ticks := time.NewTicker(edgeInterval)
	defer ticks.Stop()
	for {
		select {
		case <-done:
			open.Wait()
			return sent, count.Load()
		case <-ticks.C:
			number := sent
			sent++
			open.Go(func() {
				if f.send(client, number) {
					count.Add(1)
				}
			})
		}
	}
}
