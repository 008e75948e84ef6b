package registry

import "time"

// loadPollTimeout is how long a load poll may stay unanswered before the server counts as unresponsive.
const loadPollTimeout = 500 * time.Millisecond

// MarkPolled records the start of a load poll. The time of the first poll without a response counts.
func (s *Server) MarkPolled(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.polledAt.IsZero() {
		s.polledAt = now
	}
}

// MarkResponded records that the server responded.
func (s *Server) MarkResponded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.polledAt = time.Time{}
}

// IsUnresponsive reports whether a load poll has been unanswered for loadPollTimeout.
func (s *Server) IsUnresponsive(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.polledAt.IsZero() && now.Sub(s.polledAt) >= loadPollTimeout
}
