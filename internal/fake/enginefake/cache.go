package enginefake

import (
	"container/list"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/prefix"
)

// maxEvents bounds the cache events that are kept; older ones are dropped, which readers see as a gap.
const maxEvents = 4096

// cacheEvent is one change of the prefix cache.
type cacheEvent struct {
	Seq    int64
	Kind   string
	Prefix string
	at     time.Time
}

// cache holds the hashes of prompt prefixes in LRU order, the least recently used last; Engine.mu guards it.
type cache struct {
	max      int
	order    *list.List
	elements map[prefix.Hash]*list.Element
	events   []cacheEvent
	seq      int64
}

func newCache(size int) *cache {
	return &cache{max: size, order: list.New(), elements: make(map[prefix.Hash]*list.Element)}
}

// match returns how many of a prompt's leading blocks the cache holds.
func (c *cache) match(hashes []prefix.Hash) int {
	for i, hash := range hashes {
		if _, ok := c.elements[hash]; !ok {
			return i
		}
	}
	return len(hashes)
}

// store makes the prefixes the most recently used ones and evicts the least recently used ones beyond the cache's size.
func (c *cache) store(hashes []prefix.Hash, now time.Time) {
	for i := len(hashes) - 1; i >= 0; i-- {
		hash := hashes[i]
		if element, ok := c.elements[hash]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.elements[hash] = c.order.PushFront(hash)
		c.recordEvent("Stored", hash, now)
	}
	for c.order.Len() > c.max {
		last := c.order.Back()
		hash, _ := c.order.Remove(last).(prefix.Hash)
		delete(c.elements, hash)
		c.recordEvent("Evicted", hash, now)
	}
}

func (c *cache) recordEvent(kind string, hash prefix.Hash, now time.Time) {
	c.seq++
	c.events = append(c.events, cacheEvent{Seq: c.seq, Kind: kind, Prefix: hash.String(), at: now})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents/2:]
	}
}

// cacheEvents is the response body of GET /v1/cache/events.
type cacheEvents struct {
	Events []cacheEvent
	// Next is the sequence number to pass as the parameter after of the next call.
	Next int64
}

// serveCacheEvents returns the events that are at least EventLag old, except for a random fraction EventGaps of them.
func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	answer := cacheEvents{Events: []cacheEvent{}, Next: after}
	until := time.Now().Add(-e.opts.EventLag)
	for _, event := range e.cache.events {
		if event.Seq <= after || event.at.After(until) {
			continue
		}
		answer.Next = event.Seq
		if !e.chance(e.opts.EventGaps) {
			answer.Events = append(answer.Events, event)
		}
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, answer)
}

// kvCache is the exported KV cache of a prefix: the hashes of all its blocks.
type kvCache struct {
	Prefixes []string
}

// serveExport returns the leading requested prefixes that the cache holds.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	hashes, ok := readKVCache(r)
	if !ok {
		(&rejection{status: http.StatusBadRequest, message: "bad prefixes"}).write(w)
		return
	}
	e.mu.Lock()
	cached := hashes[:e.cache.match(hashes)]
	e.mu.Unlock()
	answer := kvCache{Prefixes: []string{}}
	for _, hash := range cached {
		answer.Prefixes = append(answer.Prefixes, hash.String())
	}
	writeJSON(w, http.StatusOK, answer)
}

// serveImport stores the prefixes that another engine exported.
func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	hashes, ok := readKVCache(r)
	if !ok {
		(&rejection{status: http.StatusBadRequest, message: "bad prefixes"}).write(w)
		return
	}
	e.mu.Lock()
	e.cache.store(hashes, time.Now())
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func readKVCache(r *http.Request) ([]prefix.Hash, bool) {
	var body kvCache
	if json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&body) != nil {
		return nil, false
	}
	var hashes []prefix.Hash
	for _, text := range body.Prefixes {
		hash, ok := prefix.Parse(text)
		if !ok {
			return nil, false
		}
		hashes = append(hashes, hash)
	}
	return hashes, true
}
