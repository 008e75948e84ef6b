// Package ratingfake is a fake of the platform's rating service for tests, with late and missing ratings, outages and a rate limit.
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

// pageSize is the maximum number of ratings in one response.
const pageSize = 1000

// Service is a fake rating service.
type Service struct {
	switches.Switches
	handler http.Handler
	rate    func(rating.Submission) api.Quality

	mu sync.Mutex
	// ratings is in the order in which the ratings become visible; sources holds the incarnation of the node that submitted each answer,
	// by the same index.
	ratings []rating.Rating
	sources []api.Incarnation
	// ignoreSources makes the service ignore the query parameter source.
	ignoreSources bool
	lag           time.Duration
	skip          func(api.RequestID) bool
}

// New returns a service that rates answers with a function.
func New(rate func(rating.Submission) api.Quality) *Service {
	s := &Service{rate: rate}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/ratings", s.serveSubmit)
	mux.HandleFunc("GET /v1/ratings", s.serveList)
	s.handler = s.Handler(mux)
	return s
}

// ServeHTTP serves the calls of the rating service.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// SetLag sets the delay after which ratings become visible.
func (s *Service) SetLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = lag
}

// SetSkip sets the function that reports which answers stay unrated; nil means none.
func (s *Service) SetSkip(skip func(api.RequestID) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.skip = skip
}

// IgnoreSourceParameter makes the service ignore the query parameter source, as a service does that doesn't support it.
func (s *Service) IgnoreSourceParameter() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ignoreSources = true
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

// page returns the ratings of one response: those of the answers that source submitted, or all if source is empty.
func (s *Service) page(source api.Incarnation, after int) rating.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := rating.Page{Ratings: []rating.Rating{}, Next: int64(min(after, len(s.ratings)))}
	for int(page.Next) < len(s.ratings) && len(page.Ratings) < pageSize {
		if source == "" || s.ignoreSources || s.sources[page.Next] == source {
			page.Ratings = append(page.Ratings, s.ratings[page.Next])
		}
		page.Next++
	}
	return page
}
