// Package mirror keeps a local copy of the platform's store and updates it by polling for changes.
//
// A key's value is replaced only by one of a higher revision, so the copy never reverts. While the store is unreachable the copy stays
// unchanged. Entries of servers expire during an outage and are written again soon after it. Keys that are missing after an outage are
// therefore kept for a grace period before they are removed.
package mirror

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/boottime"
	"github.com/monsoonrail/monsoonrail/internal/eventlog"
	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/internal/transfer"
)

const (
	// pollWait is how long a poll waits for changes. A silent connection is detected only this long plus the call's timeout later.
	pollWait = 1200 * time.Millisecond
	// maxReadAge is the age of the newest complete read of the store at which the next one is to be complete: polls that return changes are not
	// complete up to their end, and the next one ends sooner, so that an outage of the store doesn't begin with an old copy.
	maxReadAge = 2 * pollWait
	// minPollInterval is the minimum time between polls that return changes, so that changes in quick succession are read together.
	minPollInterval = 200 * time.Millisecond
	// maxHistory bounds the number of changes that are retained for the nodes that use this one as their upstream.
	maxHistory = 2048
	// retryDelay is the delay after a failed call; a store that rejects calls gets one call from every node in this time.
	retryDelay = 150 * time.Millisecond
	// maxStartRetryDelay bounds the delay of a node that has no copy yet. It grows by retryDelay with each failure: such a node knows no other one
	// through which it could read, and all nodes may be in this state.
	maxStartRetryDelay = 4 * retryDelay
	// outageThreshold is the time without an answer, beyond pollWait, after which the store counts as having been unreachable.
	outageThreshold = time.Second
	// restoreGracePeriod is how long after an outage expired entries are kept, so that servers can write them again.
	restoreGracePeriod = 2 * time.Second
)

// Store is the part of the platform's store that a mirror uses.
type Store interface {
	List(ctx context.Context, prefix string) (kv.ListResult, error)
	Poll(ctx context.Context, prefix string, after kv.Version, wait time.Duration) (kv.WatchBatch, error)
}

// StaleLister is implemented by a Store that offers a cheaper list, which may be seconds old.
type StaleLister interface {
	ListStale(ctx context.Context, prefix string) (kv.ListResult, error)
}

// Relay is implemented by a Store that is another node's copy of the platform's store.
type Relay interface {
	IsRelay() bool
}

func isRelay(store Store) bool {
	relay, ok := store.(Relay)
	return ok && relay.IsRelay()
}

// Options configures New.
type Options struct {
	// Upstream returns the store for the next call: the platform's own or another node's mirror of it.
	Upstream func() Store
	// Prefix is the prefix of the keys that are copied.
	Prefix string
	// ExpiringPrefix is the prefix of the keys that can expire during an outage of the store; empty means none.
	ExpiringPrefix string
	// RewrittenPrefix is the prefix of other keys that are lost when an outage, or a restore of the store from an older copy, ends all leases, and
	// that their owners write again; empty means none.
	RewrittenPrefix string
	// Changed is called with the changed keys after each update, one call at a time.
	Changed func(keys []string)
	// Confirmed is called when the copy is known to include all writes that the store accepted by a time; it may be nil.
	Confirmed func(at boottime.Time)
	// Restored is called after the copy has taken in a store that was restored from an older copy; it may be nil.
	Restored func()
	// Now returns the time since boot; nil means boottime.Now.
	Now func() boottime.Time
	Log log.Interface
}

// Mirror is a copy of the store's keys. It is safe for concurrent use.
type Mirror struct {
	opts       Options
	dependency *eventlog.Dependency

	mu    sync.RWMutex
	pairs map[string]kv.Pair
	// missing maps keys that may have expired during an outage, and that the store no longer has, to the time of their removal.
	missing map[string]time.Time
	// revision is the store's revision up to which the copy is complete; 0 before the first list.
	revision kv.Version
	// hasListed is set once all keys have been listed, isStale until the first poll after a list that may be seconds old. mustList is set from
	// when the store has dropped the history that the copy needs until all keys have been listed again; other nodes are served meanwhile.
	hasListed, isStale, mustList bool
	// era is the store's era in the newest list.
	era kv.Era
	// history holds the newest change after historyFrom of each key that changed since, sorted by revision.
	history     []kv.Event
	historyFrom kv.Version
	// confirmedAt is the newest time as of which the copy is known to be complete; 0 before the first List.
	confirmedAt boottime.Time
	// updated is closed and replaced when the copy was updated or confirmed.
	updated chan struct{}
	// restoreEnds is when operators and servers have written again what a restore of the store from an older copy has undone.
	restoreEnds time.Time
	// lastAnswer is when the store answered last, and outageEnded when it first answered after the last outage.
	lastAnswer, outageEnded time.Time
	// lastFailure is when a call to the store itself last failed; zero if none has.
	lastFailure time.Time
	// readAt is the time as of which the newest answer of the store itself, or of a node that relays it, was complete.
	readAt time.Time
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
	startDelay := time.Duration(0)
	for ctx.Err() == nil {
		begin := time.Now()
		isChange, err := m.update(ctx)
		if ctx.Err() != nil {
			break
		}
		m.dependency.Record(err)
		if isChange {
			sleep.For(ctx, minPollInterval-time.Since(begin))
		}
		if err != nil {
			m.expireMissing(time.Now())
			delay := retryDelay
			if !m.hasCopy() {
				startDelay = min(startDelay+retryDelay, maxStartRetryDelay)
				delay = startDelay
			}
			sleep.For(ctx, delay)
		}
	}
	return ctx.Err()
}

