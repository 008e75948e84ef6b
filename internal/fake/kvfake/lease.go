package kvfake

import (
	"time"

	"github.com/monsoonrail/monsoonrail/internal/kv"
)

// grant makes a lease that ends after ttl, unless it is kept alive.
func (s *Service) grant(ttl time.Duration) kv.Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	ttl = max(ttl.Truncate(time.Second), time.Second)
	s.data.lastLease++
	held := &lease{ttl: ttl, keys: make(map[string]struct{})}
	s.data.leases[s.data.lastLease] = held
	s.arm(s.data.lastLease, held, ttl)
	return kv.Lease{ID: s.data.lastLease, TTL: ttl}
}

// arm makes a lease end after ttl; the caller holds s.mu.
func (s *Service) arm(id kv.LeaseID, held *lease, ttl time.Duration) {
	held.timer = time.AfterFunc(ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		// Restore may have put another lease in this one's place.
		if s.data.leases[id] == held {
			s.data.endLease(id)
		}
	})
}

func (s *Service) keepAlive(id kv.LeaseID) (kv.Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.data.leases[id]
	if held == nil {
		return kv.Lease{}, &kv.ErrLeaseNotFound{ID: id}
	}
	held.timer.Reset(held.ttl)
	return kv.Lease{ID: id, TTL: held.ttl}, nil
}

func (s *Service) revoke(id kv.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if held := s.data.leases[id]; held != nil {
		held.timer.Stop()
	}
	if !s.data.endLease(id) {
		return &kv.ErrLeaseNotFound{ID: id}
	}
	return nil
}

// ExpireLease ends a lease at once, as the service may after an outage of its own.
func (s *Service) ExpireLease(id kv.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data.endLease(id)
}
