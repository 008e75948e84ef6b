// Package configlog stores the history of the fleet's configuration in the key-value service: a head that is updated by
// compare-and-swap, one key for each delta, and snapshots that allow old deltas to be deleted.
package configlog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// DefaultPrefix is the usual prefix of the log's keys.
	DefaultPrefix = "monsoonrail/config/"
	// MaxDeltaBytes bounds an encoded delta; the service accepts values of up to a megabyte.
	MaxDeltaBytes = 512 << 10
	// pageSize bounds the number of deltas in one read.
	pageSize = 200
	// maxLoadSteps bounds the reads of one Load.
	maxLoadSteps = 1000
)

// Error is the class of the package's errors.
var Error = errs.Class("configlog")

// Store is the part of the key-value service that the log uses.
type Store interface {
	Get(ctx context.Context, key string) (kv.Pair, error)
	List(ctx context.Context, opts kv.ListOptions) (kv.ListResult, error)
	Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error)
	Watch(ctx context.Context, prefix string, from kv.Version, handle func(kv.WatchBatch) error) error
}

// Head is the log's entry for the newest revision, its snapshot and its oldest delta. It is stored as JSON.
type Head struct {
	// Revision is the newest accepted revision; 0 means that no change has been accepted yet.
	Revision api.Revision
	ChangeID fleet.ChangeID
	// Snapshot is the revision of the newest snapshot; 0 means none.
	Snapshot api.Revision `json:",omitempty"`
	// Chunks is the number of keys that hold the snapshot.
	Chunks int `json:",omitempty"`
	// Oldest is the revision of the oldest delta that is retained; 0 means that all are.
	Oldest api.Revision `json:",omitempty"`

	version kv.Version
}

// Log reads and writes the configuration's history in the service. It caches nothing.
type Log struct {
	store  Store
	prefix string
}

// New returns the log whose keys begin with prefix.
func New(store Store, prefix string) *Log { return &Log{store: store, prefix: prefix} }

func (l *Log) headKey() string     { return l.prefix + "head" }
func (l *Log) deltaPrefix() string { return l.prefix + "delta/" }

func (l *Log) deltaKey(revision api.Revision) string {
	return fmt.Sprintf("%s%016d", l.deltaPrefix(), revision)
}

func (l *Log) chunkKey(revision api.Revision, chunk int) string {
	return fmt.Sprintf("%ssnapshot/%016d/%04d", l.prefix, revision, chunk)
}

// Head reads the head from the service; an empty log has the zero Head.
func (l *Log) Head(ctx context.Context) (Head, error) {
	pair, err := l.store.Get(ctx, l.headKey())
	if err != nil {
		return Head{}, Error.Wrap(err)
	}
	return decodeHead(pair)
}

func decodeHead(pair kv.Pair) (Head, error) {
	if pair.Version == 0 {
		return Head{}, nil
	}
	var head Head
	if err := json.Unmarshal(pair.Value, &head); err != nil {
		return Head{}, Error.Wrap(&fleet.ErrCorrupt{What: "head", Cause: err})
	}
	head.version = pair.Version
	return head, nil
}

// Page is the result of one read of deltas.
type Page struct {
	// Deltas is sorted by revision and has no gaps.
	Deltas []fleet.Delta
	// More is true if the service has further deltas.
	More bool
	// Version is the store's own revision at the time of the read; a watch from Version+1 misses no later change.
	Version kv.Version
}

// Read returns the deltas after a revision, at most pageSize, oldest first. If the first one is not the next revision,
// the deltas in between were deleted.
func (l *Log) Read(ctx context.Context, after api.Revision) (Page, error) {
	list, err := l.store.List(ctx, kv.ListOptions{Prefix: l.deltaPrefix(), From: l.deltaKey(after + 1), Limit: pageSize})
	if err != nil {
		return Page{}, Error.Wrap(err)
	}
	page := Page{More: list.More, Version: list.Revision}
	for _, pair := range list.Pairs {
		delta, err := fleet.DecodeDelta(pair.Value)
		if err != nil {
			return Page{}, Error.Wrap(err)
		}
		page.Deltas = append(page.Deltas, delta)
	}
	return page, nil
}

// Replica is a copy of the configuration that follows the log.
type Replica interface {
	// State returns the replica's state; it is never nil.
	State() *fleet.State
	// Apply applies deltas in order; those that the state already includes are skipped.
	Apply(deltas []fleet.Delta) error
	// Adopt replaces the state by a newer one.
	Adopt(state *fleet.State)
}

