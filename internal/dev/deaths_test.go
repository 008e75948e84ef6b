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

// TestEveryNodeSeesADeath lets a server die that runs nothing: each node sees it once, with the loads that it asks for, and does
// not take a server that leaves for dead.
func TestEveryNodeSeesADeath(t *testing.T) {
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

// checkOutlasted checks that every stream came whole, but for a few refused at their deadline of 8 s, which holds for those whose
// first token had not come when servers died.
func checkOutlasted(t *testing.T, results []streamResult, mayBeRefused int) {
	t.Helper()
	refused := 0
	for i, result := range results {
		if result.status == http.StatusGatewayTimeout {
			refused++
			continue
		}
		qt.Check(t, result.whole(), qt.IsTrue, qt.Commentf("caller %d after %s: %s", i, result.took, tail(result.body)))
	}
	qt.Check(t, refused <= mayBeRefused, qt.IsTrue, qt.Commentf("%d refused", refused))
	t.Logf("slowest answer after %s, %d refused", longest(results), refused)
}

// TestStreamsOutlastDeathsTogether lets two servers and a node die at once: the other nodes' streams wait until the dead node no
// longer counts as one that could tell what ran on the servers, and go on.
func TestStreamsOutlastDeathsTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, nil)
		defer b.close()
		results := b.streamsThrough(2, 24, func() {
			time.Sleep(midway)
			b.net.Kill("127.1.2.1")
			b.net.Kill("127.1.2.4")
			b.system.KillNode(2)
		})
		checkOutlasted(t, results, 2)
	})
}

// TestStreamsOutlastAPoisonRequest lets one request crash two servers of a small pool, beside streams that have run for a while on
// all of them: none may be taken for it because it went on where the request came next.
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
				checkOutlasted(t, results, 1)
			})
		})
	}
}
