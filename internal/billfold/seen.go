package billfold

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/monsoonrail/monsoonrail/internal/kv"
)

const (
	// legacyDedupPrefix is the key prefix of the chunks that older releases write for the legacy scope.
	legacyDedupPrefix = "bill/seen/"
	// dedupPageSize bounds the chunks of one read.
	dedupPageSize = 64
	// maxDropped bounds the chunks that one transaction deletes.
	maxDropped = 16
	// idBytes is the size of the id of a keyed request.
	idBytes = 12
)

// id is the id of a keyed request.
type id [idBytes]byte

func idOf(b []byte) id {
	var i id
	copy(i[:], b)
	return i
}

// chunk is the set of ids that one transaction added.
type chunk struct {
	key string
	at  time.Time
	ids []id
}

func newChunk(prefix string, now time.Time, ids []id) chunk {
	return chunk{key: prefix + chunkTime(now) + "-" + uuid.NewString(), at: now, ids: ids}
}

// chunkTime returns the time as it is in the keys of chunks, which sort by it.
func chunkTime(at time.Time) string { return fmt.Sprintf("%012d", at.Unix()) }

// ops returns the operation that writes the chunk, or none if the chunk is empty.
func (c chunk) ops() []kv.Op {
	if len(c.ids) == 0 {
		return nil
	}
	value := make([]byte, 0, len(c.ids)*idBytes)
	for _, i := range c.ids {
		value = append(value, i[:]...)
	}
	return []kv.Op{{Kind: kv.OpPut, Key: c.key, Value: value}}
}

func readChunk(prefix string, pair kv.Pair) chunk {
	c := chunk{key: pair.Key}
	// A key without a valid time counts as the oldest and is dropped first.
	text, _, _ := strings.Cut(strings.TrimPrefix(pair.Key, prefix), "-")
	seconds, _ := strconv.ParseInt(text, 10, 64)
	c.at = time.Unix(seconds, 0)
	for value := pair.Value; len(value) >= idBytes; value = value[idBytes:] {
		c.ids = append(c.ids, idOf(value[:idBytes]))
	}
	return c
}

// dedupSet is the set of the keyed requests billed within a window. The key-value service has it in chunks, oldest
// first.
type dedupSet struct {
	// prefix is the key prefix of the chunks.
	prefix string
	window time.Duration
	max    int
	chunks []chunk
	ids    map[id]struct{}
	// legacyIDs are the ids recorded by the legacy scope.
	legacyIDs map[id]struct{}
}

func newDedupSet(prefix string, window time.Duration, max int) dedupSet {
	return dedupSet{prefix: prefix, window: window, max: max, ids: make(map[id]struct{}), legacyIDs: make(map[id]struct{})}
}

func (s *dedupSet) has(i id) bool {
	_, isOwn := s.ids[i]
	_, isLegacy := s.legacyIDs[i]
	return isOwn || isLegacy
}

// load reads all chunks, and those chunks of the legacy scope that are within the window.
func (s *dedupSet) load(ctx context.Context, store Store, now time.Time) error {
	loaded := newDedupSet(s.prefix, s.window, s.max)
	if err := eachChunk(ctx, store, s.prefix, "", loaded.add); err != nil {
		return err
	}
	from := legacyDedupPrefix + chunkTime(now.Add(-s.window))
	err := eachChunk(ctx, store, legacyDedupPrefix, from, func(c chunk) {
		for _, i := range c.ids {
			loaded.legacyIDs[i] = struct{}{}
		}
	})
	if err != nil {
		return err
	}
	*s = loaded
	return nil
}

// eachChunk calls visit with each chunk under a prefix, beginning at the key from.
func eachChunk(ctx context.Context, store Store, prefix, from string, visit func(chunk)) error {
	opts := kv.ListOptions{Prefix: prefix, From: from, Limit: dedupPageSize}
	for {
		listed, err := store.List(ctx, opts)
		if err != nil {
			return err
		}
		for _, pair := range listed.Pairs {
			visit(readChunk(prefix, pair))
		}
		if !listed.More {
			return nil
		}
		opts.From = listed.Pairs[len(listed.Pairs)-1].Key + "\x00"
	}
}

func (s *dedupSet) add(c chunk) {
	if len(c.ids) == 0 {
		return
	}
	s.chunks = append(s.chunks, c)
	for _, i := range c.ids {
		s.ids[i] = struct{}{}
	}
}

// expired returns the oldest chunks that are outside the window or exceed the maximum size once added further ids are
// in the set.
func (s *dedupSet) expired(now time.Time, added int) []chunk {
	total := len(s.ids) + added
	for n, c := range s.chunks {
		if n == maxDropped || now.Sub(c.at) <= s.window && total <= s.max {
			return s.chunks[:n]
		}
		total -= len(c.ids)
	}
	return s.chunks[:min(len(s.chunks), maxDropped)]
}

// commit applies a successful transaction, which added one chunk and dropped the oldest ones.
func (s *dedupSet) commit(added chunk, dropped []chunk) {
	for _, c := range dropped {
		for _, i := range c.ids {
			delete(s.ids, i)
		}
	}
	s.chunks = s.chunks[len(dropped):]
	s.add(added)
}
