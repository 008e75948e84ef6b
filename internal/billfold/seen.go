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
	// firstSeenPrefix begins the keys of chunks that the first scope's folders of older releases remembered.
	firstSeenPrefix = "bill/seen/"
	// seenPage bounds the chunks of one read.
	seenPage = 64
	// maxDropped bounds the chunks that one transaction drops.
	maxDropped = 16
	// idBytes is the size of a keyed request's id.
	idBytes = 12
)

// id is that of a keyed request.
type id [idBytes]byte

func idOf(b []byte) id {
	var i id
	copy(i[:], b)
	return i
}

// chunk is the ids that one transaction added.
type chunk struct {
	key string
	at  time.Time
	ids []id
}

func newChunk(prefix string, now time.Time, ids []id) chunk {
	return chunk{key: prefix + chunkTime(now) + "-" + uuid.NewString(), at: now, ids: ids}
}

// chunkTime orders the keys of chunks.
func chunkTime(at time.Time) string { return fmt.Sprintf("%012d", at.Unix()) }

// ops returns the write of a chunk, none if it is empty.
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
	// A key that has no time is as old as can be, and is dropped first.
	text, _, _ := strings.Cut(strings.TrimPrefix(pair.Key, prefix), "-")
	seconds, _ := strconv.ParseInt(text, 10, 64)
	c.at = time.Unix(seconds, 0)
	for value := pair.Value; len(value) >= idBytes; value = value[idBytes:] {
		c.ids = append(c.ids, idOf(value[:idBytes]))
	}
	return c
}

// seen remembers the keyed requests billed within a window. The key-value service keeps it in chunks, oldest first.
type seen struct {
	// prefix begins the keys of the chunks.
	prefix string
	window time.Duration
	max    int
	chunks []chunk
	ids    map[id]struct{}
	// first holds the ids that the first scope remembered.
	first map[id]struct{}
}

func newSeen(prefix string, window time.Duration, max int) seen {
	return seen{prefix: prefix, window: window, max: max, ids: make(map[id]struct{}), first: make(map[id]struct{})}
}

func (s *seen) has(i id) bool {
	_, isOwn := s.ids[i]
	_, isFirst := s.first[i]
	return isOwn || isFirst
}

// load reads all chunks, and those of the first scope that are within the window.
func (s *seen) load(ctx context.Context, store Store, now time.Time) error {
	fresh := newSeen(s.prefix, s.window, s.max)
	if err := eachChunk(ctx, store, s.prefix, "", fresh.add); err != nil {
		return err
	}
	from := firstSeenPrefix + chunkTime(now.Add(-s.window))
	err := eachChunk(ctx, store, firstSeenPrefix, from, func(c chunk) {
		for _, i := range c.ids {
			fresh.first[i] = struct{}{}
		}
	})
	if err != nil {
		return err
	}
	*s = fresh
	return nil
}

// eachChunk reads the chunks under a prefix from a key on.
func eachChunk(ctx context.Context, store Store, prefix, from string, take func(chunk)) error {
	opts := kv.ListOptions{Prefix: prefix, From: from, Limit: seenPage}
	for {
		listed, err := store.List(ctx, opts)
		if err != nil {
			return err
		}
		for _, pair := range listed.Pairs {
			take(readChunk(prefix, pair))
		}
		if !listed.More {
			return nil
		}
		opts.From = listed.Pairs[len(listed.Pairs)-1].Key + "\x00"
	}
}

func (s *seen) add(c chunk) {
	if len(c.ids) == 0 {
		return
	}
	s.chunks = append(s.chunks, c)
	for _, i := range c.ids {
		s.ids[i] = struct{}{}
	}
}

// expired returns the oldest chunks that are out of the window, or too many once some ids are added.
func (s *seen) expired(now time.Time, added int) []chunk {
	total := len(s.ids) + added
	for n, c := range s.chunks {
		if n == maxDropped || now.Sub(c.at) <= s.window && total <= s.max {
			return s.chunks[:n]
		}
		total -= len(c.ids)
	}
	return s.chunks[:min(len(s.chunks), maxDropped)]
}

// commit takes over what a transaction did: it added one chunk and dropped the oldest ones.
func (s *seen) commit(added chunk, dropped []chunk) {
	for _, c := range dropped {
		for _, i := range c.ids {
			delete(s.ids, i)
		}
	}
	s.chunks = s.chunks[len(dropped):]
	s.add(added)
}
