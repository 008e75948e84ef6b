// Package kvfake stands in for the key-value service in tests: the etcd v3 JSON gateway over a map in
// memory, with switches for its faults.
//
// A Service can be reached as an http.Handler or in process by Store; both suffer the same faults.
package kvfake

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/monsoonrail/monsoonrail/internal/kv"
)

// CallKind groups the calls that the service counts.
type CallKind int

// Kinds of calls; a watch counts once when it begins, however long it waits.
const (
	CallRead CallKind = iota
	CallWrite
	CallLease
	CallWatch
	callKinds
)

// Fault is what goes wrong with one call.
type Fault int

// Faults of a call.
const (
	// FaultNone lets the call through.
	FaultNone Fault = iota
	// FaultRefuse answers that the service has no leader; nothing takes effect.
	FaultRefuse
	// FaultLoseRequest drops the connection before the call takes effect.
	FaultLoseRequest
	// FaultLoseAnswer drops the connection after the call has taken effect.
	FaultLoseAnswer
	// FaultHang never answers and nothing takes effect.
	FaultHang
	// FaultDelay never answers, and the call takes effect after LateEffect.
	FaultDelay
	// Faults is the number of faults.
	Faults
)

// EffectDelay is how late a call with FaultDelay takes effect.
const EffectDelay = 30 * time.Second

// Counts tells how many calls arrived, refused and lost ones included.
type Counts struct {
	Reads, Writes, Leases, Watches int64
	// OpenWatches is how many watches wait now.
	OpenWatches int
}

// Service is one key-value service; its methods may be called at the same time.
type Service struct {
	mu   sync.Mutex
	data database

	// nextFaults holds the faults of the next calls of each kind, before fault is asked.
	nextFaults [callKinds][]Fault
	fault      func(CallKind) Fault
	latency    time.Duration
	// paused is open while calls wait, and nil otherwise.
	paused      chan struct{}
	readLimit   *rate.Limiter
	writeLimit  *rate.Limiter
	calls       [callKinds]int64
	openWatches int
	// watchEpoch is closed and replaced to drop all watches.
	watchEpoch chan struct{}
	// underWay counts the calls that may still take effect.
	underWay sync.WaitGroup
}

// New returns an empty service without faults.
func New() *Service {
	return &Service{data: newDatabase(), watchEpoch: make(chan struct{})}
}

// SetFault sets the function that chooses the fault of each call; nil means none.
func (s *Service) SetFault(fault func(CallKind) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// FailNext makes the next n calls of a kind suffer a fault, after those already ordered.
func (s *Service) FailNext(kind CallKind, fault Fault, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range n {
		s.nextFaults[kind] = append(s.nextFaults[kind], fault)
	}
}

// StartOutage makes every call suffer a fault and drops the watches, until EndOutage; leases go on to expire.
func (s *Service) StartOutage(fault Fault) {
	s.SetFault(func(CallKind) Fault { return fault })
	s.DropWatches()
}

// EndOutage ends StartOutage and SetFault and forgets the faults that FailNext ordered.
func (s *Service) EndOutage() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = nil
	s.nextFaults = [callKinds][]Fault{}
}

// SetLatency sets the time that each call takes, half of it before the call takes effect.
func (s *Service) SetLatency(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = d
}

// SetRates bounds the writes and reads a second, with a burst of one second; calls over it are refused.
// Leases count as writes, watches as reads; 0 means no bound.
func (s *Service) SetRates(writes, reads int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeLimit, s.readLimit = newLimiter(writes), newLimiter(reads)
}

func newLimiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// Pause holds all calls until Resume; they take effect then, even if their caller has given up.
func (s *Service) Pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.paused == nil {
		s.paused = make(chan struct{})
	}
}

// Resume ends Pause.
func (s *Service) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.paused != nil {
		close(s.paused)
		s.paused = nil
	}
}

// Wait returns once no call is under way, those that their callers gave up included. A test in a bubble ends with it.
func (s *Service) Wait() { s.underWay.Wait() }

// Counts returns the calls since New.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counts{
		Reads:       s.calls[CallRead],
		Writes:      s.calls[CallWrite],
		Leases:      s.calls[CallLease],
		Watches:     s.calls[CallWatch],
		OpenWatches: s.openWatches,
	}
}

// callError tells why a call has no answer.
type callError int

const (
	errLost callError = iota
	errRefused
	errOverRate
)

// Error implements error.
func (e callError) Error() string {
	return [...]string{"connection dropped", "no leader", "over the rate"}[e]
}

// call counts a call, lets it suffer its fault and applies it.
func (s *Service) call(ctx context.Context, kind CallKind, apply func() error) error {
	s.underWay.Add(1)
	defer s.underWay.Done()
	fault, latency, paused := s.admit(kind)
	if paused != nil {
		<-paused
	}
	switch fault {
	case FaultRefuse:
		return errRefused
	case FaultLoseRequest:
		return errLost
	case FaultHang:
		<-ctx.Done()
		return errLost
	case FaultDelay:
		time.Sleep(EffectDelay)
	}
	if !s.allow(kind) {
		return errOverRate
	}
	time.Sleep(latency / 2)
	if err := apply(); err != nil {
		return err
	}
	time.Sleep(latency / 2)
	if fault == FaultLoseAnswer || fault == FaultDelay {
		return errLost
	}
	return nil
}

func (s *Service) admit(kind CallKind) (Fault, time.Duration, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[kind]++
	fault := FaultNone
	if next := s.nextFaults[kind]; len(next) > 0 {
		fault = next[0]
		s.nextFaults[kind] = next[1:]
	} else if s.fault != nil {
		fault = s.fault(kind)
	}
	return fault, s.latency, s.paused
}

func (s *Service) allow(kind CallKind) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.readLimit
	if kind == CallWrite || kind == CallLease {
		limit = s.writeLimit
	}
	return limit == nil || limit.Allow()
}

// Snapshot is a copy of the service's keys and leases.
type Snapshot struct{ data database }

// Snapshot returns a copy of the state.
func (s *Service) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{data: s.data.clone()}
}

// Restore puts the service back to an older state, its revision included, and drops the watches.
func (s *Service) Restore(snapshot Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data.stopTimers()
	lastLease := s.data.lastLease
	s.data = snapshot.data.clone()
	// The service does not give the id of a lost lease to another.
	s.data.lastLease = lastLease
	s.data.compact(s.data.revision)
	for id, held := range s.data.leases {
		s.arm(id, held, held.ttl)
	}
	s.dropWatches()
}

// Compact drops the history up to a revision, which watches can then no longer begin at.
func (s *Service) Compact(revision kv.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data.compact(revision)
}

// DropWatches breaks every waiting watch.
func (s *Service) DropWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropWatches()
}

func (s *Service) dropWatches() {
	close(s.watchEpoch)
	s.watchEpoch = make(chan struct{})
}

// SkipWatchBatches makes every watch leave out the next n changes.
func (s *Service) SkipWatchBatches(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range kv.Version(n) {
		s.data.gaps[s.data.revision+1+i] = true
	}
}

// Revision returns the revision of the last change.
func (s *Service) Revision() kv.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.data.revision
}
