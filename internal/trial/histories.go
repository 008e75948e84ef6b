package trial

import (
	"time"

	"github.com/monsoonrail/monsoonrail/internal/suspect"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// minTold and maxTold bound the requests of a history that is told: fewer tell nothing, and with more a node needs no
	// others'.
	minTold = 30
	maxTold = 2000
	// toldGrowth is by how much a history has grown when it is told again.
	toldGrowth = 2
	// retellEvery is the time after which a history is told again though it has not grown much.
	retellEvery = forgetAfter / 2
	// maxHistories bounds the histories of others that are kept; further ones are dropped.
	maxHistories = 16384
)

// NodeHistory is what the answers of a version in service were like at one node, which helps nodes with few of their own.
type NodeHistory struct {
	Node        api.NodeID
	Incarnation api.Incarnation
	Key         suspect.Key
	// Counts holds no durations, since these depend on the node's place.
	Counts suspect.Tally
}

type historyKey struct {
	incarnation api.Incarnation
	key         suspect.Key
}

type historyEntry struct {
	seq     uint64
	history NodeHistory
	// heard is when the history came in, or was told.
	heard time.Time
}

// putHistory keeps a history if it holds more than the last one or is due again, and reports whether it does.
func (s *shared) putHistory(history NodeHistory, now time.Time) bool {
	id := historyKey{history.Incarnation, history.Key}
	last, ok := s.histories[id]
	isLike := ok && history.Counts.Requests <= last.history.Counts.Requests && now.Sub(last.heard) < retellEvery
	if isLike || !ok && len(s.histories) >= maxHistories {
		return false
	}
	s.histories[id] = &historyEntry{seq: s.next(), history: history, heard: now}
	return true
}

// countsOfOthers returns the counts of a version at other nodes, if its own history needs them.
func (s *shared) countsOfOthers(key suspect.Key, own api.Incarnation, past *suspect.History) suspect.Tally {
	var total suspect.Tally
	if !past.IsShort() {
		return total
	}
	for id, entry := range s.histories {
		if id.key == key && id.incarnation != own {
			total.Add(entry.history.Counts)
		}
	}
	return total
}

// forgetHistories drops what is known of a version at all nodes.
func (s *shared) forgetHistories(service api.Service, version api.VersionID) {
	for id := range s.histories {
		if id.key.Service == service && id.key.Version == version {
			delete(s.histories, id)
		}
	}
}

// tellHistory tells the others what the node compares a version with, while that is short.
func (n *Node) tellHistory(key suspect.Key, before suspect.Tally, now time.Time) {
	last, ok := n.shared.histories[historyKey{n.opts.Incarnation, key}]
	if before.Requests < minTold || ok && !isDue(last, before, now) {
		return
	}
	before.Latency = [suspect.LatencyBins]uint64{}
	n.shared.putHistory(NodeHistory{Node: n.opts.Node, Incarnation: n.opts.Incarnation, Key: key, Counts: before}, now)
}

// isDue reports whether a history is to be told again.
func isDue(last *historyEntry, before suspect.Tally, now time.Time) bool {
	told := last.history.Counts.Requests
	return told < maxTold && (before.Requests >= toldGrowth*told || now.Sub(last.heard) >= retellEvery)
}
