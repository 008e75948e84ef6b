// Package share turns state that a node keeps anyway into a topic of the peer exchange: records under keys, of which a peer
// is sent those that changed since it was last told.
package share

import (
	"bytes"
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// maxTellings bounds the peers that a node hands one state of a record to: each of them hands it on to as many, so that it
	// reaches all of a failure domain. With one telling to each peer that was met a record came to a node from nearly all others.
	maxTellings = 4
	// repeatAfter without a change, a record is told to a few again, so that a node that all tellings missed, as one that was cut
	// off, does not stay behind.
	repeatAfter = 5 * time.Minute
)

// set holds records with the number of their last change.
type set struct {
	mu sync.Mutex
	// version is the number of the last change of any record.
	version uint64
	records map[string]*record
}

type record struct {
	version uint64
	data    []byte
	// offered is when the record last changed, or was last taken up to be told again; tellings counts the payloads that carried
	// it since then to peers that had been told something before.
	offered  time.Time
	tellings int
}

func newSet() *set { return &set{records: make(map[string]*record)} }

// replace makes the set hold these records and no others.
func (s *set) replace(next map[string][]byte, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, data := range next {
		known, ok := s.records[key]
		if !ok || !bytes.Equal(known.data, data) {
			s.version++
			s.records[key] = &record{version: s.version, data: data, offered: now}
			continue
		}
		if now.Sub(known.offered) >= repeatAfter {
			s.version++
			known.version, known.offered, known.tellings = s.version, now, 0
		}
	}
	for key := range s.records {
		if _, ok := next[key]; !ok {
			delete(s.records, key)
		}
	}
}

// since returns the records that changed after a version, the oldest change first, in at most maxBytes, and the version
// that whoever takes them in has then. A peer that was told nothing yet gets all of them, another only those that few were
// told of.
func (s *set) since(version uint64, maxBytes int) (records [][]byte, upTo uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var changed []*record
	for _, r := range s.records {
		if r.version > version && (version == 0 || r.tellings < maxTellings) {
			changed = append(changed, r)
		}
	}
	slices.SortFunc(changed, func(a, b *record) int { return cmp.Compare(a.version, b.version) })
	size := 0
	upTo = version
	for _, r := range changed {
		size += len(r.data)
		if size > maxBytes {
			return records, upTo
		}
		if version > 0 {
			r.tellings++
		}
		records = append(records, r.data)
		upTo = r.version
	}
	return records, max(upTo, s.version)
}
