package kvfake

import (
	"time"

	"github.com/monsoonrail/monsoonrail/internal/kv"
)

// grant creates a lease that expires after ttl unless it is kept alive. The TTL is in whole seconds, at least 1 s.
func (s *Service) grant(ttl time.Duration) kv.Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	ttl = max(ttl.Truncate(time.Second), time.Second)
	s.data.lastLease++
	l := &lease{ttl: ttl, keys: make(map[string]struct{})}
	s.data.leases[s.data.lastLease] = l
	s.startTimer(s.data.lastLease, l, ttl)
	return kv.Lease{ID: s.data.lastLease, TTL: ttl}
}

// startTimer makes a lease expire after ttl; s.mu is held.
func (s *Service) startTimer(id kv.LeaseID, l *lease, ttl time.Duration) {
	l.timer = time.AfterFunc(ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		// Restore may have replaced this lease by another with the same id.
		if s.data.leases[id] == l {
			s.data.endLease(id)
		}
	})
}

func (s *Service) keepAlive(id kv.LeaseID) (kv.Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.data.leases[id]
	if l == nil {
		return kv.Lease{}, &kv.ErrLeaseNotFound{ID: id}
	}
	l.timer.Reset(l.ttl)
	return kv.Lease{ID: id, TTL: l.ttl}, nil
}

func (s *Service) revoke(id kv.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.data.leases[id]; l != nil {
		l.timer.Stop()
	}
	if !s.data.endLease(id) {
		return &kv.ErrLeaseNotFound{ID: id}
	}
	return nil
}

// ExpireLease ends a lease immediately, as the real service may after an outage of its own.
func (s *Service) ExpireLease(id kv.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data.endLease(id)
}
