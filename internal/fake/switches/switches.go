// Package switches holds the faults that the stand-ins of the platform's small services share.
package switches

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Switches are the faults of one stand-in; the zero value has none.
type Switches struct {
	mu      sync.Mutex
	outage  bool
	latency time.Duration
	limit   *rate.Limiter
	calls   int64
	// transferred counts the bytes of the answers' bodies.
	transferred int64
}

// SetOutage makes every call fail with 503, or ends that.
func (s *Switches) SetOutage(outage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = outage
}

// SetLatency sets the time that each call takes.
func (s *Switches) SetLatency(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = d
}

// SetRate bounds the calls a second, with a burst of one second; others fail with 429 and Retry-After. 0 means no bound.
func (s *Switches) SetRate(perSecond int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = nil
	if perSecond > 0 {
		s.limit = rate.NewLimiter(rate.Limit(perSecond), perSecond)
	}
}

// Calls counts the calls that arrived.
func (s *Switches) Calls() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Handler returns a handler that lets each call suffer its fault before next answers it.
func (s *Switches) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		outage, latency, allowed := s.admit()
		time.Sleep(latency)
		switch {
		case outage:
			w.WriteHeader(http.StatusServiceUnavailable)
		case !allowed:
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusTooManyRequests)
		default:
			next.ServeHTTP(&countingWriter{ResponseWriter: w, switches: s}, r)
		}
	})
}

// Transferred counts the bytes of the answers' bodies as they were sent.
func (s *Switches) Transferred() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.transferred
}

// countingWriter counts the bytes of a body.
type countingWriter struct {
	http.ResponseWriter
	switches *Switches
}

// Write implements http.ResponseWriter.
func (w *countingWriter) Write(p []byte) (int, error) {
	w.switches.mu.Lock()
	w.switches.transferred += int64(len(p))
	w.switches.mu.Unlock()
	return w.ResponseWriter.Write(p)
}

func (s *Switches) admit() (outage bool, latency time.Duration, allowed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.outage, s.latency, s.limit == nil || s.limit.Allow()
}

// WriteJSON answers a call with a value.
func WriteJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// A caller that has gone needs no answer.
	_ = json.NewEncoder(w).Encode(value)
}
