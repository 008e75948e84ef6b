package registry

import "time"

// answerPatience is how long a server may take to answer a question for its load before it counts as unresponsive.
const answerPatience = 500 * time.Millisecond

// MarkPolled notes that the server was asked for its load.
func (s *Server) MarkPolled(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.askedAt.IsZero() {
		s.askedAt = now
	}
}

// MarkResponded notes that the server answered.
func (s *Server) MarkResponded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.askedAt = time.Time{}
}

// IsUnresponsive reports whether the server owes an answer for too long.
func (s *Server) IsUnresponsive(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.askedAt.IsZero() && now.Sub(s.askedAt) >= answerPatience
}
