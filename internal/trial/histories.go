package trial

import (
	"time"

	"github.com/monsoonrail/monsoonrail/internal/suspect"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// minReportedRequests and maxReportedRequests bound the number of requests of a history that is sent to peers: with fewer it
	// has no value, and with more a node needs no histories of others.
	minReportedRequests = 30
	maxReportedRequests = 2000
	// reportGrowth is the factor by which a history must have grown to be sent again.
	reportGrowth = 2
	// historyRepeatInterval is the time after which a history is sent again even if it has not grown by that factor.
	historyRepeatInterval = reportRetention / 2
	// maxHistories bounds the number of stored histories; further ones are dropped.
	maxHistories = 16384
)

// NodeHistory holds one node's counts of a version in service. Nodes with few counts of their own use it as a baseline too.
type NodeHistory struct {
	Node        api.NodeID
	Incarnation api.Incarnation
	Key         suspect.Key
	// Counts has no latencies, since these depend on where the node runs.
	Counts suspect.Tally
}

type historyKey struct {
	incarnation api.Incarnation
	key         suspect.Key
}

type historyEntry struct {
	seq     uint64
	history NodeHistory
	// updatedAt is the time at which the history was received, or for the own one was published.
	updatedAt time.Time
}

// putHistory stores a history if it has more requests than the last one or that one is historyRepeatInterval old. It reports whether it
// was stored.
func (s *sharedState) putHistory(history NodeHistory, now time.Time) bool {
	id := historyKey{history.Incarnation, history.Key}
	last, ok := s.histories[id]
	isUnchanged := ok && history.Counts.Requests <= last.history.Counts.Requests && now.Sub(last.updatedAt) < historyRepeatInterval
	if isUnchanged || !ok && len(s.histories) >= maxHistories {
		return false
	}
	s.histories[id] = &historyEntry{seq: s.nextSeq(), history: history, updatedAt: now}
	return true
}

// peerCounts returns the sum of other nodes' counts for a key, or no counts if the own history is long enough.
func (s *sharedState) peerCounts(key suspect.Key, own api.Incarnation, history *suspect.History) suspect.Tally {
	var total suspect.Tally
	if !history.IsShort() {
		return total
	}
	for id, entry := range s.histories {
		if id.key == key && id.incarnation != own {
			total.Add(entry.history.Counts)
		}
	}
	return total
}

// forgetHistories drops the stored histories of a version, those of this and of all other nodes.
func (s *sharedState) forgetHistories(service api.Service, version api.VersionID) {
	for id := range s.histories {
		if id.key.Service == service && id.key.Version == version {
			delete(s.histories, id)
		}
	}
}

// reportHistory publishes the counts that the node compares a version with, until a published history has maxReportedRequests.
func (n *Node) reportHistory(key suspect.Key, counts suspect.Tally, now time.Time) {
	last, ok := n.shared.histories[historyKey{n.opts.Incarnation, key}]
	if counts.Requests < minReportedRequests || ok && !isHistoryDue(last, counts, now) {
		return
	}
	counts.Latency = [suspect.LatencyBins]uint64{}
	n.shared.putHistory(NodeHistory{Node: n.opts.Node, Incarnation: n.opts.Incarnation, Key: key, Counts: counts}, now)
}

// isHistoryDue reports whether the node's own history is to be sent again.
func isHistoryDue(last *historyEntry, counts suspect.Tally, now time.Time) bool {
	reported := last.history.Counts.Requests
	return reported < maxReportedRequests && (counts.Requests >= reportGrowth*reported || now.Sub(last.updatedAt) >= historyRepeatInterval)
}
