package backend

import (
	"time"

	"github.com/monsoonrail/monsoonrail/internal/workload"
)

// OwnWork returns what this node knows and has under way at the servers, without those of which it has nothing to say.
func (s *Set) OwnWork(now time.Time) []workload.Own { return s.AppendOwnWork(nil, now) }

// AppendOwnWork appends what OwnWork returns.
func (s *Set) AppendOwnWork(all []workload.Own, now time.Time) []workload.Own {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, server := range s.servers {
		if own, ok := server.ownWork(now); ok {
			all = append(all, own)
		}
	}
	return all
}

// minToldAnswers is the weight of a server's answers below which its pace isn't told: that of one answer after some seconds.
const minToldAnswers = 0.1

// ownWork returns what this node knows and has under way at the server; ok is false if that is nothing.
func (s *TrackedServer) ownWork(now time.Time) (own workload.Own, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	own = workload.Own{Server: workload.Server{ID: s.ID, Start: s.Start}, Load: workload.Load{Requests: s.inFlight, Unread: s.unread}}
	if load, age, ok := s.reported.Load(now); ok && load.Slowdown > 0 {
		own.Slowdown, own.SlowdownAt = load.Slowdown, now.Add(-age)
	}
	own.Pace = s.pace.At(now)
	return own, s.inFlight > 0 || own.Slowdown > 0 || own.Pace.Answers >= minToldAnswers
}

// HearPeers records what the other nodes know and have under way at a server. What is about another start of the server, or is older than what was
// heard before, is ignored.
func (s *Set) HearPeers(server workload.Server, peers workload.Peers) {
	s.mu.RLock()
	tracked, ok := s.servers[server.ID]
	s.mu.RUnlock()
	if !ok || tracked.Start != server.Start {
		return
	}
	tracked.mu.Lock()
	defer tracked.mu.Unlock()
	if peers.At.Before(tracked.peers.At) {
		return
	}
	tracked.peers = peers
}
