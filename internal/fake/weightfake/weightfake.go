// Package weightfake is a fake of the platform's weight store for tests, with a rate limit, latency and outages.
package weightfake

import (
	"net/http"
	"sync"

	"github.com/monsoonrail/monsoonrail/internal/fake/switches"
	"github.com/monsoonrail/monsoonrail/internal/weightstore"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Service is a fake weight store.
type Service struct {
	switches.Switches
	handler http.Handler

	mu      sync.Mutex
	weights map[api.VersionID]int64
	rate    weightstore.Rate
}

// New returns a store without weights that reports the given delivery rate.
func New(rate weightstore.Rate) *Service {
	s := &Service{weights: make(map[api.VersionID]int64), rate: rate}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/weights/{version}", s.serveWeights)
	mux.HandleFunc("GET /v1/rate", s.serveRate)
	s.handler = s.Handler(mux)
	return s
}

// ServeHTTP serves the calls of the weight store.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// Put adds the weights of a version.
func (s *Service) Put(version api.VersionID, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.weights[version] = bytes
}

// SetDelivery sets the delivery rate that the store reports.
func (s *Service) SetDelivery(rate weightstore.Rate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rate = rate
}

func (s *Service) serveWeights(w http.ResponseWriter, r *http.Request) {
	version := api.ParseVersionID(r.PathValue("version"))
	s.mu.Lock()
	bytes, ok := s.weights[version]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	switches.WriteJSON(w, weightstore.Weights{Version: version, Bytes: bytes})
}

func (s *Service) serveRate(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	rate := s.rate
	s.mu.Unlock()
	switches.WriteJSON(w, rate)
}
