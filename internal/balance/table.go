package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// ServerConfig describes a server as given by the VM list and the configuration.
type ServerConfig struct {
	ID api.ServerID
	// Slots is the number of requests that the server processes concurrently; 0 means DefaultSlots.
	Slots int
	// Excluded is true if the server gets no new work.
	Excluded bool
}

// Values assumed for a server until they are measured or reported.
const (
	DefaultSlots          = 8
	defaultAnswerRate     = 40.0
	defaultPromptRate     = 4000.0
	defaultHoldingSeconds = 2.0
)

// LoadReport is the load that a server reports about itself.
type LoadReport struct {
	Running, Queued int
	// Slots is 0 if the server doesn't report it.
	Slots int
	// AnswerRate is the rate of generation of one request in tokens per second; 0 if the server doesn't report it.
	AnswerRate float64
	MeasuredAt time.Time
}

// Table holds a node's measurements of the servers of its subset. It isn't safe for concurrent use.
type Table struct {
	servers []Server
	history []history
	// attempts holds the unfinished attempts on each server, in the order of their dispatch.
	attempts    [][]attempt
	lastAttempt AttemptID
	index       map[api.ServerID]ServerIndex
	// cacheHolders maps the hash of a prefix to the servers that have it cached.
	cacheHolders map[uint64]Mask
	// speeds maps each version to its learnt rate of generation, relative to the servers' AnswerRate.
	speeds map[api.VersionID]float64
}

// maxVersions is the largest number of versions whose relative speed a table keeps; that of others is taken as 1.
const maxVersions = 256

// MaxPrefixes is the largest number of prefixes for which a table keeps the servers that have them cached.
const MaxPrefixes = 1 << 16

// NewTable returns a table without servers.
func NewTable() *Table {
	return &Table{
		index:        map[api.ServerID]ServerIndex{},
		cacheHolders: map[uint64]Mask{},
		speeds:       map[api.VersionID]float64{},
	}
}

// SetServers replaces the subset. The state of servers that stay in the subset is kept; servers beyond MaxSubsetSize are
// ignored.
func (t *Table) SetServers(configs []ServerConfig) {
	configs = configs[:min(len(configs), MaxSubsetSize)]
	old, oldHistory, oldAttempts, oldIndex, oldHolders := t.servers, t.history, t.attempts, t.index, t.cacheHolders
	t.servers = make([]Server, len(configs))
	t.history = make([]history, len(configs))
	t.attempts = make([][]attempt, len(configs))
	t.index = make(map[api.ServerID]ServerIndex, len(configs))
	moved := map[ServerIndex]ServerIndex{}
	for i, config := range configs {
		index := ServerIndex(i)
		t.index[config.ID] = index
		if from, ok := oldIndex[config.ID]; ok {
			t.servers[i], t.history[i], t.attempts[i] = old[from], oldHistory[from], oldAttempts[from]
			moved[from] = index
		} else {
			t.servers[i] = newServer(config)
		}
		t.servers[i].Excluded = config.Excluded
		if config.Slots > 0 {
			t.servers[i].Slots = config.Slots
		}
	}
	t.cacheHolders = remapHolders(oldHolders, moved)
}

func newServer(config ServerConfig) Server {
	return Server{
		ID:             config.ID,
		Slots:          DefaultSlots,
		AnswerRate:     defaultAnswerRate,
		PromptRate:     defaultPromptRate,
		HoldingSeconds: defaultHoldingSeconds,
		IDHash:         xxhash.Sum64String(string(config.ID)),
	}
}

func remapHolders(old map[uint64]Mask, moved map[ServerIndex]ServerIndex) map[uint64]Mask {
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

// Servers returns the subset for Input.Servers. The slice is shared with the table and changes with it.
func (t *Table) Servers() []Server { return t.servers }

// Find returns the index of a server.
func (t *Table) Find(id api.ServerID) (ServerIndex, bool) {
	i, ok := t.index[id]
	return i, ok
}

// CacheHolders returns the servers that are known to have a prefix cached.
func (t *Table) CacheHolders(prefix uint64) Mask { return t.cacheHolders[prefix] }

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

// limitSpeeds removes arbitrary versions until at most maxVersions are left.
func (t *Table) limitSpeeds() {
	for version := range t.speeds {
		if len(t.speeds) <= maxVersions {
			return
		}
		delete(t.speeds, version)
	}
}

// RecordLoad records a server's load report; a report that isn't newer than the last one is ignored.
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
		server.applyReportedRate(report.AnswerRate, report.MeasuredAt)
	}
}

// RecordCacheEvent records that a server has stored or evicted a prefix. If MaxPrefixes is reached, an arbitrary prefix is
// removed.
func (t *Table) RecordCacheEvent(id api.ServerID, prefix uint64, stored bool) {
	i, ok := t.index[id]
	if !ok {
		return
	}
	mask := t.cacheHolders[prefix].Without(i)
	if stored {
		mask = mask.With(i)
	}
	if mask == 0 {
		delete(t.cacheHolders, prefix)
		return
	}
	if _, known := t.cacheHolders[prefix]; !known && len(t.cacheHolders) >= MaxPrefixes {
		for forgotten := range t.cacheHolders {
			delete(t.cacheHolders, forgotten)
			break
		}
	}
	t.cacheHolders[prefix] = mask
}

// historyLength is the number of changes of the node's in-flight count that are kept for each server.
const historyLength = 64

// history is a ring buffer of the node's in-flight count on a server. The count at the time of a load report is subtracted
// from the report to get the peers' requests.
type history struct {
	times  [historyLength]time.Time
	counts [historyLength]int
	next   int
}

func (h *history) record(now time.Time, count int) {
	h.times[h.next] = now
	h.counts[h.next] = count
	h.next = (h.next + 1) % historyLength
}

// at returns the count at a time, or the oldest one kept if the time is before it.
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
