package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/sleep"
)

const (
	// stopTime is the time for which nodes are stopped one after the other, stopCallers the number of callers of each.
	stopTime    = 12 * time.Second
	stopCallers = 50
	// lossSlack is how long after a request's last byte its connection may end without an answer if no server has run it.
	lossSlack = 200 * time.Millisecond
	// quotaPeriod and quotaShare are those of the processor time of every other node: it stands still for the rest of each period.
	quotaPeriod, quotaShare = 100 * time.Millisecond, 0.1
	// stopRoutes is a configuration with requests that may and may not be repeated, and with a number of routes that nobody uses.
	stopRoutes = `{"version":%d,"routes":[{"name":"read","host":"app.example","prefix":"/r/","routeType":"safe","service":"app","maxAttempts":2,"public":true},` +
		`{"name":"call","host":"app.example","prefix":"/c/","routeType":"unsafe","service":"app","maxAttempts":1,"public":true}],` +
		`"services":[{"name":"app","healthPath":"/health"}],"limits":{"maxBodyBytes":100000,"idleTimeoutMs":%d}}`
)

// stopCall is a request of a caller that uses a connection until it ends.
type stopCall struct {
	id string
	// isAnswered is set if the answer came to its end, whatever its status, isLate if the connection ended later than lossSlack after the request instead.
	isAnswered, isLate bool
}

// TestStopSoak stops nodes one after the other while their settings change with and without a SIGHUP, SIGTERM is repeated, configurations come and the store is
// out, at times drawn by the seed. Callers use their connections until the node is gone. It checks that no request is lost that a server has run, and that
// processes end by themselves.
func TestStopSoak(t *testing.T) {
	seeds := envInt("SOAK_SEEDS", 0)
	if seeds == 0 {
		t.Skip("make soak runs it")
	}
	program := build(t)
	first := envInt("SOAK_SEED", 1)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newEdgeFleet(t, t.TempDir(), program)
			calls, stops := f.runStops(uint64(seed))
			ran := make(map[string]bool)
			for _, server := range f.servers {
				for _, run := range server.Runs() {
					ran[run.ID] = true
				}
			}
			var lost []string
			answered := 0
			for _, call := range calls {
				if call.isAnswered {
					answered++
				} else if ran[call.id] || call.isLate {
					lost = append(lost, call.id)
				}
			}
			t.Logf("seed %d: %d stops, %d requests, %d answered, %d lost", seed, stops, len(calls), answered, len(lost))
			qt.Check(t, answered > 0 && stops > 0, qt.IsTrue)
			qt.Check(t, lost, qt.HasLen, 0)
		})
	}
}

