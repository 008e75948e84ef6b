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
	// fanout is the number of peers to which each node that learns urgent news pushes it.
	fanout = 3
	// maxOwnDomainShare is the largest fraction of the exchanges that stay within the failure domain.
	maxOwnDomainShare = 0.75
	// otherDomainsWeight is the weight of all other failure domains together, in members of the own one, so that a
	// small failure domain, which may have lost the service as a whole, often exchanges state with others.
	otherDomainsWeight = 2
	// seedShare is the fraction of the exchanges that go to missing seeds (see missingSeeds) while there are any.
	seedShare = 0.5
	// urgentBatchDelay is the pause after a push, which batches news that arrives in quick succession.
	urgentBatchDelay = 100 * time.Millisecond
)

// call is one exchange with a peer.
type call struct {
	to Member
	// urgent, if not nil, limits the exchange to these topics.
	urgent map[string]bool
	// isResponse means that the bundle answers an exchange that the peer started.
	isResponse bool
}

// runPeriodicExchanges runs a tick about every tickInterval until ctx ends.
func (e *Exchange) runPeriodicExchanges(ctx context.Context) error {
	for n := 0; ; n++ {
		e.runTick(n)
		if err := sleep.Wait(ctx, e.jitter(tickInterval)); err != nil {
			return err
		}
	}
}

// jitter returns a random duration from 3/4 to 5/4 of d.
func (e *Exchange) jitter(d time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return d*3/4 + time.Duration(e.rand.Int64N(int64(d/2)))
}

