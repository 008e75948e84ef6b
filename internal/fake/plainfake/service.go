// Package plainfake is a stand-in for a backend server of a plain service, with switches for its faults.
// It takes all its time from the time package, so that it runs in a synctest bubble.
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
	// maxBody bounds the body of a call.
	maxBody = 16 << 20
	// maxRuns bounds the recorded runs; the oldest go first.
	maxRuns = 1 << 20
	// defaultSlots is the capacity that the load report shows.
	defaultSlots = 32
)

// Options describe a stand-in.
type Options struct {
	ID   api.ServerID
	Seed uint64
	// Latency is the time that a call takes; Jitter adds up to as much again at random.
	Latency time.Duration
	Jitter  time.Duration
	// Slots is the capacity that the load report shows; 0 means 32.
	Slots int
	// OnDown is called when the service is killed or closed, and OnUp when a life begins; they end and allow the connections of
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
	// Whole tells that the body arrived whole and the call was carried out.
	Whole bool
}

// Answer is the body of an answer.
type Answer struct {
	Server    api.ServerID
	RequestID api.RequestID
	Method    string
	Path      string
	// Number counts the calls that the server carried out.
	Number int
	// Echo is the body of the call.
	Echo string
}

// Service is a stand-in server; it is an http.Handler.
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
	// ignoreLeaving makes leaving count for nothing.
	ignoreLeaving bool
	errors        float64
	lose          float64
	extra         time.Duration
	running       int
	done          int
	runs          []Run
}

// New starts a stand-in.
func New(opts Options) *Service {
	if opts.Slots == 0 {
		opts.Slots = defaultSlots
	}
	s := &Service{opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 1)), mux: http.NewServeMux()}
	s.beginLife()
	s.mux.HandleFunc("GET /v1/load", s.serveLoad)
	s.mux.HandleFunc("/", s.serveCall)
	return s
}

// ServeHTTP implements http.Handler. While the server is down it cuts the connection without an answer.
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

// Close stops the server for good.
func (s *Service) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.kill()
}

// beginLife starts a life.
func (s *Service) beginLife() {
	s.life, s.endLife = context.WithCancel(context.Background())
	if s.opts.OnUp != nil {
		s.opts.OnUp()
	}
}

// Kill cuts every call; what has been carried out stays so.
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

// Restart brings a killed server back; it does nothing while the server is up or closed.
func (s *Service) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down || s.closed {
		return
	}
	s.down = false
	s.beginLife()
}

// IsDown reports whether the server is killed and not restarted.
func (s *Service) IsDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// SetLeaving makes the server refuse new calls, or takes that back.
func (s *Service) SetLeaving(leaving bool) { s.set(func() { s.leaving = leaving }) }

// IgnoreLeaving makes the server take calls and report itself as staying while it leaves, as one does that knows nothing of it.
func (s *Service) IgnoreLeaving(on bool) { s.set(func() { s.ignoreLeaving = on }) }

// FailCalls answers a part of the calls with status 500 after they were carried out.
func (s *Service) FailCalls(share float64) { s.set(func() { s.errors = share }) }

// LoseAnswers cuts the connection after a part of the calls were carried out.
func (s *Service) LoseAnswers(share float64) { s.set(func() { s.lose = share }) }

// Delay makes every answer late by a time.
func (s *Service) Delay(extra time.Duration) { s.set(func() { s.extra = extra }) }

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

// serveCall carries out a call and answers it.
func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	if s.refuse(w) {
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if len(body) > 0 || err == nil {
		s.note(r, string(body), err == nil)
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	plan := s.begin()
	defer s.end()
	if !s.wait(r.Context(), plan.life, plan.latency) || plan.lose {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if plan.fail {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(Answer{
		Server:    s.opts.ID,
		RequestID: api.RequestID(r.Header.Get("X-Request-Id")),
		Method:    r.Method,
		Path:      r.URL.Path,
		Number:    plan.number,
		Echo:      string(body),
	})
}

func (s *Service) refuse(w http.ResponseWriter) bool {
	s.mu.Lock()
	leaving := s.isLeaving()
	s.mu.Unlock()
	if leaving {
		w.Header().Set("X-Refused", "Leaving")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return leaving
}

// isLeaving reports whether the server knows that it leaves; s.mu is held.
func (s *Service) isLeaving() bool { return s.leaving && !s.ignoreLeaving }

// callPlan is what chance has in store for a call.
type callPlan struct {
	life    context.Context
	latency time.Duration
	lose    bool
	fail    bool
	number  int
}

func (s *Service) begin() callPlan {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.done++
	plan := callPlan{life: s.life, number: s.done, latency: s.opts.Latency + s.extra}
	if s.opts.Jitter > 0 {
		plan.latency += time.Duration(s.rng.Int64N(int64(s.opts.Jitter)))
	}
	plan.lose = s.lose > 0 && s.rng.Float64() < s.lose
	plan.fail = s.errors > 0 && s.rng.Float64() < s.errors
	return plan
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

func (s *Service) note(r *http.Request, body string, whole bool) {
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

// load is the answer of GET /v1/load.
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
		Leaving:    s.isLeaving(),
		MeasuredAt: time.Now(),
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}
