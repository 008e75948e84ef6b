// Package plainfake is a fake backend server of a plain service with fault injection.
// It uses only the time package for time, so that it runs in a synctest bubble.
package plainfake

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// maxBody is the maximum size of a request body in bytes.
	maxBody = 16 << 20
	// maxRuns bounds the recorded runs; the oldest are dropped first.
	maxRuns = 1 << 20
	// defaultSlots is the default capacity in the load report.
	defaultSlots = 32
)

// Options configures New.
type Options struct {
	ID   api.ServerID
	Seed uint64
	// Latency is the time that a call takes; a random time of up to Jitter is added to it.
	Latency time.Duration
	Jitter  time.Duration
	// Slots is the capacity in the load report; 0 means 32.
	Slots int
	// OnDown is called when the service is killed or closed, and OnUp when it starts. They close and allow the connections of
	// its host, as the operating system does, and must not call the service.
	OnDown, OnUp func()
}

// Run records a call that reached the service.
type Run struct {
	Server    api.ServerID
	RequestID api.RequestID
	At        time.Time
	Method    string
	Path      string
	Query     string
	Body      string
	// Whole reports that the complete body arrived, so that the call was executed.
	Whole bool
}

// Answer is the body of a response.
type Answer struct {
	Server    api.ServerID
	RequestID api.RequestID
	Method    string
	Path      string
	// Number is the number of this call among those that the server executed, from 1.
	Number int
	// Echo is the body of the call.
	Echo string
}

// Service is a fake backend server; it implements http.Handler.
type Service struct {
	opts Options
	mux  *http.ServeMux

	mu      sync.Mutex
	rng     *rand.Rand
	life    context.Context
	endLife context.CancelFunc
	down    bool
	closed  bool
	leaving bool
	// ignoreLeaving makes the server act as if leaving were false.
	ignoreLeaving bool
	failCalls     float64
	loseAnswers   float64
	extraDelay    time.Duration
	running       int
	executed      int
	runs          []Run
}

// New starts a server.
func New(opts Options) *Service {
	if opts.Slots == 0 {
		opts.Slots = defaultSlots
	}
	s := &Service{opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 1)), mux: http.NewServeMux()}
	s.startLife()
	s.mux.HandleFunc("GET /v1/load", s.serveLoad)
	s.mux.HandleFunc("/", s.serveCall)
	return s
}

// ServeHTTP implements http.Handler. While the server is down, it breaks connections without a response.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down, life := s.down, s.life
	s.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	s.mux.ServeHTTP(w, r)
	if life.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

// ID returns the server's id.
func (s *Service) ID() api.ServerID { return s.opts.ID }

// Close stops the server permanently.
func (s *Service) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.kill()
}

// startLife starts the server; s.mu is held except in New.
func (s *Service) startLife() {
	s.life, s.endLife = context.WithCancel(context.Background())
	if s.opts.OnUp != nil {
		s.opts.OnUp()
	}
}

// Kill stops the server as a crash does: it breaks every call. Executed calls stay recorded.
func (s *Service) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kill()
}

func (s *Service) kill() {
	s.down = true
	s.endLife()
	if s.opts.OnDown != nil {
		s.opts.OnDown()
	}
}

// Restart starts a killed server; it does nothing while the server is up or closed.
func (s *Service) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down || s.closed {
		return
	}
	s.down = false
	s.startLife()
}

// IsDown reports whether the server was killed and not restarted.
func (s *Service) IsDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// SetLeaving makes the server reject new calls, or ends that.
func (s *Service) SetLeaving(leaving bool) { s.set(func() { s.leaving = leaving }) }

// IgnoreLeaving makes the server accept calls and report itself as not leaving while it leaves, like a server that isn't informed of
// its removal.
func (s *Service) IgnoreLeaving(on bool) { s.set(func() { s.ignoreLeaving = on }) }

// FailCalls answers a random share of the calls with status 500 after executing them.
func (s *Service) FailCalls(share float64) { s.set(func() { s.failCalls = share }) }

// LoseAnswers breaks the connection of a random share of the calls after executing them.
func (s *Service) LoseAnswers(share float64) { s.set(func() { s.loseAnswers = share }) }

// Delay delays every response by a time.
func (s *Service) Delay(extra time.Duration) { s.set(func() { s.extraDelay = extra }) }

func (s *Service) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// Runs returns every recorded run, the oldest first.
func (s *Service) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runs)
}

// serveCall executes a call and responds to it.
func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	if s.rejectIfLeaving(w) {
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if len(body) > 0 || err == nil {
		s.recordRun(r, string(body), err == nil)
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	outcome := s.begin()
	defer s.end()
	if !s.wait(r.Context(), outcome.life, outcome.latency) || outcome.loseAnswer {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if outcome.fail {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(Answer{
		Server:    s.opts.ID,
		RequestID: api.RequestID(r.Header.Get("X-Request-Id")),
		Method:    r.Method,
		Path:      r.URL.Path,
		Number:    outcome.number,
		Echo:      string(body),
	})
}

func (s *Service) rejectIfLeaving(w http.ResponseWriter) bool {
	s.mu.Lock()
	leaving := s.reportsLeaving()
	s.mu.Unlock()
	if leaving {
		w.Header().Set("X-Refused", "Leaving")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return leaving
}

// reportsLeaving reports whether the server acts as leaving; s.mu is held.
func (s *Service) reportsLeaving() bool { return s.leaving && !s.ignoreLeaving }

// callOutcome is the randomly chosen outcome of a call.
type callOutcome struct {
	life       context.Context
	latency    time.Duration
	loseAnswer bool
	fail       bool
	number     int
}

func (s *Service) begin() callOutcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.executed++
	outcome := callOutcome{life: s.life, number: s.executed, latency: s.opts.Latency + s.extraDelay}
	if s.opts.Jitter > 0 {
		outcome.latency += time.Duration(s.rng.Int64N(int64(s.opts.Jitter)))
	}
	outcome.loseAnswer = s.loseAnswers > 0 && s.rng.Float64() < s.loseAnswers
	outcome.fail = s.failCalls > 0 && s.rng.Float64() < s.failCalls
	return outcome
}

func (s *Service) end() { s.set(func() { s.running-- }) }

func (s *Service) wait(ctx, life context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil && life.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	case <-life.Done():
		return false
	}
}

func (s *Service) recordRun(r *http.Request, body string, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.runs) >= maxRuns {
		s.runs = append(s.runs[:0], s.runs[maxRuns/2:]...)
	}
	s.runs = append(s.runs, Run{
		Server:    s.opts.ID,
		RequestID: api.RequestID(r.Header.Get("X-Request-Id")),
		At:        time.Now(),
		Method:    r.Method,
		Path:      r.URL.Path,
		Query:     r.URL.RawQuery,
		Body:      body,
		Whole:     whole,
	})
}

// load is the response body of GET /v1/load.
type load struct {
	Running    int
	Queued     int
	Slots      int
	Leaving    bool
	MeasuredAt time.Time
}

func (s *Service) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	report := load{
		Running:    min(s.running, s.opts.Slots),
		Queued:     max(s.running-s.opts.Slots, 0),
		Slots:      s.opts.Slots,
		Leaving:    s.reportsLeaving(),
		MeasuredAt: time.Now(),
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}
