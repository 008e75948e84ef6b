// Package kvfake is a fake of the key-value service for tests: the etcd v3 JSON gateway over a map in
// memory, with fault injection.
//
// A Service can be used as an http.Handler or in process through Store; both are subject to the same faults.
package kvfake

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/monsoonrail/monsoonrail/internal/kv"
)

// CallKind is the group in which a call is counted.
type CallKind int

// Kinds of calls; a watch counts once when it begins, however long it stays open.
const (
	CallRead CallKind = iota
	CallWrite
	CallLease
	CallWatch
	callKinds
)

// Fault is the injected fault of one call.
type Fault int

// Faults of a call.
const (
	// FaultNone lets the call through.
	FaultNone Fault = iota
	// FaultNoLeader responds with the error that the service has no leader; the call doesn't take effect.
	FaultNoLeader
	// FaultLoseRequest breaks the connection before the call takes effect.
	FaultLoseRequest
	// FaultLoseResponse breaks the connection after the call has taken effect.
	FaultLoseResponse
	// FaultHang never responds, and the call doesn't take effect.
	FaultHang
	// FaultDelay never responds, and the call takes effect after EffectDelay.
	FaultDelay
	// Faults is the number of faults.
	Faults
)

// EffectDelay is the delay after which a call with FaultDelay takes effect.
const EffectDelay = 30 * time.Second

// Counts holds the numbers of calls that arrived, including rejected and lost ones.
type Counts struct {
	Reads, Writes, Leases, Watches int64
	// OpenWatches is the number of watches that are open now.
	OpenWatches int
}

// Service is a fake key-value service; its methods are safe for concurrent use.
type Service struct {
	mu   sync.Mutex
	data database

	// nextFaults queues the faults of the next calls of each kind; fault applies to a call if its queue is empty.
	nextFaults [callKinds][]Fault
	fault      func(CallKind) Fault
	latency    time.Duration
	// paused is an open channel while calls are paused, and nil otherwise.
	paused      chan struct{}
	readLimit   *rate.Limiter
	writeLimit  *rate.Limiter
	calls       [callKinds]int64
	openWatches int
	// watchEpoch is closed and replaced to break all watches.
	watchEpoch chan struct{}
	// inFlight counts the calls that may still take effect, including those whose callers have given up.
	inFlight sync.WaitGroup
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

// FailNext injects a fault into the next n calls of a kind, after those of earlier FailNext calls.
func (s *Service) FailNext(kind CallKind, fault Fault, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range n {
		s.nextFaults[kind] = append(s.nextFaults[kind], fault)
	}
}

// StartOutage injects a fault into every call until EndOutage, and breaks the open watches; leases still expire.
func (s *Service) StartOutage(fault Fault) {
	s.SetFault(func(CallKind) Fault { return fault })
	s.DropWatches()
}

// EndOutage removes all faults that StartOutage, SetFault and FailNext set.
func (s *Service) EndOutage() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = nil
	s.nextFaults = [callKinds][]Fault{}
}

// SetLatency sets the latency of each call; half of it passes before the call takes effect.
func (s *Service) SetLatency(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = d
}

// SetRates limits the writes and reads per second, with a burst of one second; excess calls are rejected.
// Leases count as writes, watches as reads; 0 means no limit.
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

// Pause blocks all calls until Resume; they take effect then, even if their callers have given up.
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

// Wait blocks until no call is in flight, including calls whose callers have given up. A test in a synctest bubble must call it at
// its end.
func (s *Service) Wait() { s.inFlight.Wait() }

// Counts returns the numbers of calls since New.
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

// callError is the reason why an injected fault or a rate limit failed a call.
type callError int

const (
	errLost callError = iota
	errRefused
	errRateLimited
)

// Error implements error.
func (e callError) Error() string {
	return [...]string{"connection dropped", "no leader", "over the rate"}[e]
}

// call counts a call, injects its fault and, unless that prevents it, applies the call.
func (s *Service) call(ctx context.Context, kind CallKind, apply func() error) error {
	s.inFlight.Add(1)
	defer s.inFlight.Done()
	fault, latency, paused := s.admit(kind)
	if paused != nil {
		<-paused
	}
	switch fault {
	case FaultNoLeader:
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
		return errRateLimited
	}
	time.Sleep(latency / 2)
	if err := apply(); err != nil {
		return err
	}
	time.Sleep(latency / 2)
	if fault == FaultLoseResponse || fault == FaultDelay {
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

// Restore resets the service to an older state, including its revision, and breaks the open watches.
func (s *Service) Restore(snapshot Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data.stopTimers()
	lastLease := s.data.lastLease
	s.data = snapshot.data.clone()
	// The real service never reuses the id of a lease.
	s.data.lastLease = lastLease
	s.data.compact(s.data.revision)
	for id, l := range s.data.leases {
		s.startTimer(id, l, l.ttl)
	}
	s.dropWatches()
}

// Compact drops the history up to and including a revision; watches can then only begin at later revisions.
func (s *Service) Compact(revision kv.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data.compact(revision)
}

// DropWatches breaks every open watch.
func (s *Service) DropWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropWatches()
}

func (s *Service) dropWatches() {
	close(s.watchEpoch)
	s.watchEpoch = make(chan struct{})
}

// SkipWatchBatches makes every watch skip the next n revisions.
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
