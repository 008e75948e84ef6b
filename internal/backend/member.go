package backend

import (
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/selfreport"
	"github.com/monsoonrail/monsoonrail/internal/serverpace"
	"github.com/monsoonrail/monsoonrail/internal/warmup"
	"github.com/monsoonrail/monsoonrail/internal/workload"
)

const (
	// firstAvoidance is how long a server is avoided after a failure; the time doubles with each consecutive failure up to maxAvoidance.
	firstAvoidance = 500 * time.Millisecond
	maxAvoidance   = 4 * time.Second
	// failureWeight is the weight of one outcome in the moving average of a server's failure share.
	failureWeight = 0.15
	// slownessWeight is the weight of one answer in the moving average of a server's slowness.
	slownessWeight = 0.1
	// maxLatencyRatio bounds the ratio of one answer's latency to the usual one.
	maxLatencyRatio = 10
	// cacheTTL is how long a prompt part is assumed to be cached after its last use. Above maxPromptParts recorded parts, the expired
	// ones are dropped.
	cacheTTL       = 20 * time.Second
	maxPromptParts = 2000
)

// TrackedServer is a server together with the state observed by this node's requests. It is safe for concurrent use.
type TrackedServer struct {
	Server
	*serverState
}

// serverState is the state observed since one start of a server; it survives changes of the server's entry.
type serverState struct {
	// service is the load of the server's service.
	service *ServiceLoad
	// turnOffset is where the order of the nodes begins that risk rejections at the server.
	turnOffset float64

	mu sync.Mutex
	// inFlight counts this node's requests at the server.
	inFlight int
	// reported is what the server has reported about itself, and inFlightAtReport the value of inFlight at its last load report.
	reported         selfreport.State
	inFlightAtReport int
	// unread is the work before the first events of this node's requests, and peers what the other nodes know and have under way.
	unread workload.Work
	peers  workload.Peers
	// pace is that of the recent answers to this node.
	pace serverpace.Pace
	// warmUp is whether the server is cold, and this node's requests to it since.
	warmUp warmup.State
	// consecutiveFailures counts failures since the last success.
	consecutiveFailures int
	avoidUntil          time.Time
	// failureShare is the moving average of failures over all outcomes, from 0 to 1.
	failureShare float64
	// slowness is the moving average of the ratio of the answers' latency to that of all servers for the same kind of answer; 1
	// before the first answer.
	slowness float64
	// partLastUsed holds the time of the last use of each prompt part that this node sent, by model and part.
	partLastUsed map[string]time.Time
}

func newTrackedServer(server Server, service *ServiceLoad) *TrackedServer {
	return &TrackedServer{Server: server, serverState: &serverState{service: service, turnOffset: selfreport.OffsetOf(server.ID), slowness: 1, partLastUsed: make(map[string]time.Time)}}
}

// View is a snapshot of a tracked server's state.
type View struct {
	InFlight         int
	Load             Load
	HasLoad          bool
	LoadAge          time.Duration
	InFlightAtReport int
	IsAvoided        bool
	FailureShare     float64
	// Slowness is how many times as long as at a usual server work takes now, by the answers to all nodes and the server's own report.
	Slowness float64
	// Unread is the work before the first events of this node's requests, and Peers what the other nodes know and have under way, as of PeersAge
	// ago.
	Unread   workload.Work
	Peers    workload.Peers
	PeersAge time.Duration
}

// View returns a snapshot of the state at the given time.
func (s *TrackedServer) View(now time.Time) View {
	s.mu.Lock()
	defer s.mu.Unlock()
	load, age, ok := s.reported.Load(now)
	return View{
		InFlight: s.inFlight,
		Load:     load, HasLoad: ok, LoadAge: age, InFlightAtReport: s.inFlightAtReport,
		IsAvoided: now.Before(s.avoidUntil), FailureShare: s.failureShare, Slowness: s.slownessNow(load, age, now),
		Unread: s.unread, Peers: s.peers, PeersAge: now.Sub(s.peers.At),
	}
}

// slownessNow returns the server's slowness; load is its last load report, received age ago. The caller holds s.mu.
func (s *TrackedServer) slownessNow(load Load, age time.Duration, now time.Time) float64 {
	recent := s.pace.At(now).Add(serverpace.Aged(s.peers.Pace, now.Sub(s.peers.At)))
	slowdown := load.Slowdown
	if s.peers.Slowdown > 0 && (slowdown == 0 || now.Sub(s.peers.SlowdownAt) < age) {
		slowdown, age = s.peers.Slowdown, now.Sub(s.peers.SlowdownAt)
	}
	return serverpace.Slowness(recent, s.slowness) * serverpace.SlowdownFactor(slowdown, s.service.meanSlowdown(), age)
}

// ObserveTime records how long the server took for a part of an answer, and how long a usual server would have.
func (s *TrackedServer) ObserveTime(took, expected time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pace.Add(took, expected, now)
}

// Begin counts a request sent to the server; unread is the work before its first event.
func (s *TrackedServer) Begin(unread workload.Work) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	s.service.inFlight.Add(1)
	s.unread += unread
}

// FirstByte records that the server has done the work before a request's first event.
func (s *TrackedServer) FirstByte(unread workload.Work) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unread -= unread
}

// ObserveLatencyRatio records the ratio of an answer's latency to that of all servers for the same kind of answer.
func (s *TrackedServer) ObserveLatencyRatio(ratio float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowness += slownessWeight * (min(ratio, maxLatencyRatio) - s.slowness)
}