// Load updates a replica to the head of the log and returns the store's own revision; a watch from the one after it misses
// no later change. It returns ErrServiceOlder or fleet.ErrForked if the log does not continue the replica's state.
func (l *Log) Load(ctx context.Context, replica Replica) (kv.Version, error) {
	for range maxLoadSteps {
		after := replica.State().Revision()
		page, err := l.Read(ctx, after)
		if err != nil {
			return 0, err
		}
		if len(page.Deltas) > 0 && page.Deltas[0].Revision == after+1 {
			if err := replica.Apply(page.Deltas); err != nil {
				return 0, Error.Wrap(err)
			}
			if !page.More {
				return page.Version, nil
			}
			continue
		}
		done, err := l.loadHead(ctx, replica)
		if err != nil || done {
			return page.Version, err
		}
	}
	return 0, Error.Wrap(&ErrKeepsChanging{Revision: replica.State().Revision()})
}

// loadHead compares a replica that no delta follows with the head, and adopts the snapshot if that is newer. It returns
// done if the replica is at the head.
func (l *Log) loadHead(ctx context.Context, replica Replica) (done bool, err error) {
	head, err := l.Head(ctx)
	if err != nil {
		return false, err
	}
	state := replica.State()
	switch {
	case head.Revision < state.Revision():
		return false, Error.Wrap(&ErrServiceOlder{Head: head, Have: state.Revision()})
	case head.Revision == state.Revision() && head.ChangeID != state.ChangeID:
		return false, Error.Wrap(&fleet.ErrForked{Revision: head.Revision, Have: state.ChangeID, Got: head.ChangeID})
	case head.Revision == state.Revision():
		return true, nil
	case head.Snapshot <= state.Revision():
		return false, nil
	}
	newer, err := l.Snapshot(ctx, head)
	if err != nil {
		return false, err
	}
	replica.Adopt(newer)
	return false, nil
}

// Snapshot reads the snapshot that a head refers to.
func (l *Log) Snapshot(ctx context.Context, head Head) (*fleet.State, error) {
	var data []byte
	for chunk := range head.Chunks {
		pair, err := l.store.Get(ctx, l.chunkKey(head.Snapshot, chunk))
		if err != nil {
			return nil, Error.Wrap(err)
		}
		data = append(data, pair.Value...)
	}
	state, err := fleet.DecodeState(data)
	return state, Error.Wrap(err)
}

// Watch calls handle with the deltas written from a revision of the store on, until ctx ends or the watch breaks.
// The store can drop events; the missing deltas then show as gaps in the revisions.
func (l *Log) Watch(ctx context.Context, from kv.Version, handle func([]fleet.Delta) error) error {
	return Error.Wrap(l.store.Watch(ctx, l.deltaPrefix(), from, func(batch kv.WatchBatch) error {
		var deltas []fleet.Delta
		for _, event := range batch.Events {
			if event.Deleted {
				continue
			}
			delta, err := fleet.DecodeDelta(event.Pair.Value)
			if err != nil {
				return err
			}
			deltas = append(deltas, delta)
		}
		slices.SortFunc(deltas, func(a, b fleet.Delta) int { return int(a.Revision - b.Revision) })
		return handle(deltas)
	}))
}

// History returns the newest retained deltas, at most limit, newest first.
func (l *Log) History(ctx context.Context, limit int) ([]fleet.Delta, error) {
	head, err := l.Head(ctx)
	if err != nil {
		return nil, err
	}
	var found []fleet.Delta
	after := max(0, head.Revision-api.Revision(limit))
	for after < head.Revision {
		page, err := l.Read(ctx, after)
		if err != nil {
			return nil, err
		}
		if len(page.Deltas) == 0 {
			break
		}
		found = append(found, page.Deltas...)
		after = found[len(found)-1].Revision
	}
	slices.Reverse(found)
	return found, nil
}

// ErrServiceOlder means that the service is at an older revision than the reader, as after a restore from a backup.
type ErrServiceOlder struct {
	// Head is the head in the service.
	Head Head
	// Have is the reader's revision.
	Have api.Revision
}

// Error implements error.
func (e *ErrServiceOlder) Error() string {
	return fmt.Sprintf("the key-value service is at revision %d, older than %d", e.Head.Revision, e.Have)
}

// AsErrServiceOlder returns the ErrServiceOlder in err's chain; false if there is none.
func AsErrServiceOlder(err error) (*ErrServiceOlder, bool) {
	var older *ErrServiceOlder
	ok := errors.As(err, &older)
	return older, ok
}

// ErrKeepsChanging means that Load did not reach the head within maxLoadSteps reads, since the log kept changing.
type ErrKeepsChanging struct{ Revision api.Revision }

// Error implements error.
func (e *ErrKeepsChanging) Error() string {
	return fmt.Sprintf("the configuration log did not settle at revision %d", e.Revision)
}