// hasCopy reports whether all keys have been listed once.
func (m *Mirror) hasCopy() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.hasListed
}

// update makes one call: a list if the copy isn't complete at any revision, else a poll. It reports whether a poll returned changes.
func (m *Mirror) update(ctx context.Context) (bool, error) {
	m.mu.RLock()
	revision, hasListed, hasMissing, isStale, readAt := m.revision, m.hasListed, len(m.missing) > 0, m.isStale, m.readAt
	mustList := m.mustList || revision == 0
	m.mu.RUnlock()
	upstream := m.opts.Upstream()
	sent := m.opts.Now()
	call := &storeCall{sentAt: time.Now(), isRelayed: isRelay(upstream)}
	if !call.isRelayed {
		ctx = transfer.WithProgress(ctx, func() { m.recordProgress(call) })
	}
	if mustList {
		list := upstream.List
		lister, isStale := upstream.(StaleLister)
		if isStale = isStale && !hasListed; isStale {
			// The first poll brings the copy up to date.
			list = lister.ListStale
		}
		listed, err := list(ctx, m.opts.Prefix)
		if err != nil {
			m.recordFailure(call)
			return false, err
		}
		if err := m.checkEra(listed.Revision); err != nil {
			return false, err
		}
		call.age, call.silence, call.sinceOutage = listed.Age, listed.Silence, listed.SinceOutage
		m.recordAnswer(call)
		m.replace(listed, isStale)
		if !isStale {
			m.confirm(sent-boottime.Time(listed.Age), true)
		}
		return false, nil
	}
	wait := pollWait
	switch {
	case isStale:
		wait = 0
	case hasMissing:
		wait = restoreGracePeriod / 4
	case call.isRelayed:
		// A node that relays the store answers as soon as it has confirmed its own copy, after pollWait at most.
		wait = pollWait + minPollInterval
	default:
		wait = waitFor(call.sentAt.Sub(readAt))
	}
	call.wait = wait
	batch, err := upstream.Poll(ctx, m.opts.Prefix, revision, wait)
	if kv.IsErrCompacted(err) {
		m.opts.Log.WithField("revision", int64(revision)).Info("store dropped its history, reading all keys again")
		m.mu.Lock()
		m.mustList = true
		m.mu.Unlock()
	}
	if err != nil {
		if !kv.IsErrCompacted(err) {
			m.recordFailure(call)
		}
		return false, err
	}
	call.age, call.silence, call.sinceOutage = batch.Age, batch.Silence, batch.SinceOutage
	m.recordAnswer(call)
	m.apply(batch)
	isChange := len(batch.Events) > 0
	m.confirm(sent-boottime.Time(batch.Age), isChange)
	return isChange, nil
}

// checkEra returns kv.ErrUnavailable for a list of an earlier era than the copy's, as from a node that doesn't know of a restore yet.
func (m *Mirror) checkEra(listed kv.Version) error {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if listed.Era() < m.era {
		return kv.Error.Wrap(&kv.ErrUnavailable{Cause: &ErrOlderEra{Era: listed.Era()}})
	}
	return nil
}

// beginEra records the era of a list. If the store was restored from an older copy, the time in which operators and servers write
// again what was lost begins, and beginEra returns true; m.mu is held.
func (m *Mirror) beginEra(listed kv.Version, now time.Time) (isRestored bool) {
	if listed.Era() == m.era {
		return false
	}
	if isRestored = len(m.pairs) > 0; isRestored {
		m.outageEnded = now
		m.restoreEnds = now.Add(restoreGracePeriod)
		m.opts.Log.WithFields(log.Fields{
			"era": int64(listed.Era()), "previous_era": int64(m.era), "revision": listed.Revision(),
		}).Warn("store was restored from an older copy")
	}
	m.era = listed.Era()
	return isRestored
}

