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

// LegacySegmentPrefix is the key prefix of the segments that nodes of older releases write and that are not folded yet.
const LegacySegmentPrefix = "bill/segment/"

// ShardPrefix is the key prefix of segments that are not folded yet; the shard and the incarnation follow it.
const ShardPrefix = "bill/shard/"

// CursorPrefix is the key prefix of cursors.
const CursorPrefix = "bill/cursor/"

const (
	// flushTimeout bounds the calls for one segment.
	flushTimeout = 5 * time.Second
)

// Store is the part of the key-value service that billing uses.
type Store interface {
	Get(ctx context.Context, key string) (kv.Pair, error)
	Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error)
}

// cursor is the position after the last written batch of an incarnation. Each segment is written in one transaction
// with the cursor, on the condition that the cursor has not changed. So each batch is in exactly one segment,
// regardless of which node writes it and of lost responses.
type cursor struct {
	incarnation api.Incarnation
	// version is the version of the cursor's key.
	version kv.Version
	// isLoaded means that version and next are the result of the last read or write.
	isLoaded bool
	next     uint64
}

func (c *cursor) key() string { return CursorPrefix + string(c.incarnation) }

// read loads the cursor from the key-value service.
func (c *cursor) read(ctx context.Context, store Store) error {
	pair, err := store.Get(ctx, c.key())
	if err != nil {
		return Error.Wrap(err)
	}
	var value billingpb.Cursor
	if err := proto.Unmarshal(pair.Value, &value); err != nil {
		return Error.Wrap(err)
	}
	c.version, c.next, c.isLoaded = pair.Version, max(1, value.Next), true
	return nil
}

// write writes a segment that begins at the cursor and advances the cursor past it. After a failure the cursor must be
// read again, which shows whether the segment was written.
func (c *cursor) write(ctx context.Context, store Store, segment *billingpb.Segment) error {
	segmentValue, err := EncodeSegment(segment)
	if err != nil {
		return Error.Wrap(err)
	}
	cursorValue, err := proto.Marshal(&billingpb.Cursor{Next: segment.Last + 1, WrittenAt: time.Now().Unix()})
	if err != nil {
		return Error.Wrap(err)
	}
	c.isLoaded = false
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
	c.version, c.next, c.isLoaded = result.Revision, segment.Last+1, true
	return nil
}

// segmentKey returns the key of a segment; the keys of an incarnation sort by batch number.
func segmentKey(incarnation api.Incarnation, first uint64) string {
	return fmt.Sprintf("%s%s/%020d", ShardOf(incarnation).Prefix(), incarnation, first)
}

// flush writes the oldest batches of a backlog. lost is the number of unwritten batches dropped because the cursor had
// advanced into their run. The error is nil if the backlog is empty, or if one segment was written or turned out to
// have been written before.
func flush(
	ctx context.Context, store Store, c *cursor, nextSegment func() *billingpb.Segment, trim func(next uint64) uint64,
) (lost uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	if !c.isLoaded {
		if err := c.read(ctx, store); err != nil {
			return 0, err
		}
	}
	lost = trim(c.next)
	segment := nextSegment()
	if segment == nil {
		return lost, nil
	}
	if err := c.write(ctx, store, segment); err != nil {
		return lost, err
	}
	return lost + trim(c.next), nil
}
