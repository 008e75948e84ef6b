package answer

import (
	"cmp"
	"container/heap"
	"sync"
	"sync/atomic"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// bytesPerChunkEnd is what the end of one chunk costs.
const bytesPerChunkEnd = 4

// Fingerprint is a hash of a request's method, path and body.
type Fingerprint [32]byte

// StoreOptions bounds a store.
type StoreOptions struct {
	// MaxAnswers bounds running and finished answers together.
	MaxAnswers int
	// MaxBytes bounds the text of all answers: finished ones are dropped, and no answer is opened while those that run
	// hold as much.
	MaxBytes int
	// MaxAnswerBytes bounds one answer's text.
	MaxAnswerBytes int
	// Retention is how long a finished answer stays that names no time of its own.
	Retention time.Duration
}

// Store holds a node's answers by request id and by idempotency key.
type Store struct {
	opts StoreOptions

	mu sync.Mutex
	// byID holds every answer.
	byID map[api.RequestID]*entry
	// byKey holds the answers whose caller named a key.
	byKey map[teamKey]*entry
	// finished holds the finished answers, the first to be dropped on top.
	finished expiry
	// bytes is the text held, over all answers. Each chunk adds to it, and the mutex is taken only if it is over its bound.
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
	// retention is how long the answer stays once it is finished.
	retention time.Duration
	// expiresAt is when it may be dropped, and place its index in the store's finished ones, from 1 on; 0 while it runs.
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

// OpenOptions names the request whose answer is opened.
type OpenOptions struct {
	ID   api.RequestID
	Team api.Team
	Kind Kind
	// Key is empty if the caller named none.
	Key         api.IdempotencyKey
	Fingerprint Fingerprint
	// Retention is how long the finished answer stays; 0 leaves it to the store.
	Retention time.Duration
}

// Open returns a new answer; a key must not be known. It returns an error of class Error if the store is full.
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

// FindKey returns the answer of a team's key, if the store holds it. It returns an error of class Error if the key
// came with another request.
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

// Find returns a team's answer; another team's answer is not found.
func (s *Store) Find(team api.Team, id api.RequestID) (*Answer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ent, ok := s.byID[id]
	if !ok || ent.answer.Team != team {
		return nil, false
	}
	return ent.answer, true
}

// Stats counts what a store holds.
type Stats struct {
	Answers int
	Running int
	Bytes   int
}

// Stats returns what the store holds.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{Answers: len(s.byID), Running: len(s.byID) - len(s.finished), Bytes: s.heldBytes()}
}

// Expire drops the finished answers whose time is over.
func (s *Store) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.finished) > 0 && !s.finished[0].expiresAt.After(now) {
		s.drop(s.finished[0])
	}
}

// finish moves an answer to those that may be dropped.
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

// heldBytes returns the bytes of text heldBytes.
func (s *Store) heldBytes() int { return int(s.bytes.Load()) }

func (s *Store) trimBytes() {
	for s.heldBytes() > s.opts.MaxBytes && len(s.finished) > 0 {
		s.drop(s.finished[0])
	}
}

// makeRoom drops finished answers, those whose time ends first, while the store is full.
func (s *Store) makeRoom() bool {
	for len(s.byID) >= s.opts.MaxAnswers || s.heldBytes() >= s.opts.MaxBytes {
		if len(s.finished) == 0 {
			return false
		}
		s.drop(s.finished[0])
	}
	return true
}

// drop forgets a finished answer; s.mu is held.
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

// Forget removes an answer whose request never began, so that its key may be used again.
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

// Draft returns an answer that nobody can attach to but its writer; Discard must be called.
func (s *Store) Draft(id api.RequestID) *Answer {
	return &Answer{ID: id, Kind: KindChat, store: s, lastRead: time.Now()}
}

// Discard gives back what a draft held.
func (s *Store) Discard(draft *Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bytes.Add(-int64(draft.dropText()))
}
