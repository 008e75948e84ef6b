// Package share publishes state of a node as a topic of the peer exchange. The state is a set of records under keys, and a peer is
// sent the records that changed since the last exchange with it.
package share

import (
	"bytes"
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// maxSends bounds the number of peers to which a node sends one state of a record. Each peer forwards it to as many others, so
	// that it reaches the whole failure domain. Without the bound a node got each record from nearly all others.
	maxSends = 4
	// resendInterval is the time after which an unchanged record is sent to maxSends peers again, for nodes that none of the earlier
	// payloads reached, as after a network partition.
	resendInterval = 5 * time.Minute
)

// recordSet holds encoded records with the version of their last change. It is safe for concurrent use.
type recordSet struct {
	mu sync.Mutex
	// version is the version of the last change of any record. It grows by one with each change.
	version uint64
	records map[string]*record
}

type record struct {
	version uint64
	data    []byte
	// updatedAt is the time of the last change or the last start of a resend. sends counts the payloads with the record since
	// then, without those to peers that had no records before.
	updatedAt time.Time
	sends     int
}

func newRecordSet() *recordSet { return &recordSet{records: make(map[string]*record)} }

// replace replaces all records of the set by those in next. Unchanged records keep their versions until resendInterval.
func (s *recordSet) replace(next map[string][]byte, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, data := range next {
		existing, ok := s.records[key]
		if !ok || !bytes.Equal(existing.data, data) {
			s.version++
			s.records[key] = &record{version: s.version, data: data, updatedAt: now}
			continue
		}
		if now.Sub(existing.updatedAt) >= resendInterval {
			s.version++
			existing.version, existing.updatedAt, existing.sends = s.version, now, 0
		}
	}
	for key := range s.records {
		if _, ok := next[key]; !ok {
			delete(s.records, key)
		}
	}
}

// since returns the records that changed after a version, the oldest change first and at most maxBytes in all, and the version
// of a peer that has merged them. With version 0, for a peer without any records, it returns all records, otherwise only those that
// were sent fewer than maxSends times.
func (s *recordSet) since(version uint64, maxBytes int) (records [][]byte, upTo uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var changed []*record
	for _, r := range s.records {
		if r.version > version && (version == 0 || r.sends < maxSends) {
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
			r.sends++
		}
		records = append(records, r.data)
		upTo = r.version
	}
	return records, max(upTo, s.version)
}