// runStops returns the requests of all callers, and how many stops there were.
func (f *edgeFleet) runStops(seed uint64) (calls []stopCall, stops int64) {
	f.store.Put("op/config", fmt.Appendf(nil, stopRoutes, 1, 15000))
	for i, latency := range []time.Duration{5, 50, 300, 700} {
		f.servers[i].SetLatency(latency * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	var mu sync.Mutex
	var all sync.WaitGroup
	var stopped atomic.Int64
	for i := range edgeNodes {
		all.Go(func() { f.stopInTurn(ctx, i, rand.New(rand.NewPCG(seed, uint64(i))), &stopped) })
		for caller := range stopCallers {
			all.Go(func() {
				made := f.useConnections(ctx, i, caller, rand.New(rand.NewPCG(seed, uint64(100*(i+1)+caller))))
				mu.Lock()
				defer mu.Unlock()
				calls = append(calls, made...)
			})
		}
	}
	all.Go(func() { f.changeStore(ctx, rand.New(rand.NewPCG(seed, edgeNodes))) })
	all.Wait()
	f.store.SetDown(false)
	return calls, stopped.Load()
}

// stopInTurn stops and starts a node until ctx ends.
func (f *edgeFleet) stopInTurn(ctx context.Context, i int, random *rand.Rand, stopped *atomic.Int64) {
	for f.awaitListener(ctx, i) && sleep.For(ctx, time.Duration(random.IntN(2500))*time.Millisecond) {
		node := f.nodes[i]
		ended := make(chan error, 1)
		go func() { ended <- node.Wait() }()
		limited, endLimit := context.WithCancel(context.Background())
		if i%2 == 1 {
			go limitProcessor(limited, node.Process)
		}
		settings := fmt.Sprintf("%s/node-%d.toml", f.dir, i)
		for isFirst := true; ; isFirst = false {
			if isFirst || random.IntN(3) == 0 {
				f.c.Check(node.Process.Signal(syscall.SIGTERM), qt.IsNil)
			} else {
				now := time.Now()
				f.c.Check(os.Chtimes(settings, now, now), qt.IsNil)
				_ = node.Process.Signal(syscall.SIGHUP)
			}
			select {
			case err := <-ended:
				f.c.Check(err, qt.IsNil)
			case <-time.After(time.Duration(50+random.IntN(400)) * time.Millisecond):
				continue
			}
			break
		}
		endLimit()
		stopped.Add(1)
		f.start(i)
	}
}

// limitProcessor has a process run for quotaShare of each quotaPeriod, until ctx ends.
func limitProcessor(ctx context.Context, process *os.Process) {
	run := time.Duration(quotaShare * float64(quotaPeriod))
	for sleep.For(ctx, run) {
		_ = process.Signal(syscall.SIGSTOP)
		sleep.For(ctx, quotaPeriod-run)
		_ = process.Signal(syscall.SIGCONT)
	}
}

// awaitListener waits until a node listens; before, a signal ends it by the signal's default action. It reports false if ctx ends before.
func (f *edgeFleet) awaitListener(ctx context.Context, i int) bool {
	for ctx.Err() == nil {
		conn, err := net.Dial("tcp", fmt.Sprintf("%s.77.%d:8001", f.prefix, i+1))
		if err == nil {
			return conn.Close() == nil
		}
		sleep.For(ctx, 20*time.Millisecond)
	}
	return false
}

// changeStore changes the configuration, and has the store out for a time now and then.
func (f *edgeFleet) changeStore(ctx context.Context, random *rand.Rand) {
	for version := 2; sleep.For(ctx, time.Duration(200+random.IntN(600))*time.Millisecond); version++ {
		f.store.Put("op/config", fmt.Appendf(nil, stopRoutes, version, 3000+random.IntN(12000)))
		if random.IntN(4) == 0 {
			f.store.SetDown(true)
			sleep.For(ctx, time.Duration(random.IntN(1500))*time.Millisecond)
			f.store.SetDown(false)
		}
	}
}

// useConnections sends requests to a node, each connection until it ends, until ctx has ended.
func (f *edgeFleet) useConnections(ctx context.Context, node, caller int, random *rand.Rand) (calls []stopCall) {
	for ctx.Err() == nil {
		conn, err := net.Dial("tcp", fmt.Sprintf("%s.77.%d:8001", f.prefix, node+1))
		if err != nil {
			sleep.For(ctx, 20*time.Millisecond)
			continue
		}
		reader := bufio.NewReader(conn)
		for isOpen := true; isOpen && ctx.Err() == nil; {
			sleep.For(ctx, time.Duration(random.IntN(200))*time.Millisecond)
			call := stopCall{id: fmt.Sprintf("s%d-%d-%d", node, caller, len(calls))}
			isOpen = call.exchange(conn, reader, random)
			calls = append(calls, call)
		}
		_ = conn.Close()
	}
	return calls
}

// exchange sends the request, now and then in parts, and reads its answer. It reports whether the connection is still open.
func (call *stopCall) exchange(conn net.Conn, reader *bufio.Reader, random *rand.Rand) (isOpen bool) {
	text := "GET /r/1 HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: " + call.id + "\r\nDeadline-Ms: 1000\r\n\r\n"
	if random.IntN(2) == 0 {
		text = "POST /c/1 HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: " + call.id + "\r\nDeadline-Ms: 1000\r\nContent-Length: 5\r\n\r\norder"
	}
	if random.IntN(4) == 0 {
		cut := 1 + random.IntN(len(text)-1)
		if _, err := io.WriteString(conn, text[:cut]); err != nil {
			return false
		}
		time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
		text = text[cut:]
	}
	if _, err := io.WriteString(conn, text); err != nil {
		return false
	}
	sent := time.Now()
	resp, err := http.ReadResponse(reader, nil)
	if err == nil {
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
	}
	call.isAnswered = err == nil
	call.isLate = err != nil && time.Since(sent) > lossSlack
	return err == nil && !resp.Close
}
