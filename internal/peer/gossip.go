package peer

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// fanout is the number of peers that urgent news is pushed to by each node that learns it.
	fanout = 3
	// maxOwnShare is the largest part of the exchanges that stay within the failure domain.
	maxOwnShare = 0.75
	// crossWeight is how many members of the own failure domain weigh as much as all others together, so that
	// a small failure domain, which may have lost the service as a whole, hears of others often.
	crossWeight = 2
	// seedShare is the part of the exchanges that go to a seed that should be a member and isn't.
	seedShare = 0.5
	// urgentPause gathers news that follows other news closely.
	urgentPause = 100 * time.Millisecond
)

// call is one exchange to make.
type call struct {
	to Member
	// urgent, if not nil, leaves out all but these topics.
	urgent map[string]bool
	// isAnswer tells that the peer began the exchange.
	isAnswer bool
}

// runTicks begins an exchange about every tick.
func (e *Exchange) runTicks(ctx context.Context) error {
	for n := 0; ; n++ {
		e.beginTick(n)
		if err := sleep.Wait(ctx, e.jitter(tick)); err != nil {
			return err
		}
	}
}

// jitter spreads a duration over three quarters to five quarters of it.
func (e *Exchange) jitter(d time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return d*3/4 + time.Duration(e.rand.Int64N(int64(d/2)))
}

func (e *Exchange) beginTick(n int) {
	now := time.Now()
	seeds := e.opts.Seeds()
	e.mu.Lock()
	if n%beatEvery == 0 {
		e.table.beat(e.load, now)
	}
	e.table.expire(now)
	e.expireLinks(now)
	to, ok := e.pickPeer(seeds, now)
	live := len(e.table.live(now))
	e.mu.Unlock()
	e.meters.members.Update(int64(live))
	if ok {
		e.enqueue(call{to: to})
	}
}

func (e *Exchange) expireLinks(now time.Time) {
	for incarnation, found := range e.links {
		if now.Sub(found.used) > linkTTL {
			delete(e.links, incarnation)
		}
	}
	for address, at := range e.met {
		if now.Sub(at) > metFor {
			delete(e.met, address)
		}
	}
	for address, avoided := range e.avoid {
		if now.Sub(avoided.until) > maxAvoid {
			delete(e.avoid, address)
		}
	}
}

func (e *Exchange) enqueue(c call) {
	select {
	case e.calls <- c:
	default:
		e.meters.droppedCalls.Inc(1)
	}
}

// pickPeer chooses whom to talk with: a live member, or a seed of which too little is known.
func (e *Exchange) pickPeer(seeds []Seed, now time.Time) (Member, bool) {
	missing := e.missingSeeds(seeds, now)
	if len(missing) > 0 && e.rand.Float64() < seedShare {
		return e.pickSeed(missing), true
	}
	if found := e.pickMembers(1, nil, now); len(found) > 0 {
		return found[0], true
	}
	if len(missing) > 0 {
		return e.pickSeed(missing), true
	}
	return Member{}, false
}

// pickSeed chooses one of the missing seeds, mostly of the own failure domain where there are such.
func (e *Exchange) pickSeed(seeds []Seed) Member {
	e.meters.seedCalls.Inc(1)
	own := slices.DeleteFunc(slices.Clone(seeds), func(s Seed) bool { return s.FailureDomain != e.opts.Self.FailureDomain })
	if len(own) > 0 && e.rand.Float64() < maxOwnShare {
		seeds = own
	}
	seed := seeds[e.rand.IntN(len(seeds))]
	return Member{PeerAddress: seed.PeerAddress, FailureDomain: seed.FailureDomain}
}

// missingSeeds returns the seeds that no live member stands for: all of the own failure domain, and those of others with
// too few contacts. A seed that answered lately is not missing: it may be of a failure domain with enough contacts, which
// the settings don't tell.
func (e *Exchange) missingSeeds(seeds []Seed, now time.Time) []Seed {
	known := make(map[string]bool)
	contacts := make(map[api.FailureDomain]int)
	for _, member := range e.table.live(now) {
		known[member.PeerAddress] = true
		contacts[member.FailureDomain]++
	}
	return slices.DeleteFunc(slices.Clone(seeds), func(s Seed) bool {
		enough := s.FailureDomain != e.opts.Self.FailureDomain && contacts[s.FailureDomain] >= contactsPerDomain
		metLately := now.Sub(e.met[s.PeerAddress]) < metFor
		return known[s.PeerAddress] || enough || metLately || e.isAvoided(s.PeerAddress, now)
	})
}

func (e *Exchange) isAvoided(address string, now time.Time) bool {
	return now.Before(e.avoid[address].until)
}

// pickMembers chooses up to n live members, mostly of the own failure domain, leaving some out.
func (e *Exchange) pickMembers(n int, except map[api.Incarnation]bool, now time.Time) []Member {
	var own, others []Member
	for _, member := range e.table.live(now) {
		switch {
		case member.Incarnation == e.opts.Self.Incarnation || except[member.Incarnation] || e.isAvoided(member.PeerAddress, now):
		case member.FailureDomain == e.opts.Self.FailureDomain:
			own = append(own, member)
		default:
			others = append(others, member)
		}
	}
	ownShare := min(maxOwnShare, float64(len(own))/float64(len(own)+crossWeight))
	var picked []Member
	for len(picked) < n && len(own)+len(others) > 0 {
		from := &own
		if len(own) == 0 || len(others) > 0 && e.rand.Float64() >= ownShare {
			from = &others
		}
		i := e.rand.IntN(len(*from))
		picked = append(picked, (*from)[i])
		*from = slices.Delete(*from, i, i+1)
	}
	return picked
}

