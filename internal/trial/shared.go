package trial

import (
	"cmp"
	"slices"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/rollout"
	"github.com/monsoonrail/monsoonrail/internal/suspect"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// NodeReport is the report of one incarnation of a node: its cumulative counts on candidates and its suspicions against versions
// in service. A report with a higher number replaces one with a lower number.
type NodeReport struct {
	Node        api.NodeID
	Incarnation api.Incarnation
	Number      uint64
	Uses        []rollout.Use    `json:",omitempty"`
	Reports     []suspect.Report `json:",omitempty"`
	// Suspicions are the node's strongest suspicions, at most maxSuspicions, ordered by service, version and class.
	Suspicions []suspect.Suspicion `json:",omitempty"`
}

func (r *NodeReport) sort() {
	slices.SortFunc(r.Uses, func(a, b rollout.Use) int { return cmp.Compare(a.RollOut, b.RollOut) })
	slices.SortFunc(r.Reports, func(a, b suspect.Report) int {
		return cmp.Or(cmp.Compare(a.Key.Service, b.Key.Service), cmp.Compare(a.Key.Class, b.Key.Class))
	})
}

func (r *NodeReport) hasSameContent(other NodeReport) bool {
	return slices.Equal(r.Uses, other.Uses) && slices.Equal(r.Reports, other.Reports) && slices.Equal(r.Suspicions, other.Suspicions)
}

// participatesIn reports whether the node received a grant of a roll-out, so that its counts belong to it.
func (r *NodeReport) participatesIn(id rollout.ID) bool {
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

// sharedState is the state that nodes exchange. Each entry has the sequence number of its last change on this node.
type sharedState struct {
	seq     uint64
	reports map[api.Incarnation]*reportEntry
	grants  map[grantKey]*grantEntry
	stops   map[string]*stopEntry
	// histories holds the counts of versions in service on this node and others.
	histories map[historyKey]*historyEntry
}

type grantKey struct {
	service api.Service
	node    api.NodeID
}

type reportEntry struct {
	seq    uint64
	report NodeReport
	// receivedAt is the time at which the report was stored.
	receivedAt time.Time
}

type grantEntry struct {
	seq   uint64
	grant rollout.Grant
}

type stopEntry struct {
	seq  uint64
	stop suspect.Stop
}

func newSharedState() sharedState {
	return sharedState{
		reports: map[api.Incarnation]*reportEntry{},
		grants:  map[grantKey]*grantEntry{},
		stops:   map[string]*stopEntry{},

		histories: map[historyKey]*historyEntry{},
	}
}

func (s *sharedState) nextSeq() uint64 {
	s.seq++
	return s.seq
}

// putReport stores a report if it is newer than the last one of its incarnation. It reports whether it was stored.
func (s *sharedState) putReport(r NodeReport, now time.Time) bool {
	last, ok := s.reports[r.Incarnation]
	if ok && last.report.Number >= r.Number || !ok && len(s.reports) >= maxReports {
		return false
	}
	s.reports[r.Incarnation] = &reportEntry{seq: s.nextSeq(), report: r, receivedAt: now}
	return true
}

// putGrant stores a grant if it is newer than the last one for its service and node. It reports whether it was stored.
func (s *sharedState) putGrant(grant rollout.Grant) bool {
	key := grantKey{service: grant.Service, node: grant.Node}
	last, ok := s.grants[key]
	if ok && !grant.IsNewer(last.grant) || !ok && len(s.grants) >= maxReports {
		return false
	}
	s.grants[key] = &grantEntry{seq: s.nextSeq(), grant: grant}
	return true
}

// putStop stores a stop, so that it is sent to peers, unless it is already there. It reports whether it was stored.
func (s *sharedState) putStop(stop suspect.Stop) bool {
	if _, ok := s.stops[stopID(stop)]; ok || len(s.stops) >= maxReports {
		return false
	}
	s.stops[stopID(stop)] = &stopEntry{seq: s.nextSeq(), stop: stop}
	return true
}

// stopID returns the key of a stop. It includes the node, since the same stop by two nodes is a confirmation.
func stopID(stop suspect.Stop) string { return stop.ID + "/" + string(stop.Node) }

// dropReplacedStops drops the stops that the configuration has replaced.
func (s *sharedState) dropReplacedStops(stops *suspect.Stops) {
	for id, entry := range s.stops {
		if stops.IsReplaced(entry.stop.ID) {
			delete(s.stops, id)
		}
	}
}

// dropExpiredStops drops the stops that were not corroborated by another node in time.
func (s *sharedState) dropExpiredStops(now time.Time) {
	for id, entry := range s.stops {
		if entry.stop.IsExpired(now) {
			delete(s.stops, id)
		}
	}
}

func (s *sharedState) dropExpired(now time.Time) {
	for incarnation, entry := range s.reports {
		if now.Sub(entry.receivedAt) >= reportRetention {
			delete(s.reports, incarnation)
		}
	}
	for id, entry := range s.histories {
		if now.Sub(entry.updatedAt) >= reportRetention {
			delete(s.histories, id)
		}
	}
}