// confirm records that the copy includes all writes that were accepted by a time, and wakes the nodes that wait for changes or a confirmation. It
// confirms nothing while acknowledged writes may be missing in a restored store. An answer without anything new wakes nobody: two nodes that read
// the store through each other would end each other's waits.
func (m *Mirror) confirm(at boottime.Time, isChange bool) {
	m.mu.Lock()
	isComplete := !time.Now().Before(m.restoreEnds)
	isNewer := isComplete && at > m.confirmedAt
	if isNewer {
		m.confirmedAt = at
	}
	if isNewer || isChange {
		close(m.updated)
		m.updated = make(chan struct{})
	}
	m.mu.Unlock()
	if isComplete && m.opts.Confirmed != nil {
		m.opts.Confirmed(at)
	}
}

// storeCall is a call to the store or to another node's copy.
type storeCall struct {
	sentAt    time.Time
	isRelayed bool
	// wait is how long the store may wait for changes before it answers.
	wait time.Duration
	// age is that of the answer, relative to sentAt; silence and sinceOutage are those of the answer, both 0 if it is the store's own.
	age, silence, sinceOutage time.Duration
	// begunAt is when the first bytes of the answer arrived; zero if that isn't known.
	begunAt time.Time
}

// waitFor returns how long the next poll may wait for changes if the newest complete read is of an age.
func waitFor(readAge time.Duration) time.Duration {
	return min(max(maxReadAge-readAge, minPollInterval), pollWait)
}

// recordFailure records that a call failed. Another node that fails shows nothing about the store.
func (m *Mirror) recordFailure(call *storeCall) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !call.isRelayed {
		m.lastFailure = time.Now()
	}
}

// recordProgress records that a part of the store's answer has arrived: a large one may take longer than other nodes wait for a sign of the store.
func (m *Mirror) recordProgress(call *storeCall) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if call.begunAt.IsZero() {
		call.begunAt = now
		m.recordOutage(call, now)
	}
	m.lastAnswer = now
}

// recordAnswer records that the store answered a call, to this node or to the one that relays it. Only failed or late calls to the store itself
// show that it was out: a node that relays it may have heard of it some time ago. That node tells of the outages that it has found.
func (m *Mirror) recordAnswer(call *storeCall) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if readAt := call.sentAt.Add(-call.age); readAt.After(m.readAt) {
		m.readAt = readAt
	}
	at := now.Add(-call.silence)
	switch {
	case call.isRelayed && call.sinceOutage > 0:
		if ended := now.Add(-call.sinceOutage); ended.After(m.outageEnded) {
			m.outageEnded = ended
		}
	case !call.isRelayed && call.begunAt.IsZero():
		m.recordOutage(call, at)
	}
	if at.After(m.lastAnswer) {
		m.lastAnswer = at
	}
}

// recordOutage records that the store was out until a time at which an answer of its own began, if that was late or came after a failed call; m.mu is held.
func (m *Mirror) recordOutage(call *storeCall, at time.Time) {
	if m.lastAnswer.IsZero() {
		return
	}
	isLate := at.Sub(call.sentAt) > call.wait+outageThreshold
	if isLate || m.lastFailure.After(m.lastAnswer) && at.Sub(m.lastAnswer) > outageThreshold+pollWait {
		m.outageEnded = at
	}
}

// sinceOutage returns how long ago the store was back after an outage, as long as expired entries are kept; 0 otherwise. m.mu is held.
func (m *Mirror) sinceOutage() time.Duration {
	if since := time.Since(m.outageEnded); since < restoreGracePeriod {
		return max(since, 1)
	}
	return 0
}

// HasRecentOutage reports whether keys that are missing now may have expired during an outage.
func (m *Mirror) HasRecentOutage() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.sinceOutage() > 0
}

// replace replaces the copy by a complete list, which may be stale.
func (m *Mirror) replace(listed kv.ListResult, isStale bool) {
	now := time.Now()
	var changed []string
	m.mu.Lock()
	isNewEra := listed.Revision.Era() != m.era
	isRestored := m.beginEra(listed.Revision, now)
	found := make(map[string]bool, len(listed.Pairs))
	var events []kv.Event
	for _, pair := range listed.Pairs {
		found[pair.Key] = true
		if m.put(pair) {
			changed = append(changed, pair.Key)
			events = append(events, kv.Event{Pair: pair})
		}
	}
	for key, held := range m.pairs {
		switch {
		// A key that was written after the list is not in it and must be kept.
		case found[key] || held.Version > listed.Revision:
			continue
		case hasPrefix(key, m.opts.RewrittenPrefix) && now.Before(m.restoreEnds):
			m.markMissing(key, m.restoreEnds)
		case m.remove(key, now):
			changed = append(changed, key)
		}
		events = append(events, kv.Event{Deleted: true, Pair: kv.Pair{Key: key, Version: listed.Revision}})
	}
	if m.hasListed && !isNewEra {
		// What the list has changed is history for the nodes that have read the copy until now: they need no list of their own.
		m.record(events)
	} else {
		m.history, m.historyFrom = nil, listed.Revision
	}
	m.revision, m.hasListed, m.isStale, m.mustList = listed.Revision, true, isStale, false
	m.mu.Unlock()
	m.notifyChanged(changed)
	if isRestored && m.opts.Restored != nil {
		m.opts.Restored()
	}
}

