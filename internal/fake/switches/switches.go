// Package switches holds the faults that can be injected into the fakes of the platform's small services.
package switches

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Switches holds the faults of one fake; the zero value has none.
type Switches struct {
	mu      sync.Mutex
	outage  bool
	latency time.Duration
	limiter *rate.Limiter
	calls   int64
	// transferred counts the bytes of response bodies.
	transferred int64
}

// SetOutage starts or ends an outage, during which every call fails with 503.
func (s *Switches) SetOutage(outage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = outage
}

// SetLatency sets the delay before each call is handled.
func (s *Switches) SetLatency(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = d
}

// SetRate limits the calls per second, with a burst of one second's calls; excess calls fail with 429 and Retry-After. 0 means no limit.
func (s *Switches) SetRate(perSecond int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter = nil
	if perSecond > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(perSecond), perSecond)
	}
}

// Calls returns the number of calls received, including failed ones.
func (s *Switches) Calls() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Handler returns a handler that applies the faults to each call and passes the remaining calls to next.
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

// Transferred returns the number of bytes of response bodies sent by the wrapped handlers.
func (s *Switches) Transferred() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.transferred
}

// countingWriter counts the bytes of a response body.
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
	return s.outage, s.latency, s.limiter == nil || s.limiter.Allow()
}

// WriteJSON writes a value as the JSON response of a call.
func WriteJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}
