// Package mirror keeps a copy of what the platform's store holds, up to date by polling for changes.
//
// The copy never goes back: a key's value is replaced only by one of a higher revision. While the store is away the copy stays as it
// is. Entries of servers lapse while the store is away and are back soon after its return, so that keys that are missing then are
// kept until they have had that time.
package mirror

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/boottime"
	"github.com/monsoonrail/monsoonrail/internal/eventlog"
	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
)

const (
	// pollWait is how long a poll waits for changes: a connection that went silent is noticed this much later than its timeout.
	pollWait = 1200 * time.Millisecond
	// gatherTime is the least time between polls while changes come: what comes together is read together.
	gatherTime = 200 * time.Millisecond
	// maxHistory bounds the changes that are kept for the nodes that follow this one.
	maxHistory = 2048
	// retryPause is the wait after a failed call, which a store that turns calls away must bear from every node.
	retryPause = 150 * time.Millisecond
	// awayAfter is for how long calls must fail until the store counts as away.
	awayAfter = time.Second
	// returnTime is how long lapsed entries may take to be back after the store's return.
	returnTime = 2 * time.Second
)

// Store is the part of the store that a mirror needs.
type Store interface {
	List(ctx context.Context, prefix string) (kv.ListResult, error)
	Poll(ctx context.Context, prefix string, after kv.Version, wait time.Duration) (kv.WatchBatch, error)
}

// Options configures New.
type Options struct {
	// Upstream returns the store, or another mirror of it, to ask next.
	Upstream func() Store
	// Prefix is that of the keys that are copied.
	Prefix string
	// ExpiringPrefix is the prefix of the keys that may lapse while the store is away.
	ExpiringPrefix string
	// Changed is called after each change, with the keys that changed, one call at a time.
	Changed func(keys []string)
	// Confirmed is called when the copy is known to hold all that was accepted by a time.
	Confirmed func(at boottime.Time)
	// Now is boottime.Now if nil.
	Now func() boottime.Time
	Log log.Interface
}

// Mirror is a copy of the store's keys. It is safe for concurrent use.
type Mirror struct {
	opts       Options
	dependency *eventlog.Dependency

	mu    sync.RWMutex
	pairs map[string]kv.Pair
	// missing holds the lapsing keys that the store no longer has and when they are taken for gone.
	missing map[string]time.Time
	// revision is that up to which the copy is complete; 0 before the first List.
	revision kv.Version
	// history holds the last changes in the order of their revisions, all of those after historyFrom.
	history     []kv.Event
	historyFrom kv.Version
	// provenAt is the newest time by which the copy is known to be complete; 0 before the first List.
	provenAt boottime.Time
	// updated is closed and replaced when something changed or was proved.
	updated chan struct{}
	// lastAnswer is when the store answered last, and returned when it came back from being away.
	lastAnswer, returned time.Time
}

// New returns an empty mirror.
func New(opts Options) *Mirror {
	opts.Log = eventlog.OrDiscard(opts.Log)
	if opts.Now == nil {
		opts.Now = boottime.Now
	}
	return &Mirror{
		opts:       opts,
		dependency: &eventlog.Dependency{Name: "store", Log: opts.Log},
		pairs:      make(map[string]kv.Pair),
		missing:    make(map[string]time.Time),
		updated:    make(chan struct{}),
	}
}

// Run keeps the copy up to date until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		begin := time.Now()
		isChange, err := m.step(ctx)
		if ctx.Err() != nil {
			break
		}
		m.dependency.Note(err)
		if isChange {
			sleep.For(ctx, gatherTime-time.Since(begin))
		}
		if err != nil {
			m.expire(time.Now())
			sleep.For(ctx, retryPause)
		}
	}
	return ctx.Err()
}

// step makes one call: a list where the copy isn't complete up to any revision, else a poll. It reports whether something changed.
func (m *Mirror) step(ctx context.Context) (bool, error) {
	m.mu.RLock()
	revision, waits := m.revision, len(m.missing) > 0
	m.mu.RUnlock()
	source := m.opts.Upstream()
	sent := m.opts.Now()
	if revision == 0 {
		listed, err := source.List(ctx, m.opts.Prefix)
		if err != nil {
			return false, err
		}
		m.answered(time.Now().Add(-listed.Silence))
		m.replace(listed)
		m.prove(sent - boottime.Time(listed.Age))
		return false, nil
	}
	wait := pollWait
	if waits {
		wait = returnTime / 4
	}
	batch, err := source.Poll(ctx, m.opts.Prefix, revision, wait)
	if kv.IsErrCompacted(err) {
		m.opts.Log.WithField("revision", int64(revision)).Info("store dropped its history, reading all keys again")
		m.mu.Lock()
		m.revision = 0
		m.mu.Unlock()
	}
	if err != nil {
		return false, err
	}
	m.answered(time.Now().Add(-batch.Silence))
	m.apply(batch)
	m.prove(sent - boottime.Time(batch.Age))
	return len(batch.Events) > 0, nil
}

