package copier

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/engine"
	"github.com/monsoonrail/monsoonrail/internal/fake/enginefake"
	"github.com/monsoonrail/monsoonrail/internal/fake/memnet"
	"github.com/monsoonrail/monsoonrail/internal/fake/script"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/guard"
	"github.com/monsoonrail/monsoonrail/internal/poison"
	"github.com/monsoonrail/monsoonrail/internal/registry"
	"github.com/monsoonrail/monsoonrail/internal/router"
	"github.com/monsoonrail/monsoonrail/internal/suspect"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

var (
	v1 = api.VersionID{Model: "tutor", Version: "v1"}
	v2 = api.VersionID{Model: "tutor", Version: "v2"}
)

// testBed is a copier with one engine; it implements the copier's dependencies and counts their calls.
type testBed struct {
	*qt.C
	copier *Copier
	engine *enginefake.Engine
	config *fleet.Config
	guard  *guard.Guard
	// status, if not 0, is the HTTP status of every response of the engine.
	status atomic.Int32
	// cutFirst breaks each stream except resumed ones.
	cutFirst atomic.Bool

	mu                                      sync.Mutex
	reserved                                int
	dispatched, answered, failed, discarded int
	rated                                   []router.RatedAnswer
	crashes                                 int
}

func (b *testBed) note(count *int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	*count++
}

func (b *testBed) ReserveCopy(_ api.Service, control api.VersionID, _ float64) (api.VersionID, bool) {
	b.note(&b.reserved)
	return v2, control == v1
}
func (b *testBed) Dispatched(api.RequestID, suspect.Key)                { b.note(&b.dispatched) }
func (b *testBed) Answered(api.RequestID, api.VersionID, time.Duration) { b.note(&b.answered) }
func (b *testBed) Failed(api.RequestID, api.VersionID)                  { b.note(&b.failed) }
func (b *testBed) Discarded(api.RequestID, api.VersionID)               { b.note(&b.discarded) }
func (b *testBed) Current() *fleet.Config                               { return b.config }
func (b *testBed) Offer(rated router.RatedAnswer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rated = append(b.rated, rated)
}

func run(t *testing.T, test func(b *testBed)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		b := &testBed{C: qt.New(t), guard: guard.New(time.Now(), nil)}
		b.guard.RecordPeerReports(time.Now())
		b.config = &fleet.Config{
			Defaults: fleet.Policy{Allowed: []string{"*"}},
			Services: []fleet.Service{{Name: "tutor-llm", Models: []fleet.Model{{Name: "tutor", Versions: []fleet.Version{
				{Name: "v1", State: fleet.StateServing}, {Name: "v2", State: fleet.StateCandidate},
			}}}}},
		}
		b.engine = enginefake.New(enginefake.Options{ID: "s1", Versions: []enginefake.Version{{ID: v1}, {ID: v2}}})
		network := memnet.New()
		listener, err := network.Host("10.0.0.1").Listen(ctx, "10.0.0.1:80")
		b.Assert(err, qt.IsNil)
		server := &http.Server{Handler: http.HandlerFunc(b.serve)}
		go func() { _ = server.Serve(listener) }()
		servers := registry.New()
		servers.Update([]fleet.Server{{ID: "s1", Service: "tutor-llm", Address: "10.0.0.1:80"}})
		known, _ := servers.Find("s1")
		known.SetReport(registry.Report{Versions: []api.VersionID{v1, v2}, MeasuredAt: time.Now()})
		transport := tcp.NewTransport(network.Host("10.0.0.2"))
		b.copier = New(Options{
			Trials: b, Configs: b, Rater: b, Guard: b.guard, Registry: servers,
			Engines:     engine.NewClient(&http.Client{Transport: transport}, &http.Client{Transport: transport}),
			DetectCrash: func(context.Context, *registry.Server, error) { b.note(&b.crashes) },
			Draw:        func() float64 { return 0 }, Log: &log.Logger{Handler: discard.New()},
		})
		ended := make(chan error)
		go func() { ended <- b.copier.Run(ctx) }()
		defer func() {
			cancel()
			<-ended
			transport.CloseIdleConnections()
			b.Check(server.Close(), qt.IsNil)
			b.engine.Close()
		}()
		test(b)
	})
}

