package kvfake

import (
	"maps"
	"slices"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/kv"
)

// lease is a lease and the keys that are deleted when it ends.
type lease struct {
	ttl   time.Duration
	keys  map[string]struct{}
	timer *time.Timer
}

// database holds the keys, the leases and the history of changes; it is not safe for concurrent use.
type database struct {
	revision  kv.Version
	pairs     map[string]kv.Pair
	leases    map[kv.LeaseID]*lease
	lastLease kv.LeaseID
	// sorted caches the keys in order; nil if the set of keys has changed.
	sorted []string
	// history holds the changes after revision compacted, one batch for each revision.
	history   []kv.WatchBatch
	compacted kv.Version
	// gaps holds the revisions that watches skip.
	gaps map[kv.Version]bool
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newDatabase() database {
	return database{
		revision: 1,
		pairs:    make(map[string]kv.Pair),
		leases:   make(map[kv.LeaseID]*lease),
		gaps:     make(map[kv.Version]bool),
		changed:  make(chan struct{}),
	}
}

func (d *database) clone() database {
	copied := *d
	copied.pairs = maps.Clone(d.pairs)
	copied.history = slices.Clone(d.history)
	copied.gaps = maps.Clone(d.gaps)
	copied.sorted = nil
	copied.changed = make(chan struct{})
	copied.leases = make(map[kv.LeaseID]*lease, len(d.leases))
	for id, l := range d.leases {
		copied.leases[id] = &lease{ttl: l.ttl, keys: maps.Clone(l.keys)}
	}
	return copied
}

func (d *database) stopTimers() {
	for _, l := range d.leases {
		if l.timer != nil {
			l.timer.Stop()
		}
	}
}

// find returns the pairs with keys from from (inclusive) to end (exclusive); an empty end means the key from alone, and "\x00" no
// upper end. more is true if limit cut the result.
func (d *database) find(from, end string, limit int) (pairs []kv.Pair, more bool) {
	if end == "" {
		if pair, ok := d.pairs[from]; ok {
			pairs = append(pairs, pair)
		}
		return pairs, false
	}
	if d.sorted == nil {
		d.sorted = slices.Sorted(maps.Keys(d.pairs))
	}
	first, _ := slices.BinarySearch(d.sorted, from)
	for _, key := range d.sorted[first:] {
		if end != "\x00" && key >= end {
			break
		}
		if limit > 0 && len(pairs) == limit {
			return pairs, true
		}
		pairs = append(pairs, d.pairs[key])
	}
	return pairs, false
}

// commit validates and executes a transaction.
func (d *database) commit(txn kv.Txn) (kv.TxnResult, error) {
	if err := d.check(txn); err != nil {
		return kv.TxnResult{}, err
	}
	succeeded := !slices.ContainsFunc(txn.If, func(c kv.Compare) bool {
		return d.pairs[c.Key].Version != c.Version
	})
	ops := txn.Then
	if !succeeded {
		ops = txn.Else
	}
	if err := d.checkLeases(ops); err != nil {
		return kv.TxnResult{}, err
	}
	change := d.begin()
	var found []kv.Pair
	for _, op := range ops {
		switch op.Kind {
		case kv.OpPut:
			change.put(kv.Pair{Key: op.Key, Value: slices.Clone(op.Value), Lease: op.Lease})
		case kv.OpDelete:
			change.delete(op.Key)
		case kv.OpGet:
			pair := d.pairs[op.Key]
			pair.Key = op.Key
			found = append(found, pair)
		}
	}
	change.end()
	return kv.TxnResult{Succeeded: succeeded, Revision: d.revision, Pairs: found}, nil
}

// check validates a transaction as the real service does, before anything takes effect.
func (d *database) check(txn kv.Txn) error {
	if len(txn.If) > kv.MaxTxnOps || len(txn.Then) > kv.MaxTxnOps || len(txn.Else) > kv.MaxTxnOps {
		return errTooManyOps
	}
	for _, ops := range [][]kv.Op{txn.Then, txn.Else} {
		seen := make(map[string]bool, len(ops))
		for _, op := range ops {
			if op.Kind == kv.OpGet {
				continue
			}
			if seen[op.Key] {
				return errDuplicateKey
			}
			seen[op.Key] = true
			if len(op.Value) > kv.MaxValueBytes {
				return &kv.ErrTooLarge{Bytes: len(op.Value)}
			}
		}
	}
	return nil
}

// checkLeases rejects puts with leases that have ended.
func (d *database) checkLeases(ops []kv.Op) error {
	for _, op := range ops {
		if op.Kind == kv.OpPut && op.Lease != 0 && d.leases[op.Lease] == nil {
			return &kv.ErrLeaseNotFound{ID: op.Lease}
		}
	}
	return nil
}

// change collects the events of one new revision.
type change struct {
	data   *database
	next   kv.Version
	events []kv.Event
}

func (d *database) begin() *change { return &change{data: d, next: d.revision + 1} }

func (c *change) put(pair kv.Pair) {
	c.data.unbind(c.data.pairs[pair.Key])
	pair.Version = c.next
	if l := c.data.leases[pair.Lease]; l != nil {
		l.keys[pair.Key] = struct{}{}
	}
	if _, ok := c.data.pairs[pair.Key]; !ok {
		c.data.sorted = nil
	}
	c.data.pairs[pair.Key] = pair
	c.events = append(c.events, kv.Event{Pair: pair})
}

func (c *change) delete(key string) {
	pair, ok := c.data.pairs[key]
	if !ok {
		return
	}
	c.data.unbind(pair)
	delete(c.data.pairs, key)
	c.data.sorted = nil
	c.events = append(c.events, kv.Event{Deleted: true, Pair: kv.Pair{Key: key, Version: c.next}})
}

// end publishes the revision as the newest, if anything changed.
func (c *change) end() {
	if len(c.events) == 0 {
		return
	}
	c.data.revision = c.next
	c.data.history = append(c.data.history, kv.WatchBatch{Events: c.events, Revision: c.next})
	close(c.data.changed)
	c.data.changed = make(chan struct{})
}

// unbind removes a key from its lease.
func (d *database) unbind(pair kv.Pair) {
	if l := d.leases[pair.Lease]; l != nil {
		delete(l.keys, pair.Key)
	}
}

// endLease deletes a lease and its keys; it returns false if there is no such lease.
func (d *database) endLease(id kv.LeaseID) bool {
	l := d.leases[id]
	if l == nil {
		return false
	}
	change := d.begin()
	for _, key := range slices.Sorted(maps.Keys(l.keys)) {
		change.delete(key)
	}
	delete(d.leases, id)
	change.end()
	return true
}

func (d *database) compact(revision kv.Version) {
	revision = min(revision, d.revision)
	if revision <= d.compacted {
		return
	}
	d.compacted = revision
	d.history = slices.DeleteFunc(slices.Clone(d.history), func(b kv.WatchBatch) bool { return b.Revision <= revision })
}

// since returns the batches from a revision on, with only the events whose keys match.
func (d *database) since(from kv.Version, match func(key string) bool) []kv.WatchBatch {
	var batches []kv.WatchBatch
	first, _ := slices.BinarySearchFunc(d.history, from, func(b kv.WatchBatch, v kv.Version) int {
		return int(b.Revision - v)
	})
	for _, batch := range d.history[first:] {
		if d.gaps[batch.Revision] {
			continue
		}
		var events []kv.Event
		for _, event := range batch.Events {
			if match(event.Pair.Key) {
				events = append(events, event)
			}
		}
		if len(events) > 0 {
			batches = append(batches, kv.WatchBatch{Events: events, Revision: batch.Revision})
		}
	}
	return batches
}

// inRange returns a function that reports whether a key is in a range as of find.
func inRange(from, end string) func(key string) bool {
	return func(key string) bool {
		if end == "" {
			return key == from
		}
		return key >= from && (end == "\x00" || key < end)
	}
}