func (e *Exchange) runTick(n int) {
	now := time.Now()
	seeds := e.opts.Seeds()
	e.mu.Lock()
	if n%ticksPerHeartbeat == 0 {
		e.table.advanceHeartbeat(e.load, now)
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
	for incarnation, peerLink := range e.links {
		if now.Sub(peerLink.lastUsed) > linkTTL {
			delete(e.links, incarnation)
		}
	}
	for address, answeredAt := range e.seedAnswers {
		if now.Sub(answeredAt) > seedCallInterval {
			delete(e.seedAnswers, address)
		}
	}
	for address, current := range e.backoffs {
		if now.Sub(current.until) > maxBackoff {
			delete(e.backoffs, address)
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

// pickPeer chooses the peer for the next exchange: a live member or a missing seed. It returns false if there is none.
func (e *Exchange) pickPeer(seeds []Seed, now time.Time) (Member, bool) {
	missing := e.missingSeeds(seeds, now)
	if len(missing) > 0 && e.rand.Float64() < seedShare {
		return e.pickSeed(missing), true
	}
	// Of two random members, the one with the older last exchange: in a small group each member soon has its turn.
	if found := e.pickMembers(2, nil, now); len(found) > 0 {
		return slices.MinFunc(found, func(a, b Member) int { return e.lastExchange(a).Compare(e.lastExchange(b)) }), true
	}
	if len(missing) > 0 {
		return e.pickSeed(missing), true
	}
	return Member{}, false
}

// lastExchange returns when a bundle was last sent to or received from a member; zero if none was within linkTTL.
func (e *Exchange) lastExchange(with Member) time.Time {
	if peerLink, ok := e.links[with.Incarnation]; ok {
		return peerLink.lastUsed
	}
	return time.Time{}
}

// pickSeed chooses one of the missing seeds, preferably of the own failure domain.
func (e *Exchange) pickSeed(seeds []Seed) Member {
	e.meters.seedCalls.Inc(1)
	own := slices.DeleteFunc(slices.Clone(seeds), func(s Seed) bool { return s.FailureDomain != e.opts.Self.FailureDomain })
	if len(own) > 0 && e.rand.Float64() < maxOwnDomainShare {
		seeds = own
	}
	seed := seeds[e.rand.IntN(len(seeds))]
	return Member{PeerAddress: seed.PeerAddress, FailureDomain: seed.FailureDomain}
}

// missingSeeds returns the seeds that are no live member: all of the own failure domain, and those of other domains
// with too few contacts. A seed that answered recently is not missing: it may belong to a failure domain with enough
// contacts, since the settings don't name a seed's domain.
func (e *Exchange) missingSeeds(seeds []Seed, now time.Time) []Seed {
	known := make(map[string]bool)
	contacts := make(map[api.FailureDomain]int)
	for _, member := range e.table.live(now) {
		known[member.PeerAddress] = true
		contacts[member.FailureDomain]++
	}
	return slices.DeleteFunc(slices.Clone(seeds), func(s Seed) bool {
		enough := s.FailureDomain != e.opts.Self.FailureDomain && contacts[s.FailureDomain] >= contactsPerDomain
		answeredRecently := now.Sub(e.seedAnswers[s.PeerAddress]) < seedCallInterval
		return known[s.PeerAddress] || enough || answeredRecently || e.inBackoff(s.PeerAddress, now)
	})
}

func (e *Exchange) inBackoff(address string, now time.Time) bool {
	return now.Before(e.backoffs[address].until)
}

// pickMembers chooses up to n live members, mostly of the own failure domain, other than this node, the incarnations in
// except and those in backoff.
func (e *Exchange) pickMembers(n int, except map[api.Incarnation]bool, now time.Time) []Member {
	var own, others []Member
	for _, member := range e.table.live(now) {
		switch {
		case member.Incarnation == e.opts.Self.Incarnation || except[member.Incarnation] || e.inBackoff(member.PeerAddress, now):
		case member.FailureDomain == e.opts.Self.FailureDomain:
			own = append(own, member)
		default:
			others = append(others, member)
		}
	}
	ownShare := min(maxOwnDomainShare, float64(len(own))/float64(len(own)+otherDomainsWeight))
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

// endBackoff ends the backoff of a peer that just sent a message, once per incarnation, so that urgent news also
// reaches a node that was called before it listened.
func (e *Exchange) endBackoff(from Member, now time.Time) {
	current, ok := e.backoffs[from.PeerAddress]
	if !ok || current.liftedFor == from.Incarnation || !now.Before(current.until) {
		return
	}
	current.until, current.liftedFor = now, from.Incarnation
	e.backoffs[from.PeerAddress] = current
}

// runUrgent pushes urgent news to a few peers as soon as it arrives.
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
		if err := sleep.Wait(ctx, urgentBatchDelay); err != nil {
			return err
		}
	}
}

// urgentCalls returns the calls that push all pending news, and clears the pending news.
func (e *Exchange) urgentCalls() []call {
	e.mu.Lock()
	defer e.mu.Unlock()
	topics := make(map[string]bool)
	except := make(map[api.Incarnation]bool)
	for topic, informed := range e.urgent {
		topics[topic] = true
		// With several topics, a peer that sent the news of one topic may lack that of another.
		if len(e.urgent) == 1 {
			except = informed
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

// successor returns the next live member of the own failure domain on a ring ordered by pulseID, the same on all nodes.
// Urgent news always goes to it, so that random pushes miss no node.
func (e *Exchange) successor(now time.Time) (Member, bool) {
	self := pulseID(string(e.opts.Self.Incarnation))
	var next Member
	var least uint32
	found := false
	for _, member := range e.table.live(now) {
		own := member.FailureDomain == e.opts.Self.FailureDomain && member.Incarnation != e.opts.Self.Incarnation
		if !own || e.inBackoff(member.PeerAddress, now) {
			continue
		}
		// The unsigned subtraction wraps around at the ring's end.
		if distance := pulseID(string(member.Incarnation)) - self; !found || distance < least {
			next, least, found = member, distance, true
		}
	}
	return next, found
}

// runCalls makes queued calls one after the other until ctx ends.
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
	bundle := e.buildBundle(c)
	if c.urgent != nil && len(bundle.Topics)+len(bundle.Members) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := e.exchange(ctx, c.to.PeerAddress, bundle)
	if err != nil {
		e.recordFailure(c.to, err)
		return
	}
	e.mu.Lock()
	delete(e.backoffs, c.to.PeerAddress)
	if c.to.Incarnation == "" {
		e.seedAnswers[c.to.PeerAddress] = time.Now()
	}
	e.mu.Unlock()
	e.mergeBundle(answer, c.to.PeerAddress)
}

// backoff is the wait before a peer that did not answer is called again.
type backoff struct {
	// since is the time of the first of the consecutive failures.
	since time.Time
	until time.Time
	wait  time.Duration
	// liftedFor is the peer's incarnation whose message ended the wait early; empty if none did.
	liftedFor api.Incarnation
}

// recordFailure starts or extends a peer's backoff. The wait doubles, up to maxBackoff, once the peer has been failing
// for livenessTimeout.
func (e *Exchange) recordFailure(to Member, err error) {
	e.meters.failedCalls.Inc(1)
	now := time.Now()
	e.mu.Lock()
	last := e.backoffs[to.PeerAddress]
	wait := min(max(2*last.wait, minBackoff), maxBackoff)
	since := last.since
	if since.IsZero() {
		since = now
	}
	if now.Sub(since) < livenessTimeout {
		// After a short network partition, nodes must reconnect before they consider each other unreachable.
		wait = minBackoff
	}
	next := backoff{since: since, until: now.Add(wait), wait: wait}
	if now.Sub(last.until) < last.wait {
		// A peer that sends messages but can't be reached costs one extra call per wait, not one for each of its
		// messages.
		next.liftedFor = last.liftedFor
	}
	e.backoffs[to.PeerAddress] = next
	e.mu.Unlock()
	entry := e.log.WithError(err).WithField("peer", to.PeerAddress)
	if IsErrProtocol(err) || IsErrUnauthenticated(err) {
		entry.Error("peer refused")
		return
	}
	entry.Debug("peer did not answer")
}
