// Package selfreport decides what the reports that backend servers make about themselves in their answers mean for further requests to them.
//
// Every attempt is subject to the same decision, whether it is the first one of a request, a retry, a resumed stream, an escalation or a
// probe. A report concerns one start of a server: a server that starts again has reported nothing. The package has no input or output.
package selfreport

import (
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// maxPause bounds a pause: a longer one is more likely to be a fault than a plan.
const maxPause = 10 * time.Minute

// Load is a server's own count of its running and waiting requests and of its slots.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is how many times as long as usual work takes on the server's machine at the moment; 0 if the server doesn't say.
	Slowdown float64
}

// Report is what a server reports about itself in one answer.
type Report struct {
	// IsSigned means that the answer is certainly the server's own. Only such an answer shows that a limit has ended.
	IsSigned bool
	// IsLeaving means that the server is about to end and takes no new requests.
	IsLeaving bool
	// Pause is how long the server wants no requests from this node; 0 if it asks for none.
	Pause time.Duration
	// Limit is how many requests the server takes from all nodes together; valid if HasLimit.
	Limit    Rate
	HasLimit bool
	// Brittle is how many requests the server can reject in a second, for want of room, without falling over; valid if HasBrittle.
	Brittle    Rate
	HasBrittle bool
	// Load is valid if HasLoad.
	Load    Load
	HasLoad bool
}

// LoadPart returns the part of its slots that the server runs, if it reports that.
func (r Report) LoadPart() (part float64, ok bool) {
	if !r.HasLoad || r.Load.Slots <= 0 {
		return 0, false
	}
	return float64(r.Load.Running) / float64(r.Load.Slots), true
}

// State is what a node knows of one start of a server by the server's reports; the zero value knows nothing. It is not safe for
// concurrent use.
type State struct {
	// isLeaving means that the server has reported that it leaves, isMarkedLeaving that this is known otherwise. Both are never reset: a server
	// that leaves doesn't change its mind.
	isLeaving, isMarkedLeaving bool
	// pausedUntil is the end of the pause that the server has asked for; zero if it has asked for none.
	pausedUntil time.Time
	limit       limit
	room        room
	load        Load
	// loadAt is when load was received; zero if there was no load report.
	loadAt time.Time
}

// Verdict says whether a server takes a request.
type Verdict int

const (
	// Admitted means that the server takes a request now.
	Admitted Verdict = iota
	// Leaving means that the server takes no further requests.
	Leaving
	// Paused means that the server takes no requests from this node for some time.
	Paused
	// Limited means that this node has sent the server its share of requests for now.
	Limited
	// Full means that a brittle server may have no room.
	Full
	// Warming means that the server is cold and takes no request from this node for now.
	Warming
)

// String returns the verdict as used in log fields.
func (v Verdict) String() string {
	switch v {
	case Leaving:
		return "leaving"
	case Paused:
		return "paused"
	case Limited:
		return "limited"
	case Full:
		return "full"
	case Warming:
		return "warming"
	default:
		return "admitted"
	}
}

// Change says what a report changes.
type Change struct {
	Leaving, Pause, Limit bool
}

// IsNews reports whether the server takes other requests than before.
func (c Change) IsNews() bool { return c.Leaving || c.Pause || c.Limit }

// ConcernsAllNodes reports whether other nodes should know.
func (c Change) ConcernsAllNodes() bool { return c.Leaving || c.Limit }

// Record takes in a report received now in the answer to a request sent at sentAt.
func (s *State) Record(report Report, share Share, sentAt, now time.Time) (change Change) {
	if report.HasLoad {
		s.load, s.loadAt = report.Load, now
	}
	change.Leaving = report.IsLeaving && !s.IsLeaving()
	s.isLeaving = s.isLeaving || report.IsLeaving
	if end := now.Add(min(report.Pause, maxPause)); report.Pause > 0 && end.After(s.pausedUntil) {
		s.pausedUntil, change.Pause = end, true
	}
	change.Limit = s.limit.record(report, share, sentAt, now)
	return change
}

// Decision says whether a server takes a request, and when it will.
type Decision struct {
	Verdict Verdict
	// Until is when the verdict ends; zero if Verdict is Admitted or the end is not known.
	Until time.Time
}

// Check returns whether the server takes a request; nodes is the number of nodes that share a limit.
func (s *State) Check(nodes int, now time.Time) Decision {
	switch {
	case s.IsLeaving():
		return Decision{Verdict: Leaving}
	case now.Before(s.pausedUntil):
		return Decision{Verdict: Paused, Until: s.pausedUntil}
	case now.Before(s.limit.nextAt(nodes)):
		return Decision{Verdict: Limited, Until: s.limit.nextAt(nodes)}
	default:
		return Decision{}
	}
}

// IsLeaving reports whether the server takes no further requests.
func (s *State) IsLeaving() bool { return s.isLeaving || s.isMarkedLeaving }

// MarkLeaving records that the server takes no further requests, which is known otherwise than from an answer.
func (s *State) MarkLeaving() { s.isMarkedLeaving = true }

// Take is like Check, and counts a request that the server takes as sent.
func (s *State) Take(nodes int, now time.Time) Decision {
	decision := s.Check(nodes, now)
	if decision.Verdict == Admitted {
		s.limit.lastAt = now
	}
	return decision
}

// Shared returns what one start of the server has reported and concerns all nodes.
func (s *State) Shared(server api.ServerID, start int64) Shared {
	return Shared{Server: server, Start: start, IsLeaving: s.isLeaving, Limit: s.limit.rate, HasLimit: s.limit.isSet()}
}

// Load returns the last load report and its age; ok is false if there was none.
func (s *State) Load(now time.Time) (load Load, age time.Duration, ok bool) {
	return s.load, now.Sub(s.loadAt), !s.loadAt.IsZero()
}
