package billing

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/monsoonrail/monsoonrail/internal/billing/billingpb"
	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// LegacySegmentPrefix begins the keys of segments that nodes of older releases write, which are not folded yet.
const LegacySegmentPrefix = "bill/segment/"

// ShardPrefix begins the keys of segments that are not folded yet, a shard and then an incarnation after the other.
const ShardPrefix = "bill/shard/"

// CursorPrefix begins the keys of cursors.
const CursorPrefix = "bill/cursor/"

const (
	// flushTimeout bounds the calls for one segment.
	flushTimeout = 5 * time.Second
)

// Store is the part of the key-value service that writing bills needs.
type Store interface {
	Get(ctx context.Context, key string) (kv.Pair, error)
	Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error)
}

// cursor is where the written batches of an incarnation end. Every segment is written in one transaction with the
// cursor and on the condition that the cursor did not move, so that each batch is in one segment, whoever writes
// it and whichever answers are lost.
type cursor struct {
	incarnation api.Incarnation
	// version is that of the cursor's key.
	version kv.Version
	// known tells that version and next were read or written.
	known bool
	next  uint64
}

func (c *cursor) key() string { return CursorPrefix + string(c.incarnation) }

// read learns the cursor from the service.
func (c *cursor) read(ctx context.Context, store Store) error {
	pair, err := store.Get(ctx, c.key())
	if err != nil {
		return Error.Wrap(err)
	}
	var value billingpb.Cursor
	if err := proto.Unmarshal(pair.Value, &value); err != nil {
		return Error.Wrap(err)
	}
	c.version, c.next, c.known = pair.Version, max(1, value.Next), true
	return nil
}

// write writes a segment that begins at the cursor, and moves the cursor past it. After any failure the cursor has to be
// read again, which tells whether the segment was written.
func (c *cursor) write(ctx context.Context, store Store, segment *billingpb.Segment) error {
	segmentValue, err := EncodeSegment(segment)
	if err != nil {
		return Error.Wrap(err)
	}
	cursorValue, err := proto.Marshal(&billingpb.Cursor{Next: segment.Last + 1, WrittenAt: time.Now().Unix()})
	if err != nil {
		return Error.Wrap(err)
	}
	c.known = false
	result, err := store.Commit(ctx, kv.Txn{
		If: []kv.Compare{{Key: c.key(), Version: c.version}},
		Then: []kv.Op{
			{Kind: kv.OpPut, Key: segmentKey(c.incarnation, segment.First), Value: segmentValue},
			{Kind: kv.OpPut, Key: c.key(), Value: cursorValue},
		},
	})
	if err != nil {
		return Error.Wrap(err)
	}
	if !result.Succeeded {
		return c.read(ctx, store)
	}
	c.version, c.next, c.known = result.Revision, segment.Last+1, true
	return nil
}

// segmentKey orders the segments of an incarnation.
func segmentKey(incarnation api.Incarnation, first uint64) string {
	return fmt.Sprintf("%s%s/%020d", ShardOf(incarnation).Prefix(), incarnation, first)
}

// flush writes the oldest batches of a backlog and tells how many were lost by a cursor that had moved into a piece.
// It returns without error if nothing is left or if one segment was written or found written.
func flush(ctx context.Context, store Store, c *cursor, take func() *billingpb.Segment, trim func(next uint64) uint64) (lost uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	if !c.known {
		if err := c.read(ctx, store); err != nil {
			return 0, err
		}
	}
	lost = trim(c.next)
	segment := take()
	if segment == nil {
		return lost, nil
	}
	if err := c.write(ctx, store, segment); err != nil {
		return lost, err
	}
	return lost + trim(c.next), nil
}
