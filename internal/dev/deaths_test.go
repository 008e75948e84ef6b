package dev_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/monsoonrail/monsoonrail/internal/dev"
	"github.com/monsoonrail/monsoonrail/internal/fake/script"

	qt "github.com/frankban/quicktest"
)

// TestEveryNodeDetectsServerCrash crashes an idle server: each node must count the crash once, when a load request to the server fails.
// A server that is leaving must not count as crashed.
func TestEveryNodeDetectsServerCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, nil)
		defer b.close()
		b.system.LeaveServer("tutor-llm-2")
		time.Sleep(3 * time.Second)
		b.net.Kill("127.1.2.1")
		b.net.Kill("127.1.2.2")
		time.Sleep(10 * time.Second)
		for i := range b.system.NodeCount() {
			deaths, ok := b.system.Node(i).Metrics().Get("server_deaths").(metrics.Counter)
			qt.Assert(t, ok, qt.IsTrue)
			qt.Check(t, deaths.Count(), qt.Equals, int64(1))
		}
	})
}

// checkStreamsComplete checks that every stream is complete, except for at most maxRejected streams rejected at their deadline of 8 s.
// The deadline applies to streams whose first token had not arrived when servers crashed.
func checkStreamsComplete(t *testing.T, results []streamResult, maxRejected int) {
	t.Helper()
	rejected := 0
	for i, result := range results {
		if result.status == http.StatusGatewayTimeout {
			rejected++
			continue
		}
		qt.Check(t, result.isComplete(), qt.IsTrue, qt.Commentf("caller %d after %s: %s", i, result.took, tail(result.body)))
	}
	qt.Check(t, rejected <= maxRejected, qt.IsTrue, qt.Commentf("%d refused", rejected))
	t.Logf("slowest answer after %s, %d refused", longest(results), rejected)
}

// TestStreamsSurviveSimultaneousCrashes crashes two servers and a node at once: streams of the other nodes wait until the crashed node
// is no longer a member that could report what ran on the servers, and then continue.
func TestStreamsSurviveSimultaneousCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, nil)
		defer b.close()
		results := b.streamsThrough(2, 24, func() {
			time.Sleep(midway)
			b.net.Kill("127.1.2.1")
			b.net.Kill("127.1.2.4")
			b.system.KillNode(2)
		})
		checkStreamsComplete(t, results, 2)
	})
}

// TestStreamsOutlastAPoisonRequest has one request crash two servers of a small pool on which streams already run. A stream must not
// be mistaken for the poison request because it resumed on the server that the poison request crashed next.
func TestStreamsOutlastAPoisonRequest(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, func(o *dev.Options) { o.Engines, o.EngineSpeed, o.Seed = 5, 20, seed })
				defer b.close()
				results := b.streamsThrough(3, 24, func() {
					time.Sleep(time.Second)
					poison := chatBody(false, script.Prompt{Call: fmt.Sprint("poison", seed), Crash: true})
					for i := range 4 {
						b.do(http.MethodPost, b.system.NodeURL(i%b.system.NodeCount())+chatPath, nil, poison)
						time.Sleep(500 * time.Millisecond)
					}
				})
				down := 0
				for _, engine := range b.system.Engines() {
					if engine.IsDown() {
						down++
					}
				}
				qt.Check(t, down, qt.Equals, 2)
				checkStreamsComplete(t, results, 1)
			})
		})
	}
}
