package answer

import (
	"cmp"
	"container/heap"
	"sync"
	"sync/atomic"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// bytesPerChunkEnd is the size of the end offset of one chunk.
const bytesPerChunkEnd = 4

// Fingerprint is a hash of a request's method, path and body.
type Fingerprint [32]byte

// StoreOptions configures a store.
type StoreOptions struct {
	// MaxAnswers bounds the number of running and finished answers together.
	MaxAnswers int
	// MaxBytes bounds the text of all answers. Finished answers are dropped above it, and no answer is opened while the running
	// ones reach it.
	MaxBytes int
	// MaxAnswerBytes bounds the text of one answer.
	MaxAnswerBytes int
	// Retention is how long a finished answer is kept unless OpenOptions.Retention is set.
	Retention time.Duration
}

// Store holds a node's answers by request id and by idempotency key.
type Store struct {
	opts StoreOptions

	mu sync.Mutex
	// byID holds every answer.
	byID map[api.RequestID]*entry
	// byKey holds the answers whose caller sent a key.
	byKey map[teamKey]*entry
	// finished holds the finished answers with the first to expire on top.
	finished expiry
	// bytes is the size of the text of all answers. Each chunk adds to it; the mutex is taken only if it exceeds its limit.
	bytes atomic.Int64
}

type teamKey struct {
	team api.Team
	key  api.IdempotencyKey
}

type entry struct {
	answer      *Answer
	key         teamKey
	fingerprint Fingerprint
	// retention is how long the answer is kept once it is finished.
	retention time.Duration
	// expiresAt is when the answer may be dropped. heapIndex is its index in Store.finished plus 1; 0 while the request runs.
	expiresAt time.Time
	heapIndex int
}

// NewStore returns an empty store.
func NewStore(opts StoreOptions) *Store {
	return &Store{
		opts:  opts,
		byID:  make(map[api.RequestID]*entry),
		byKey: make(map[teamKey]*entry),
	}
}

// OpenOptions describes the request whose answer is opened.
type OpenOptions struct {
	ID   api.RequestID
	Team api.Team
	Kind Kind
	// Key is the idempotency key; empty if the caller sent none.
	Key         api.IdempotencyKey
	Fingerprint Fingerprint
	// Retention is how long the finished answer is kept; 0 means StoreOptions.Retention.
	Retention time.Duration
}

// Open returns a new answer; its key must not be in the store. It returns an error of class Error if the store is full.
func (s *Store) Open(opts OpenOptions) (*Answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.makeRoom() {
		return nil, Error.Wrap(&ErrFull{Running: len(s.byID), Bytes: s.heldBytes()})
	}
	a := &Answer{ID: opts.ID, Team: opts.Team, Kind: opts.Kind, store: s, lastRead: time.Now()}
	ent := &entry{
		answer: a, key: teamKey{team: opts.Team, key: opts.Key}, fingerprint: opts.Fingerprint,
		retention: cmp.Or(opts.Retention, s.opts.Retention),
	}
	s.byID[opts.ID] = ent
	if opts.Key != "" {
		s.byKey[ent.key] = ent
	}
	return a, nil
}

// FindKey returns the answer of a team's key, if the store holds it. It returns an error of class Error if the key was used for
// a different request.
func (s *Store) FindKey(team api.Team, key api.IdempotencyKey, f Fingerprint) (*Answer, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.byKey[teamKey{team: team, key: key}]
	if !ok {
		return nil, false, nil
	}
	if known.fingerprint != f {
		return nil, false, Error.Wrap(&ErrKeyReused{Key: key})
	}
	return known.answer, true, nil
}

// Find returns a team's answer; answers of other teams are not found.
func (s *Store) Find(team api.Team, id api.RequestID) (*Answer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ent, ok := s.byID[id]
	if !ok || ent.answer.Team != team {
		return nil, false
	}
	return ent.answer, true
}

// Stats counts the contents of a store.
type Stats struct {
	Answers int
	Running int
	Bytes   int
}

// Stats returns the current counts.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{Answers: len(s.byID), Running: len(s.byID) - len(s.finished), Bytes: s.heldBytes()}
}

// Expire drops the finished answers whose retention is over.
func (s *Store) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.finished) > 0 && !s.finished[0].expiresAt.After(now) {
		s.drop(s.finished[0])
	}
}

// finish adds an answer to those that may be dropped.
func (s *Store) finish(a *Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ent, ok := s.byID[a.ID]
	if !ok || ent.heapIndex != 0 {
		return
	}
	ent.expiresAt = a.doneAt.Add(ent.retention)
	heap.Push(&s.finished, ent)
	s.trimBytes()
}

func (s *Store) addBytes(bytes int) {
	if s.bytes.Add(int64(bytes)) <= int64(s.opts.MaxBytes) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trimBytes()
}

// heldBytes returns the size of the text of all answers.
func (s *Store) heldBytes() int { return int(s.bytes.Load()) }

func (s *Store) trimBytes() {
	for s.heldBytes() > s.opts.MaxBytes && len(s.finished) > 0 {
		s.drop(s.finished[0])
	}
}

// makeRoom drops finished answers, the first to expire first, while the store is full; it reports whether there is room.
func (s *Store) makeRoom() bool {
	for len(s.byID) >= s.opts.MaxAnswers || s.heldBytes() >= s.opts.MaxBytes {
		if len(s.finished) == 0 {
			return false
		}
		s.drop(s.finished[0])
	}
	return true
}

// drop removes a finished answer and its text; s.mu is held.
func (s *Store) drop(ent *entry) {
	heap.Remove(&s.finished, ent.heapIndex-1)
	s.bytes.Add(-int64(ent.answer.dropText()))
	s.remove(ent)
}

func (s *Store) remove(ent *entry) {
	delete(s.byID, ent.answer.ID)
	if ent.key.key != "" {
		delete(s.byKey, ent.key)
	}
}

// Forget removes an answer whose request never began or may run again, so that its key may be used again.
func (s *Store) Forget(a *Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ent, ok := s.byID[a.ID]
	if !ok {
		return
	}
	if ent.heapIndex != 0 {
		heap.Remove(&s.finished, ent.heapIndex-1)
	}
	s.bytes.Add(-int64(a.dropText()))
	s.remove(ent)
}

// Draft returns an answer that only its writer can access; Discard must be called.
func (s *Store) Draft(id api.RequestID) *Answer {
	return &Answer{ID: id, Kind: KindChat, store: s, lastRead: time.Now()}
}

// Discard releases the text of a draft.
func (s *Store) Discard(draft *Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bytes.Add(-int64(draft.dropText()))
}
