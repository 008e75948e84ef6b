package configlog

import (
	"context"
	"encoding/json"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// chunkBytes bounds one value of a snapshot.
	chunkBytes = 512 << 10
	// maxOps bounds the number of operations in one transaction.
	maxOps = 100
)

// ErrHeadMoved means that another writer changed the head since it was read; nothing took effect.
type ErrHeadMoved struct{ Head Head }

// Error implements error.
func (e *ErrHeadMoved) Error() string { return "the head of the configuration log has moved" }

// moveHead runs ops and replaces the head from by to, if from is still the head; otherwise it returns ErrHeadMoved.
func (l *Log) moveHead(ctx context.Context, from, to Head, ops []kv.Op) (Head, error) {
	value, err := json.Marshal(to)
	if err != nil {
		return Head{}, Error.Wrap(err)
	}
	result, err := l.store.Commit(ctx, kv.Txn{
		If:   []kv.Compare{{Key: l.headKey(), Version: from.version}},
		Then: append(ops, kv.Op{Kind: kv.OpPut, Key: l.headKey(), Value: value}),
	})
	if err != nil {
		return Head{}, Error.Wrap(err)
	}
	if !result.Succeeded {
		return Head{}, Error.Wrap(&ErrHeadMoved{Head: from})
	}
	to.version = result.Revision
	return to, nil
}

// Append writes deltas that follow the head, if head is still the one in the service; otherwise it returns ErrHeadMoved.
// After an error for which kv.IsErrUnknownOutcome is true, the deltas may have been written.
func (l *Log) Append(ctx context.Context, head Head, deltas ...fleet.Delta) (Head, error) {
	ops := make([]kv.Op, 0, len(deltas)+1)
	for _, delta := range deltas {
		value := delta.Encode()
		if len(value) > MaxDeltaBytes {
			return Head{}, Error.Wrap(&kv.ErrTooLarge{Bytes: len(value)})
		}
		ops = append(ops, kv.Op{Kind: kv.OpPut, Key: l.deltaKey(delta.Revision), Value: value})
	}
	last := deltas[len(deltas)-1]
	next := head
	next.Revision = last.Revision
	next.ChangeID = last.ID
	return l.moveHead(ctx, head, next, ops)
}

// WriteSnapshot writes a snapshot of a state, then updates the head to refer to it and deletes all but the newest
// keepDeltas deltas. If the head is older than the state, it is set to the state's revision. Chunks left over from a
// failed call are harmless.
func (l *Log) WriteSnapshot(ctx context.Context, head Head, state *fleet.State, keepDeltas int) (Head, error) {
	chunks := fleet.SplitChunks(state.Encode(), chunkBytes)
	for i, chunk := range chunks {
		put := kv.Op{Kind: kv.OpPut, Key: l.chunkKey(state.Revision(), i), Value: chunk}
		if _, err := l.store.Commit(ctx, kv.Txn{Then: []kv.Op{put}}); err != nil {
			return Head{}, Error.Wrap(err)
		}
	}
	next := head
	next.Snapshot = state.Revision()
	next.Chunks = len(chunks)
	next.Oldest = max(next.Oldest, state.Revision()-api.Revision(keepDeltas)+1)
	if head.Revision < state.Revision() {
		next.Revision = state.Revision()
		next.ChangeID = state.ChangeID
		next.Oldest = state.Revision() + 1
	}
	next, err := l.moveHead(ctx, head, next, nil)
	if err != nil {
		return Head{}, err
	}
	return next, l.trim(ctx, head, next)
}

// trim deletes the deltas and the snapshot that the new head no longer refers to.
func (l *Log) trim(ctx context.Context, old, head Head) error {
	for {
		list, err := l.store.List(ctx, kv.ListOptions{Prefix: l.deltaPrefix(), Limit: maxOps})
		if err != nil {
			return Error.Wrap(err)
		}
		var keys []string
		for _, pair := range list.Pairs {
			if pair.Key < l.deltaKey(head.Oldest) {
				keys = append(keys, pair.Key)
			}
		}
		if err := l.delete(ctx, keys); err != nil {
			return err
		}
		if len(keys) < maxOps {
			break
		}
	}
	var chunks []string
	for chunk := 0; chunk < old.Chunks && old.Snapshot != head.Snapshot; chunk++ {
		chunks = append(chunks, l.chunkKey(old.Snapshot, chunk))
	}
	return l.delete(ctx, chunks)
}

// delete deletes up to maxOps keys.
func (l *Log) delete(ctx context.Context, keys []string) error {
	if len(keys) == 0 {
		return nil
	}
	ops := make([]kv.Op, len(keys))
	for i, key := range keys {
		ops[i] = kv.Op{Kind: kv.OpDelete, Key: key}
	}
	_, err := l.store.Commit(ctx, kv.Txn{Then: ops})
	return Error.Wrap(err)
}