// heardFrom has a peer called again that did not answer, since it is there now: news must not pass over a node that was called
// before it listened.
func (e *Exchange) heardFrom(from Member, now time.Time) {
	avoided, ok := e.avoid[from.PeerAddress]
	if !ok || avoided.liftedFor == from.Incarnation || !now.Before(avoided.until) {
		return
	}
	avoided.until, avoided.liftedFor = now, from.Incarnation
	e.avoid[from.PeerAddress] = avoided
}

// runUrgent pushes news to a few peers as soon as it comes.
func (e *Exchange) runUrgent(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-e.urgentSignal:
		}
		for _, c := range e.urgentCalls() {
			e.enqueue(c)
		}
		if err := sleep.Wait(ctx, urgentPause); err != nil {
			return err
		}
	}
}

// urgentCalls returns the pushes of all waiting news.
func (e *Exchange) urgentCalls() []call {
	e.mu.Lock()
	defer e.mu.Unlock()
	topics := make(map[string]bool)
	except := make(map[api.Incarnation]bool)
	for topic, tellers := range e.urgent {
		topics[topic] = true
		// With several topics at once, a teller of one may lack the other.
		if len(e.urgent) == 1 {
			except = tellers
		}
	}
	clear(e.urgent)
	if len(topics) == 0 {
		return nil
	}
	now := time.Now()
	var peers []Member
	if next, ok := e.successor(now); ok && !except[next.Incarnation] {
		peers = append(peers, next)
		except = maps.Clone(except)
		except[next.Incarnation] = true
	}
	peers = append(peers, e.pickMembers(fanout-len(peers), except, now)...)
	var calls []call
	for _, to := range peers {
		calls = append(calls, call{to: to, urgent: topics})
	}
	return calls
}

// successor returns the next live member of the failure domain in a ring that all nodes order alike. Urgent news goes to it,
// so that random pushes leave nobody out.
func (e *Exchange) successor(now time.Time) (Member, bool) {
	self := pulseID(string(e.opts.Self.Incarnation))
	var next Member
	var least uint32
	found := false
	for _, member := range e.table.live(now) {
		own := member.FailureDomain == e.opts.Self.FailureDomain && member.Incarnation != e.opts.Self.Incarnation
		if !own || e.isAvoided(member.PeerAddress, now) {
			continue
		}
		// The difference wraps around at the ring's end.
		if distance := pulseID(string(member.Incarnation)) - self; !found || distance < least {
			next, least, found = member, distance, true
		}
	}
	return next, found
}

// runCalls makes queued calls, one after the other.
func (e *Exchange) runCalls(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case c := <-e.calls:
			e.makeCall(ctx, c)
		}
	}
}

func (e *Exchange) makeCall(ctx context.Context, c call) {
	bundle := e.build(c)
	if c.urgent != nil && len(bundle.Topics)+len(bundle.Members) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := e.exchange(ctx, c.to.PeerAddress, bundle)
	if err != nil {
		e.failed(c.to, err)
		return
	}
	e.mu.Lock()
	delete(e.avoid, c.to.PeerAddress)
	if c.to.Incarnation == "" {
		e.met[c.to.PeerAddress] = time.Now()
	}
	e.mu.Unlock()
	e.absorb(answer, c.to.PeerAddress)
}

// avoidance tells how long a peer that did not answer is left alone.
type avoidance struct {
	// since is when the first of its failures in a row was.
	since time.Time
	until time.Time
	wait  time.Duration
	// liftedFor is the peer's incarnation for which the wait ended early because it was heard; empty if there is none.
	liftedFor api.Incarnation
}

// failed leaves a peer alone for a while, longer each time once it has failed for as long as members are listed.
func (e *Exchange) failed(to Member, err error) {
	e.meters.failedCalls.Inc(1)
	now := time.Now()
	e.mu.Lock()
	last := e.avoid[to.PeerAddress]
	wait := min(max(2*last.wait, firstAvoid), maxAvoid)
	since := last.since
	if since.IsZero() {
		since = now
	}
	if now.Sub(since) < suspectAfter {
		// After a short cut nodes must hear each other before they take each other for gone.
		wait = firstAvoid
	}
	avoided := avoidance{since: since, until: now.Add(wait), wait: wait}
	if now.Sub(last.until) < last.wait {
		// A peer that calls but can't be called costs one call a wait more, not one for each of its own.
		avoided.liftedFor = last.liftedFor
	}
	e.avoid[to.PeerAddress] = avoided
	e.mu.Unlock()
	entry := e.log.WithError(err).WithField("peer", to.PeerAddress)
	if IsErrProtocol(err) || IsErrUnauthenticated(err) {
		entry.Error("peer refused")
		return
	}
	entry.Debug("peer did not answer")
}