// RecordPromptParts records that the server reads the given parts of a prompt. Each key consists of the model and the part.
func (s *TrackedServer) RecordPromptParts(keys []string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.partLastUsed) > maxPromptParts {
		for key, used := range s.partLastUsed {
			if now.Sub(used) > cacheTTL {
				delete(s.partLastUsed, key)
			}
		}
	}
	for _, key := range keys {
		s.partLastUsed[key] = now
	}
}

// forgetPromptParts forgets which parts of prompts the server has cached.
func (s *TrackedServer) forgetPromptParts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.partLastUsed)
}

// CachedPromptParts returns the number of leading parts of a prompt that the server has probably cached.
func (s *TrackedServer) CachedPromptParts(keys []string, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, key := range keys {
		if used, ok := s.partLastUsed[key]; !ok || now.Sub(used) > cacheTTL {
			return i
		}
	}
	return len(keys)
}

// End counts the end of a request; unread is the work before its first event, or 0 after FirstByte.
func (s *TrackedServer) End(unread workload.Work) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.service.inFlight.Add(-1)
	s.unread -= unread
}

// RecordReport records what the server reported about itself, received now in the answer to a request sent at sentAt.
func (s *TrackedServer) RecordReport(report selfreport.Report, share selfreport.Share, sentAt, now time.Time) selfreport.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	if report.HasLoad {
		s.inFlightAtReport = s.inFlight
		s.service.record(report.Load, s.inFlight, now)
	}
	s.service.recordBrittleness(report, now)
	return s.reported.Record(report, share, sentAt, now)
}

// MarkCold records that the server is cold for a time from now on, and reports whether it was warm before.
func (s *TrackedServer) MarkCold(left time.Duration, now time.Time) (isNews bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.warmUp.Extend(left, now)
}

// IsCold reports whether the server is cold and takes fewer requests for that.
func (s *TrackedServer) IsCold(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.warmUp.IsCold(now) && s.service.warmUpPolicy().IsLimited()
}

// RecordSuccess records a successful answer.
func (s *TrackedServer) RecordSuccess() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.consecutiveFailures = 0
	s.failureShare -= failureWeight * s.failureShare
}

// RecordFailure records a failed attempt and avoids the server for a time that doubles with each consecutive failure.
func (s *TrackedServer) RecordFailure(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countFailure()
	avoid := min(firstAvoidance<<min(s.consecutiveFailures, 8), maxAvoidance)
	s.consecutiveFailures++
	s.avoidUntil = now.Add(avoid)
}

// RecordErrorAnswer records an error answer of the server. The server isn't avoided, since a request may fail at every server, but it
// gets fewer requests if others fail less.
func (s *TrackedServer) RecordErrorAnswer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countFailure()
}

// countFailure raises the failure share; the caller holds s.mu.
func (s *TrackedServer) countFailure() { s.failureShare += failureWeight * (1 - s.failureShare) }

// Avoid marks the server as avoided until the given time, unless it is already avoided for longer.
func (s *TrackedServer) Avoid(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until.After(s.avoidUntil) {
		s.avoidUntil = until
	}
}

// IsOutOfService reports whether the server takes no further requests.
func (s *TrackedServer) IsOutOfService() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reported.IsLeaving()
}

// SharedReport returns what the server has reported about itself and concerns all nodes.
func (s *TrackedServer) SharedReport() selfreport.Shared {
	reported := s.reports()
	return reported.Shared(s.ID, s.Start)
}

// reports returns what the server has reported about itself.
func (s *TrackedServer) reports() selfreport.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reported
}

// MarkLeaving records that the server takes no new requests, which is known otherwise than from an answer.
func (s *TrackedServer) MarkLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reported.MarkLeaving()
}

// RecordNoRoom records that the server had no room for a request, and reports whether it is brittle.
func (s *TrackedServer) RecordNoRoom(now time.Time) (isBrittle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.service.isBrittle(now) {
		return false
	}
	s.service.rejected(now)
	s.reported.Rejected(now)
	return true
}

// Admission returns whether the server takes a request, according to its reports; nodes is the number of nodes that share a limit.
func (s *TrackedServer) Admission(nodes int, now time.Time) selfreport.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admission(nodes, now)
}

// admission is Admission for callers that hold s.mu.
func (s *TrackedServer) admission(nodes int, now time.Time) selfreport.Decision {
	decision := s.reported.Check(nodes, now)
	if decision.Verdict != selfreport.Admitted {
		return decision
	}
	if next := s.warmUp.NextAt(s.service.warmUpPolicy(), s.service.warmUpTurn(s.turnOffset, nodes), now); next.After(now) {
		return selfreport.Decision{Verdict: selfreport.Warming, Until: next}
	}
	if !s.service.isBrittle(now) {
		return decision
	}
	return s.service.checkRoom(&s.reported, s.expectedInFlight(now), s.turnOffset, now)
}

// expectedInFlight returns the number of requests that run or wait at the server, by its last load report and this node's own ones since; the caller holds s.mu.
func (s *TrackedServer) expectedInFlight(now time.Time) int {
	load, _, _ := s.reported.Load(now)
	return load.Running + load.Waiting + s.inFlight - s.inFlightAtReport
}

// Take is like Admission, and counts a request that the server takes as sent.
func (s *TrackedServer) Take(nodes int, now time.Time) selfreport.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if decision := s.admission(nodes, now); decision.Verdict != selfreport.Admitted {
		return decision
	}
	s.warmUp.Sent(now)
	s.reported.TakeRoom(s.expectedInFlight(now), now)
	return s.reported.Take(nodes, now)
}
