package billfold

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/monsoonrail/monsoonrail/internal/billing"
	"github.com/monsoonrail/monsoonrail/internal/billing/billingpb"
	"github.com/monsoonrail/monsoonrail/internal/kv"
)

const (
	// cursorRetention is how long the cursor of an incarnation is kept after its last segment. If an incarnation or a
	// peer still held bills after that, they could be written a second time; so it is far longer than any node holds
	// bills.
	cursorRetention = 30 * 24 * time.Hour
	// cursorInterval is the interval at which cursors are checked.
	cursorInterval = time.Minute
	// cursorPageSize bounds the cursors of one check.
	cursorPageSize = 64
)

// cursorSweep deletes the cursors of incarnations that ended long ago, checking one page of cursors at a time.
type cursorSweep struct {
	// nextKey is the key that the next page begins with; empty for the first page.
	nextKey string
	last    time.Time
}

// step deletes the expired cursors of the next page if cursorInterval has passed.
func (s *cursorSweep) step(ctx context.Context, store Store, now time.Time) error {
	if now.Sub(s.last) < cursorInterval {
		return nil
	}
	s.last = now
	ctx, cancel := context.WithTimeout(ctx, passTimeout)
	defer cancel()
	listed, err := store.List(ctx, kv.ListOptions{Prefix: billing.CursorPrefix, From: s.nextKey, Limit: cursorPageSize})
	if err != nil {
		return Error.Wrap(err)
	}
	s.nextKey = ""
	if listed.More {
		s.nextKey = listed.Pairs[len(listed.Pairs)-1].Key + "\x00"
	}
	var txn kv.Txn
	for _, pair := range listed.Pairs {
		if isExpired(pair, now) {
			txn.If = append(txn.If, kv.Compare{Key: pair.Key, Version: pair.Version})
			txn.Then = append(txn.Then, kv.Op{Kind: kv.OpDelete, Key: pair.Key})
		}
	}
	if len(txn.Then) == 0 {
		return nil
	}
	// If the transaction fails, the next sweep finds the same cursors again.
	_, err = store.Commit(ctx, txn)
	return Error.Wrap(err)
}

func isExpired(pair kv.Pair, now time.Time) bool {
	var cursor billingpb.Cursor
	if proto.Unmarshal(pair.Value, &cursor) != nil {
		return false
	}
	return now.Sub(time.Unix(cursor.WrittenAt, 0)) > cursorRetention
}
