package trial

import (
	"cmp"
	"slices"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/rollout"
	"github.com/monsoonrail/monsoonrail/internal/suspect"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// NodeReport is all that one incarnation of a node has counted on candidates, and what it holds against versions in
// service; a higher number replaces a lower one.
type NodeReport struct {
	Node        api.NodeID
	Incarnation api.Incarnation
	Number      uint64
	Uses        []rollout.Use    `json:",omitempty"`
	Reports     []suspect.Report `json:",omitempty"`
	// Suspicions are the strongest ones of the node, at most maxSuspicions, ordered by service, version and class.
	Suspicions []suspect.Suspicion `json:",omitempty"`
}

func (r *NodeReport) sort() {
	slices.SortFunc(r.Uses, func(a, b rollout.Use) int { return cmp.Compare(a.RollOut, b.RollOut) })
	slices.SortFunc(r.Reports, func(a, b suspect.Report) int {
		return cmp.Or(cmp.Compare(a.Key.Service, b.Key.Service), cmp.Compare(a.Key.Class, b.Key.Class))
	})
}

func (r *NodeReport) isLike(other NodeReport) bool {
	return slices.Equal(r.Uses, other.Uses) && slices.Equal(r.Reports, other.Reports) && slices.Equal(r.Suspicions, other.Suspicions)
}

// takesPart reports whether the node has had a grant of a roll-out and counts for it.
func (r *NodeReport) takesPart(id rollout.ID) bool {
	return slices.ContainsFunc(r.Uses, func(use rollout.Use) bool { return use.RollOut == id })
}

func (r *NodeReport) useOf(id rollout.ID) rollout.Use {
	for _, use := range r.Uses {
		if use.RollOut == id {
			return use
		}
	}
	return rollout.Use{RollOut: id, Node: r.Node, Incarnation: r.Incarnation}
}

// shared is what the nodes tell each other. Each entry has the sequence at which it last changed here.
type shared struct {
	seq     uint64
	reports map[api.Incarnation]*reportEntry
	grants  map[grantKey]*grantEntry
	stops   map[string]*stopEntry
	// histories holds the ratings of versions in service, of this node and others.
	histories map[historyKey]*historyEntry
}

type grantKey struct {
	service api.Service
	node    api.NodeID
}

type reportEntry struct {
	seq    uint64
	report NodeReport
	// heard is when the report came in.
	heard time.Time
}

type grantEntry struct {
	seq   uint64
	grant rollout.Grant
}

type stopEntry struct {
	seq  uint64
	stop suspect.Stop
}

func newShared() shared {
	return shared{
		reports: map[api.Incarnation]*reportEntry{},
		grants:  map[grantKey]*grantEntry{},
		stops:   map[string]*stopEntry{},

		histories: map[historyKey]*historyEntry{},
	}
}

func (s *shared) next() uint64 {
	s.seq++
	return s.seq
}

// putReport keeps a report if it is newer and reports whether it was.
func (s *shared) putReport(r NodeReport, now time.Time) bool {
	last, ok := s.reports[r.Incarnation]
	if ok && last.report.Number >= r.Number || !ok && len(s.reports) >= maxReports {
		return false
	}
	s.reports[r.Incarnation] = &reportEntry{seq: s.next(), report: r, heard: now}
	return true
}

// putGrant keeps a grant if it is newer and reports whether it was.
func (s *shared) putGrant(grant rollout.Grant) bool {
	key := grantKey{service: grant.Service, node: grant.Node}
	last, ok := s.grants[key]
	if ok && !grant.IsNewer(last.grant) || !ok && len(s.grants) >= maxReports {
		return false
	}
	s.grants[key] = &grantEntry{seq: s.next(), grant: grant}
	return true
}

// putStop keeps a stop, so that it is told to the peers, and reports whether it is new.
func (s *shared) putStop(stop suspect.Stop) bool {
	if _, ok := s.stops[stopID(stop)]; ok || len(s.stops) >= maxReports {
		return false
	}
	s.stops[stopID(stop)] = &stopEntry{seq: s.next(), stop: stop}
	return true
}

// stopID tells the same stop by two nodes apart, since two nodes confirm each other.
func stopID(stop suspect.Stop) string { return stop.ID + "/" + string(stop.Node) }

// dropStops forgets the stops that the configuration has replaced.
func (s *shared) dropStops(stops *suspect.Stops) {
	for id, entry := range s.stops {
		if stops.IsReplaced(entry.stop.ID) {
			delete(s.stops, id)
		}
	}
}

// dropOldStops forgets the stops with a single source that are too old to count.
func (s *shared) dropOldStops(now time.Time) {
	for id, entry := range s.stops {
		if entry.stop.IsExpired(now) {
			delete(s.stops, id)
		}
	}
}

func (s *shared) expire(now time.Time) {
	for incarnation, entry := range s.reports {
		if now.Sub(entry.heard) >= forgetAfter {
			delete(s.reports, incarnation)
		}
	}
	for id, entry := range s.histories {
		if now.Sub(entry.heard) >= forgetAfter {
			delete(s.histories, id)
		}
	}
}