// prove notes that the copy holds all that was accepted by a time.
func (m *Mirror) prove(at boottime.Time) {
	m.mu.Lock()
	m.provenAt = max(m.provenAt, at)
	close(m.updated)
	m.updated = make(chan struct{})
	m.mu.Unlock()
	if m.opts.Confirmed != nil {
		m.opts.Confirmed(at)
	}
}

// answered notes that the store answered at a time, to this node or to the one that handed its answer on.
func (m *Mirror) answered(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.lastAnswer.IsZero() && at.Sub(m.lastAnswer) > awayAfter+pollWait {
		m.returned = at
	}
	if at.After(m.lastAnswer) {
		m.lastAnswer = at
	}
}

// replace takes in a whole list.
func (m *Mirror) replace(listed kv.ListResult) {
	now := time.Now()
	var changed []string
	m.mu.Lock()
	found := make(map[string]bool, len(listed.Pairs))
	for _, pair := range listed.Pairs {
		found[pair.Key] = true
		if m.put(pair) {
			changed = append(changed, pair.Key)
		}
	}
	for key, held := range m.pairs {
		// A key written after the list is not in it.
		if !found[key] && held.Version <= listed.Revision && m.drop(key, now) {
			changed = append(changed, key)
		}
	}
	m.revision = listed.Revision
	m.history, m.historyFrom = nil, listed.Revision
	m.mu.Unlock()
	m.tell(changed)
}

// apply takes in changes.
func (m *Mirror) apply(batch kv.WatchBatch) {
	now := time.Now()
	var changed []string
	m.mu.Lock()
	for _, event := range batch.Events {
		key := event.Pair.Key
		switch {
		case !event.Deleted:
			if m.put(event.Pair) {
				changed = append(changed, key)
			}
		case m.pairs[key].Version < event.Pair.Version && m.drop(key, now):
			changed = append(changed, key)
		}
	}
	m.revision = max(m.revision, batch.Revision)
	m.record(batch.Events)
	changed = append(changed, m.dropMissing(now)...)
	m.mu.Unlock()
	m.tell(changed)
}

// record keeps changes for the nodes that follow this one; m.mu is held.
func (m *Mirror) record(events []kv.Event) {
	m.history = append(m.history, events...)
	if over := len(m.history) - maxHistory; over > 0 {
		m.historyFrom = m.history[over-1].Pair.Version
		m.history = append([]kv.Event(nil), m.history[over:]...)
	}
}

// expire drops the missing keys whose time is over.
func (m *Mirror) expire(now time.Time) {
	m.mu.Lock()
	changed := m.dropMissing(now)
	m.mu.Unlock()
	m.tell(changed)
}

// put keeps a pair unless a newer one is held; m.mu is held.
func (m *Mirror) put(pair kv.Pair) bool {
	delete(m.missing, pair.Key)
	if held, ok := m.pairs[pair.Key]; ok && held.Version >= pair.Version {
		return false
	}
	m.pairs[pair.Key] = pair
	return true
}

// drop removes a key, or lets it wait if it may have lapsed while the store was away; m.mu is held.
func (m *Mirror) drop(key string, now time.Time) bool {
	if _, ok := m.pairs[key]; !ok {
		return false
	}
	if until := m.returned.Add(returnTime); m.opts.ExpiringPrefix != "" && strings.HasPrefix(key, m.opts.ExpiringPrefix) && now.Before(until) {
		if _, ok := m.missing[key]; !ok {
			m.missing[key] = until
		}
		return false
	}
	delete(m.pairs, key)
	delete(m.missing, key)
	return true
}

// dropMissing removes the missing keys whose time is over; m.mu is held.
func (m *Mirror) dropMissing(now time.Time) (changed []string) {
	for key, until := range m.missing {
		if !now.Before(until) {
			delete(m.missing, key)
			delete(m.pairs, key)
			changed = append(changed, key)
		}
	}
	return changed
}

func (m *Mirror) tell(changed []string) {
	if len(changed) > 0 {
		m.opts.Changed(changed)
	}
}

// Get returns a key's pair; a missing one has Version 0.
func (m *Mirror) Get(key string) kv.Pair {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.pairs[key]
}

// List returns the pairs with a prefix, in no order.
func (m *Mirror) List(prefix string) []kv.Pair {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var found []kv.Pair
	for key, pair := range m.pairs {
		if strings.HasPrefix(key, prefix) {
			found = append(found, pair)
		}
	}
	return found
}