// apply applies a batch of changes.
func (m *Mirror) apply(batch kv.WatchBatch) {
	now := time.Now()
	var changed []string
	m.mu.Lock()
	if batch.KeyHashes != nil {
		batch.Events = append(batch.Events, m.deletions(batch)...)
	}
	for _, event := range batch.Events {
		key := event.Pair.Key
		switch {
		case !event.Deleted:
			if m.put(event.Pair) {
				changed = append(changed, key)
			}
		case m.pairs[key].Version < event.Pair.Version && m.remove(key, now):
			changed = append(changed, key)
		}
	}
	m.revision, m.isStale = max(m.revision, batch.Revision), false
	m.record(batch.Events)
	changed = append(changed, m.removeExpired(now)...)
	m.mu.Unlock()
	m.notifyChanged(changed)
}

// deletions returns the deletions of the keys that the copy has and a batch with the hashes of all keys has not; m.mu is held.
func (m *Mirror) deletions(batch kv.WatchBatch) (events []kv.Event) {
	exists := make(map[uint64]bool, len(batch.KeyHashes))
	for _, hash := range batch.KeyHashes {
		exists[hash] = true
	}
	for key, held := range m.pairs {
		if held.Version < batch.Revision && !exists[kv.HashKey(key)] {
			events = append(events, kv.Event{Deleted: true, Pair: kv.Pair{Key: key, Version: batch.Revision}})
		}
	}
	return events
}

// record retains changes for the nodes that use this one as their upstream; m.mu is held. A change that a newer one of the same key has
// superseded is dropped: values can be large, and a node that is behind would be sent all of them.
func (m *Mirror) record(events []kv.Event) {
	if len(events) == 0 {
		return
	}
	newest := make(map[string]kv.Version, len(events))
	for _, event := range events {
		newest[event.Pair.Key] = max(newest[event.Pair.Key], event.Pair.Version)
	}
	isSuperseded := func(event kv.Event) bool { return event.Pair.Version < newest[event.Pair.Key] }
	m.history = slices.DeleteFunc(append(m.history, events...), isSuperseded)
	slices.SortStableFunc(m.history, func(a, b kv.Event) int { return cmp.Compare(a.Pair.Version, b.Pair.Version) })
	if over := len(m.history) - maxHistory; over > 0 {
		m.historyFrom = m.history[over-1].Pair.Version
		m.history = append([]kv.Event(nil), m.history[over:]...)
	}
}

// expireMissing removes the missing keys whose grace period is over.
func (m *Mirror) expireMissing(now time.Time) {
	m.mu.Lock()
	changed := m.removeExpired(now)
	m.mu.Unlock()
	m.notifyChanged(changed)
}

// put stores a pair unless the copy has it or a newer one, and reports whether it did; m.mu is held.
func (m *Mirror) put(pair kv.Pair) bool {
	delete(m.missing, pair.Key)
	if held, ok := m.pairs[pair.Key]; ok && held.Version >= pair.Version {
		return false
	}
	m.pairs[pair.Key] = pair
	return true
}

// remove removes a key and reports whether it did. A key that may have expired during an outage is only marked as missing; m.mu is
// held.
func (m *Mirror) remove(key string, now time.Time) bool {
	if _, ok := m.pairs[key]; !ok {
		return false
	}
	isLeased := hasPrefix(key, m.opts.ExpiringPrefix) || hasPrefix(key, m.opts.RewrittenPrefix)
	if until := m.outageEnded.Add(restoreGracePeriod); isLeased && now.Before(until) {
		m.markMissing(key, until)
		return false
	}
	delete(m.pairs, key)
	delete(m.missing, key)
	return true
}

// markMissing has a key removed at a time unless it is written again; m.mu is held.
func (m *Mirror) markMissing(key string, until time.Time) {
	if _, ok := m.missing[key]; !ok {
		m.missing[key] = until
	}
}

// hasPrefix reports whether a key has a prefix; an empty prefix is of no key.
func hasPrefix(key, prefix string) bool { return prefix != "" && strings.HasPrefix(key, prefix) }

// removeExpired removes the missing keys whose grace period is over, and returns them; m.mu is held.
func (m *Mirror) removeExpired(now time.Time) (changed []string) {
	for key, until := range m.missing {
		if !now.Before(until) {
			delete(m.missing, key)
			delete(m.pairs, key)
			changed = append(changed, key)
		}
	}
	return changed
}

func (m *Mirror) notifyChanged(changed []string) {
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

// List returns the pairs whose keys have a prefix, in no particular order.
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
