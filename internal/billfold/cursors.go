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
	// cursorRetention is how long the cursor of an incarnation stays after its last segment. An incarnation or a peer
	// that still held bills of then could write them a second time, so that it is far longer than any does.
	cursorRetention = 30 * 24 * time.Hour
	// cursorInterval is the time between two looks at cursors.
	cursorInterval = time.Minute
	// cursorPage bounds the cursors of one look.
	cursorPage = 64
)

// sweep goes through the cursors, a page at a time, and deletes those of incarnations that ended long ago.
type sweep struct {
	// from is the key that the next page begins with; empty at the beginning.
	from string
	last time.Time
}

// step deletes the old cursors of the next page, if it is time.
func (s *sweep) step(ctx context.Context, store Store, now time.Time) error {
	if now.Sub(s.last) < cursorInterval {
		return nil
	}
	s.last = now
	ctx, cancel := context.WithTimeout(ctx, passTimeout)
	defer cancel()
	listed, err := store.List(ctx, kv.ListOptions{Prefix: billing.CursorPrefix, From: s.from, Limit: cursorPage})
	if err != nil {
		return Error.Wrap(err)
	}
	s.from = ""
	if listed.More {
		s.from = listed.Pairs[len(listed.Pairs)-1].Key + "\x00"
	}
	var txn kv.Txn
	for _, pair := range listed.Pairs {
		if isOld(pair, now) {
			txn.If = append(txn.If, kv.Compare{Key: pair.Key, Version: pair.Version})
			txn.Then = append(txn.Then, kv.Op{Kind: kv.OpDelete, Key: pair.Key})
		}
	}
	if len(txn.Then) == 0 {
		return nil
	}
	// What fails here is found again by the next sweep.
	_, err = store.Commit(ctx, txn)
	return Error.Wrap(err)
}

func isOld(pair kv.Pair, now time.Time) bool {
	var cursor billingpb.Cursor
	if proto.Unmarshal(pair.Value, &cursor) != nil {
		return false
	}
	return now.Sub(time.Unix(cursor.WrittenAt, 0)) > cursorRetention
}