func (b *testBed) serve(w http.ResponseWriter, r *http.Request) {
	if status := b.status.Load(); status != 0 {
		w.WriteHeader(int(status))
		return
	}
	if b.cutFirst.Load() {
		b.engine.CutStreams(1)
	}
	if r.Header.Get("X-Resume-Offset") != "" {
		b.engine.CutStreams(0)
	}
	b.engine.ServeHTTP(w, r)
}

// waitForCopies waits until every copy has ended.
func (b *testBed) waitForCopies() {
	time.Sleep(time.Minute)
	synctest.Wait()
}

func original(id api.RequestID) Original {
	return Original{
		ID: id, Team: "lessons", Service: "tutor-llm", Class: "review", Version: v1,
		Request:     api.ChatRequest{Messages: []api.ChatMessage{{Role: "user", Content: "explain the failing commit"}}, MaxTokens: 5},
		Fingerprint: poison.FingerprintOf([]byte(id)),
	}
}

func TestCopyIsRatedAndCounted(t *testing.T) {
	run(t, func(b *testBed) {
		b.copier.Offer(original("q1"))
		b.waitForCopies()
		b.Assert(b.answered, qt.Equals, 1)
		b.Assert(b.rated, qt.HasLen, 1)
		b.Assert(b.rated[0].RequestID, qt.Equals, api.RequestID("q1-copy"))
		b.Assert(b.rated[0].Version, qt.Equals, v2)
		b.Assert(b.rated[0].Answer, qt.Not(qt.Equals), "")
	})
}

func TestOnlyControlAnswersAreCopied(t *testing.T) {
	run(t, func(b *testBed) {
		other := original("q1")
		other.Version = v2
		b.copier.Offer(other)
		b.waitForCopies()
		b.Assert(b.dispatched, qt.Equals, 0)
	})
}

func TestFailuresCountAgainstTheVersion(t *testing.T) {
	run(t, func(b *testBed) {
		b.status.Store(http.StatusInternalServerError)
		b.copier.Offer(original("q1"))
		b.waitForCopies()
		b.Assert(b.failed, qt.Equals, 1)
		b.Assert(b.rated, qt.HasLen, 0)
	})
}

func TestDisallowedCopyIsDropped(t *testing.T) {
	for name, prevent := range map[string]func(b *testBed){
		"withdrawn":   func(b *testBed) { b.config.Services[0].Models[0].Versions[1].State = fleet.StateWithdrawn },
		"not allowed": func(b *testBed) { b.config.Defaults.Allowed = []string{"tutor@v1"} },
		"no server":   func(b *testBed) { b.copier.opts.Registry.Update(nil) },
		"leaving":     func(b *testBed) { b.engine.SetLeaving(true) },
		"suspected": func(b *testBed) {
			end := b.guard.BeginRun("s9", original("q1").Fingerprint, time.Now())
			b.guard.RecordCrash("s9", time.Now())
			end()
		},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(b *testBed) {
				prevent(b)
				b.copier.Offer(original("q1"))
				b.waitForCopies()
				b.Assert([]int{b.dispatched, b.discarded, b.answered, b.failed}, qt.DeepEquals, []int{1, 1, 0, 0})
			})
		})
	}
}

func TestExcessCopiesAreDropped(t *testing.T) {
	run(t, func(b *testBed) {
		stopped := New(b.copier.opts)
		for range maxQueued + 3 {
			stopped.Offer(original("q"))
		}
		b.Assert(b.dispatched, qt.Equals, maxQueued+3)
		b.Assert(b.discarded, qt.Equals, 3)
	})
}

// TestCutConnectionIsNotTheVersionsFault breaks each stream once: the copy must resume on a second connection and not count as
// failed.
func TestCutConnectionIsNotTheVersionsFault(t *testing.T) {
	run(t, func(b *testBed) {
		b.copier.Offer(original("whole"))
		b.waitForCopies()
		b.cutFirst.Store(true)
		cut := original("whole")
		cut.ID = "cut"
		b.copier.Offer(cut)
		b.waitForCopies()
		b.Assert(b.failed+b.crashes, qt.Equals, 0)
		b.Assert(b.answered, qt.Equals, 2)
		b.Assert(b.rated[1].Answer, qt.Equals, b.rated[0].Answer)
	})
}

func TestServerCrashIsReported(t *testing.T) {
	run(t, func(b *testBed) {
		crash := original("q1")
		crash.Request.Messages[0].Content = script.CrashMarker
		b.copier.Offer(crash)
		b.waitForCopies()
		b.Assert(b.answered, qt.Equals, 0)
		b.Assert(b.crashes, qt.Equals, 1)
	})
}
