// Package platformfake fakes the users' platform in tests: its store, and backend servers that answer streams and calls.
package platformfake

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Item is a key of the store with its value, or an event of a watch, in the wire format.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Store is a fake of the platform's key-value store. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]Item
	history  []Item
	// compacted is the revision up to which the history has been dropped.
	compacted int64
	leases    map[int64]*lease
	nextLease int64
	// changed is closed and replaced at each change, to wake watches.
	changed chan struct{}
	isDown  bool
	// rejected holds the IP addresses whose calls are rejected.
	rejected map[string]bool
	calls    int
	// era counts the calls of Restore.
	era int
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: make(map[string]Item), leases: make(map[int64]*lease), changed: make(chan struct{})}
}

// Put writes a key, as operators and backend servers do.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(Item{Key: key, Value: value})
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Get returns the item of a key; its Revision is 0 if the key doesn't exist.
func (s *Store) Get(key string) Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key]
}

// SetDown makes the store reject every call with a 503, or answer again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = down
	s.notifyWatchers()
}

// Reject makes the store reject every call from some IP addresses with a 503, and no others; watches of these end.
func (s *Store) Reject(ips ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejected = make(map[string]bool)
	for _, ip := range ips {
		s.rejected[ip] = true
	}
	s.notifyWatchers()
}

// isRejected reports whether the store rejects a call.
func (s *Store) isRejected(req *http.Request) bool {
	ip, _, _ := net.SplitHostPort(req.RemoteAddr)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isDown || s.rejected[ip]
}

// Compact drops the history; watches from an older revision get a 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
	s.notifyWatchers()
}

// Snapshot returns a function that restores the store to its state of now each time it is called, as a drill does: revisions are given out
// again, leases are gone with their keys, and the era rises.
func (s *Store) Snapshot() (restore func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items, revision, history := maps.Clone(s.items), s.revision, slices.Clone(s.history)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for id, held := range s.leases {
			held.timer.Stop()
			delete(s.leases, id)
		}
		maps.DeleteFunc(items, func(_ string, i Item) bool { return i.Lease != 0 })
		s.items, s.revision, s.history = maps.Clone(items), revision, slices.Clone(history)
		s.era++
		s.notifyWatchers()
	}
}

// Calls returns the number of calls since its last call.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.calls
	s.calls = 0
	return n
}

// write stores an item with the next revision; s.mu must be held.
func (s *Store) write(i Item) {
	s.revision++
	i.Revision = s.revision
	s.items[i.Key] = i
	s.history = append(s.history, i)
	s.notifyWatchers()
}

// remove deletes a key; s.mu must be held.
func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, Item{Key: key, Revision: s.revision, Deleted: true})
	s.notifyWatchers()
}

// notifyWatchers wakes the waiting watches; s.mu must be held.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	s.mu.Lock()
	s.calls++
	era := s.era
	s.mu.Unlock()
	if era > 0 {
		w.Header().Set("Store-Era", strconv.Itoa(era))
	}
	if s.isRejected(req) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	path := strings.TrimPrefix(req.URL.Path, "/monsoonrail/")
	name, id, _ := strings.Cut(path, "/")
	switch name {
	case "kv-key":
		s.serveKey(w, req)
	case "kv-range":
		s.serveRange(w, req)
	case "kv-watch":
		s.serveWatch(w, req)
	case "kv-txn":
		s.serveTxn(w, req)
	case "kv-lease", "kv-keep", "kv-lease-end":
		s.serveLease(w, req, name, id)
	default:
		http.NotFound(w, req)
	}
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) serveKey(w http.ResponseWriter, req *http.Request) {
	found := s.Get(req.URL.Query().Get("key"))
	if found.Revision == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, http.StatusOK, found)
}

// pageSize is small so that tests cover reads of several pages.
const pageSize = 5

func (s *Store) serveRange(w http.ResponseWriter, req *http.Request) {
	prefix, after := req.URL.Query().Get("prefix"), req.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []Item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	hasMore := len(found) > pageSize
	respond(w, http.StatusOK, map[string]any{"items": found[:min(len(found), pageSize)], "hasMore": hasMore, "at": s.revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	era := s.currentEra()
	for {
		events, at, changed, status := s.eventsAfter(query.Get("prefix"), after)
		if s.currentEra() != era || s.isRejected(req) {
			// The store was away meanwhile.
			status = http.StatusServiceUnavailable
		}
		if status != http.StatusOK {
			w.WriteHeader(status)
			return
		}
		if len(events) > 0 {
			respond(w, status, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			respond(w, status, map[string]any{"events": events, "at": at})
			return
		case <-req.Context().Done():
			return
		}
	}
}

func (s *Store) currentEra() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// eventsAfter returns the events after a revision, the current revision, a channel that is closed at the next change, and the HTTP status.
func (s *Store) eventsAfter(prefix string, after int64) (events []Item, at int64, changed <-chan struct{}, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.isDown:
		return nil, 0, nil, http.StatusServiceUnavailable
	case after < s.compacted || after > s.revision:
		return nil, 0, nil, http.StatusGone
	}
	events = []Item{}
	for _, event := range s.history {
		if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
			events = append(events, event)
		}
	}
	return events, s.revision, s.changed, http.StatusOK
}

func (s *Store) serveTxn(w http.ResponseWriter, req *http.Request) {
	var txn struct {
		ExpectedRevision []Item   `json:"expectedRevision"`
		Puts             []Item   `json:"puts"`
		Remove           []string `json:"remove"`
	}
	if err := json.NewDecoder(req.Body).Decode(&txn); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conditionsHold, current := true, []Item{}
	for _, c := range txn.ExpectedRevision {
		i := s.items[c.Key]
		i.Key = c.Key
		conditionsHold = conditionsHold && i.Revision == c.Revision
		current = append(current, i)
	}
	if !conditionsHold {
		respond(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range txn.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range txn.Puts {
		s.write(Item{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range txn.Remove {
		s.remove(key)
	}
	respond(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *Store) serveLease(w http.ResponseWriter, req *http.Request, name, idText string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, _ := strconv.ParseInt(idText, 10, 64)
	if name == "kv-lease" {
		var asked struct {
			TTLMs int64 `json:"ttlMs"`
		}
		if err := json.NewDecoder(req.Body).Decode(&asked); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.nextLease++
		id = s.nextLease
		ttl := time.Duration(asked.TTLMs) * time.Millisecond
		s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.endLease(id) })}
	}
	held := s.leases[id]
	if held == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if name == "kv-lease-end" {
		held.timer.Stop()
		go s.endLease(id)
		respond(w, http.StatusOK, map[string]any{})
		return
	}
	held.timer.Reset(held.ttl)
	respond(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": held.ttl.Milliseconds()})
}

func (s *Store) endLease(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

// Close stops the timers of the leases.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, held := range s.leases {
		held.timer.Stop()
	}
}
