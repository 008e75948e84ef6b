package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// ServerConfig is a server as the VM list and the configuration describe it.
type ServerConfig struct {
	ID api.ServerID
	// Slots is the number of requests that the server works on at a time; 0 means DefaultSlots.
	Slots int
	// Excluded tells that the server gets no new work.
	Excluded bool
}

// Values assumed of a server until it is known better.
const (
	DefaultSlots      = 8
	defaultAnswerRate = 40.0
	defaultPromptRate = 4000.0
	defaultHolding    = 2.0
)

// LoadReport is a server's own report.
type LoadReport struct {
	Running, Queued int
	// Slots is 0 if the server doesn't say.
	Slots int
	// AnswerRate is the speed of one generation in tokens a second; 0 if the server doesn't say.
	AnswerRate float64
	MeasuredAt time.Time
}

// Table holds what a node learns about the servers of a subset. It isn't safe for concurrent use.
type Table struct {
	servers []Server
	history []history
	// runs holds each server's unfinished requests, in the order of their dispatch.
	runs    [][]run
	lastRun AttemptID
	index   map[api.ServerID]ServerIndex
	// holders maps the hash of a prefix to the servers that have it cached.
	holders map[uint64]Mask
	// speeds holds the learnt rate of generation of each version, relative to the servers' AnswerRate.
	speeds map[api.VersionID]float64
}

// maxVersions bounds the versions whose speed a table learns; others count as 1.
const maxVersions = 256

// MaxPrefixes is the largest number of prefixes whose servers a table remembers.
const MaxPrefixes = 1 << 16

// NewTable returns a table without servers.
func NewTable() *Table {
	return &Table{
		index:   map[api.ServerID]ServerIndex{},
		holders: map[uint64]Mask{},
		speeds:  map[api.VersionID]float64{},
	}
}

// SetServers replaces the subset, at most MaxSubset servers; what is known of servers that stay is kept.
func (t *Table) SetServers(members []ServerConfig) {
	members = members[:min(len(members), MaxSubsetSize)]
	old, oldHistory, oldRuns, oldIndex, oldHolders := t.servers, t.history, t.runs, t.index, t.holders
	t.servers = make([]Server, len(members))
	t.history = make([]history, len(members))
	t.runs = make([][]run, len(members))
	t.index = make(map[api.ServerID]ServerIndex, len(members))
	moved := map[ServerIndex]ServerIndex{}
	for i, member := range members {
		index := ServerIndex(i)
		t.index[member.ID] = index
		if from, ok := oldIndex[member.ID]; ok {
			t.servers[i], t.history[i], t.runs[i] = old[from], oldHistory[from], oldRuns[from]
			moved[from] = index
		} else {
			t.servers[i] = newServer(member)
		}
		t.servers[i].Excluded = member.Excluded
		if member.Slots > 0 {
			t.servers[i].Slots = member.Slots
		}
	}
	t.holders = moveHolders(oldHolders, moved)
}

func newServer(member ServerConfig) Server {
	return Server{
		ID:             member.ID,
		Slots:          DefaultSlots,
		AnswerRate:     defaultAnswerRate,
		PromptRate:     defaultPromptRate,
		HoldingSeconds: defaultHolding,
		IDHash:         xxhash.Sum64String(string(member.ID)),
	}
}

func moveHolders(old map[uint64]Mask, moved map[ServerIndex]ServerIndex) map[uint64]Mask {
	holders := make(map[uint64]Mask, len(old))
	for prefix, mask := range old {
		var kept Mask
		for from, to := range moved {
			if mask.Has(from) {
				kept = kept.With(to)
			}
		}
		if kept != 0 {
			holders[prefix] = kept
		}
	}
	return holders
}

// Servers returns the subset as Choose takes it; the next change to the table changes it too.
func (t *Table) Servers() []Server { return t.servers }

// Find returns the index of a server.
func (t *Table) Find(id api.ServerID) (ServerIndex, bool) {
	i, ok := t.index[id]
	return i, ok
}

// CacheHolders returns the servers that are known to have a prefix cached.
func (t *Table) CacheHolders(prefix uint64) Mask { return t.holders[prefix] }

// SetExcluded sets whether a server gets no new work.
func (t *Table) SetExcluded(id api.ServerID, excluded bool) {
	if i, ok := t.index[id]; ok {
		t.servers[i].Excluded = excluded
	}
}

// RelativeSpeed returns the learnt rate of generation of a version relative to the servers' AnswerRate; 1 if it is unknown.
func (t *Table) RelativeSpeed(version api.VersionID) float64 {
	if speed, ok := t.speeds[version]; ok {
		return speed
	}
	return 1
}

// boundSpeeds forgets any version over the bound.
func (t *Table) boundSpeeds() {
	for version := range t.speeds {
		if len(t.speeds) <= maxVersions {
			return
		}
		delete(t.speeds, version)
	}
}

// RecordLoad notes a server's own report; one that is older than the last is ignored.
func (t *Table) RecordLoad(id api.ServerID, report LoadReport) {
	i, ok := t.index[id]
	if !ok || report.MeasuredAt.UnixNano() <= t.servers[i].ReportedAt {
		return
	}
	server := &t.servers[i]
	server.ReportedAt = report.MeasuredAt.UnixNano()
	server.PeerInFlight = max(report.Running+report.Queued-t.history[i].at(report.MeasuredAt), 0)
	if report.Slots > 0 {
		server.Slots = report.Slots
	}
	if report.AnswerRate > 0 {
		server.hear(report.AnswerRate, report.MeasuredAt)
	}
}

// RecordCacheEvent notes that a server has stored or evicted a prefix. Over MaxPrefixes any prefix is forgotten.
func (t *Table) RecordCacheEvent(id api.ServerID, prefix uint64, stored bool) {
	i, ok := t.index[id]
	if !ok {
		return
	}
	mask := t.holders[prefix].Without(i)
	if stored {
		mask = mask.With(i)
	}
	if mask == 0 {
		delete(t.holders, prefix)
		return
	}
	if _, known := t.holders[prefix]; !known && len(t.holders) >= MaxPrefixes {
		for forgotten := range t.holders {
			delete(t.holders, forgotten)
			break
		}
	}
	t.holders[prefix] = mask
}

// historyLength is the number of changes of the node's own in-flight count that are kept for each server.
const historyLength = 64

// history remembers the node's own in-flight count, to be taken off a report measured earlier.
type history struct {
	times  [historyLength]time.Time
	counts [historyLength]int
	next   int
}

func (h *history) note(now time.Time, count int) {
	h.times[h.next] = now
	h.counts[h.next] = count
	h.next = (h.next + 1) % historyLength
}

// at returns the count at a time, or the oldest kept.
func (h *history) at(t time.Time) int {
	count := 0
	for k := 1; k <= historyLength; k++ {
		i := (h.next - k + historyLength) % historyLength
		if h.times[i].IsZero() {
			return count
		}
		count = h.counts[i]
		if !h.times[i].After(t) {
			return count
		}
	}
	return count
}
