// Package ratingfake stands in for the platform's rating service in tests: late, partial, with outages and a rate limit.
package ratingfake

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/fake/switches"
	"github.com/monsoonrail/monsoonrail/internal/rating"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// pageSize bounds the ratings of one answer.
const pageSize = 1000

// Service is one rating service.
type Service struct {
	switches.Switches
	handler http.Handler
	rate    func(rating.Submission) api.Quality

	mu sync.Mutex
	// ratings is in the order in which they become visible, sources tells who handed in each one's answer.
	ratings []rating.Rating
	sources []api.Incarnation
	// ignoresSources makes the service one that does not know sources.
	ignoresSources bool
	lag            time.Duration
	skip           func(api.RequestID) bool
}

// New returns a service that rates answers by a function.
func New(rate func(rating.Submission) api.Quality) *Service {
	s := &Service{rate: rate}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/ratings", s.serveSubmit)
	mux.HandleFunc("GET /v1/ratings", s.serveList)
	s.handler = s.Handler(mux)
	return s
}

// ServeHTTP answers the service's calls.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// SetLag sets how late ratings come.
func (s *Service) SetLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = lag
}

// SetSkip leaves the answers unrated that skip reports; nil rates all.
func (s *Service) SetSkip(skip func(api.RequestID) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.skip = skip
}

// IgnoreSources makes the service one that does not know sources.
func (s *Service) IgnoreSources() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ignoresSources = true
}

func (s *Service) serveSubmit(w http.ResponseWriter, r *http.Request) {
	var sub rating.Submission
	if err := json.NewDecoder(r.Body).Decode(&sub); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	lag, isSkipped := s.settings(sub.RequestID)
	if isSkipped {
		time.Sleep(wait)
		w.WriteHeader(http.StatusAccepted)
		return
	}
	if wait > 0 && lag <= wait {
		time.Sleep(lag)
		switches.WriteJSON(w, s.publish(sub))
		return
	}
	time.AfterFunc(lag, func() { s.publish(sub) })
	time.Sleep(wait)
	w.WriteHeader(http.StatusAccepted)
}

func (s *Service) settings(id api.RequestID) (lag time.Duration, isSkipped bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lag, s.skip != nil && s.skip(id)
}

func (s *Service) publish(sub rating.Submission) rating.Rating {
	s.mu.Lock()
	defer s.mu.Unlock()
	rated := rating.Rating{Seq: int64(len(s.ratings)) + 1, RequestID: sub.RequestID, Quality: s.rate(sub)}
	s.ratings = append(s.ratings, rated)
	s.sources = append(s.sources, sub.Source)
	return rated
}

func (s *Service) serveList(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil || after < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switches.WriteJSON(w, s.page(api.Incarnation(r.URL.Query().Get("source")), int(after)))
}

// page returns the ratings of one answer, of a source or of all if it is empty.
func (s *Service) page(source api.Incarnation, after int) rating.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := rating.Page{Ratings: []rating.Rating{}, Next: int64(min(after, len(s.ratings)))}
	for int(page.Next) < len(s.ratings) && len(page.Ratings) < pageSize {
		if source == "" || s.ignoresSources || s.sources[page.Next] == source {
			page.Ratings = append(page.Ratings, s.ratings[page.Next])
		}
		page.Next++
	}
	return page
}
