package edge_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fake/platformfake"
)

const statusOfCalls = "status/rollout/calls"

// addCallServer adds a server of a version to the service of calls; stop ends it.
func (f *testFleet) addCallServer(id, ip, version string) (stop func()) {
	end := f.serveOn(ip, platformfake.NewServer(platformfake.ServerOptions{ID: id, Latency: 20 * time.Millisecond}))
	f.store.Put("servers/"+id, []byte(strings.Replace(string(entry("calls", ip+":80", "ready")), `"v1"`, `"`+version+`"`, 1)))
	return end
}

// callFor sends reads to all nodes in turn for a time, and returns how many were sent and served.
func (f *testFleet) callFor(length, interval time.Duration) (sent, served int) {
	statuses := make(chan int)
	for begin := time.Now(); time.Since(begin) < length; sent++ {
		node := sent % len(f.nodes)
		go func() { statuses <- f.send(context.Background(), node, "/r/1", "key-1").status }()
		time.Sleep(interval)
	}
	for range sent {
		if <-statuses == http.StatusOK {
			served++
		}
	}
	return sent, served
}

// TestVersionWithoutServersIsNotCompleted guards against the loss of a service: the servers of a new version crash early in its roll-out, with and without a
// later loss of all nodes. Completing it would stop the old servers.
func TestVersionWithoutServersIsNotCompleted(t *testing.T) {
	const duration = 24 * time.Second
	for _, test := range []struct {
		name           string
		crash, restart bool
		want           string
	}{
		{"servers crash", true, false, "reverted"},
		{"servers crash and nodes restart", true, true, "reverted"},
		{"servers stay", false, false, "completed"},
	} {
		t.Run(test.name, func(t *testing.T) {
			withTestFleet(t, func(f *testFleet) {
				stopNew := f.addCallServer("c1", "10.2.0.2", "v2")
				f.callFor(2*time.Second, 50*time.Millisecond)
				f.store.Put("op/rollout/calls", []byte(`{"service":"calls","target":"v2","durationS":24}`))
				ordered := time.Now()
				f.callFor(3*time.Second, 50*time.Millisecond)
				if test.crash {
					stopNew()
					f.store.Delete("servers/c1")
				} else {
					defer stopNew()
				}
				f.callFor(9*time.Second, 50*time.Millisecond)
				if test.restart {
					f.replaceNodes()
					time.Sleep(startTime)
				}
				f.callFor(duration-time.Since(ordered)-100*time.Millisecond, 50*time.Millisecond)
				status := string(f.store.Get(statusOfCalls).Value)
				f.c.Check(strings.Contains(status, "completed"), qt.Equals, !test.crash, qt.Commentf(status))
				sent, served := f.callFor(10*time.Second, 50*time.Millisecond)
				f.c.Check(string(f.store.Get(statusOfCalls).Value), qt.Contains, test.want)
				f.c.Check(served, qt.Equals, sent)
			})
		})
	}
}
