package claim

import (
	"maps"
	"time"
)

// maxRecent bounds the claims that a batcher remembers, in each of two generations.
const maxRecent = 8 << 10

// recent remembers the claims that a batcher saw last. A claim never changes while it is kept, so that a repeat is
// answered without a transaction, and a service that came back older is given its claims again.
type recent struct {
	newer, older map[string]Record
	// turn is when newer becomes older at the latest, so that no claim is remembered for longer than it is kept.
	turn      time.Time
	retention time.Duration
}

func newRecent(retention time.Duration) recent {
	return recent{newer: make(map[string]Record), retention: retention}
}

func (r *recent) find(key string, now time.Time) (Record, bool) {
	r.age(now)
	if record, ok := r.newer[key]; ok {
		return record, true
	}
	record, ok := r.older[key]
	return record, ok
}

func (r *recent) add(key string, record Record, now time.Time) {
	r.age(now)
	r.newer[key] = record
}

// all returns every claim remembered.
func (r *recent) all() map[string]Record {
	all := maps.Clone(r.newer)
	for key, record := range r.older {
		if _, ok := all[key]; !ok {
			all[key] = record
		}
	}
	return all
}

func (r *recent) age(now time.Time) {
	if len(r.newer) < maxRecent && now.Before(r.turn) {
		return
	}
	r.older = r.newer
	r.newer = make(map[string]Record)
	r.turn = now.Add(r.retention / 3)
}
