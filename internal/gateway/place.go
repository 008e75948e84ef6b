package gateway

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonrail/monsoonrail/internal/backend"
	"github.com/monsoonrail/monsoonrail/internal/placement"
	"github.com/monsoonrail/monsoonrail/internal/rendezvous"
	"github.com/monsoonrail/monsoonrail/internal/route"
	"github.com/monsoonrail/monsoonrail/internal/selfreport"
	"github.com/monsoonrail/monsoonrail/internal/versionrollout"
	"github.com/monsoonrail/monsoonrail/internal/workload"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// bytesPerToken is the approximate size of a generated token on the wire.
	bytesPerToken = 10
	// tokensPerSlot is the number of prompt tokens of a model of usual price that delay other requests as much as one more running request
	// does. Engines read prompts in chunks between the decoding steps of other requests.
	tokensPerSlot = 1500
	// tokensPerKnownSlot is that number where the nodes tell each other which prompts the servers have yet to read: what remains is that a server
	// makes the tokens of more requests at a time.
	tokensPerKnownSlot = 200
	// tokensPerKilobyte is the number of such tokens that are read rather than a kilobyte sent to another failure domain, and plainWorkPerKilobyte
	// the same for services without models.
	tokensPerKilobyte    = 80
	plainWorkPerKilobyte = plainWork * 16 / 100
	// maxPromptTokens is the size above which a prompt isn't believed where the memory of the servers isn't known.
	maxPromptTokens = 1 << 20
	// plainWork is the work of a request to a service without models.
	plainWork = workload.Work(50 * time.Millisecond)
)

// chooseServer returns the server for the next attempt, or nil and the rejection if there is none. It also sets the version choice of the
// attempt.
func (d *dispatcher) chooseServer() (*backend.TrackedServer, *rejection) {
	now, nodes := time.Now(), d.g.opts.RecentNodeCount()
	d.isFillAttempt = false
	d.versionChoice = d.pickVersion(now)
	pool := d.versionPool(d.versionChoice)
	key := d.affinityKey()
	if key == "" {
		key = string(d.ID)
	}
	eligible := d.eligibleServers(pool, backend.Selection{Key: key, Seed: string(d.ID)}, nodes, now)
	if len(eligible) == 0 && d.versionChoice.UseTarget && !d.versionChoice.IsStrict {
		// All servers of the version are cold or limited: the request is better off at another version than rejected.
		d.versionChoice.UseTarget, d.versionChoice.FillShare = false, 0
		pool = d.versionPool(d.versionChoice)
		eligible = d.eligibleServers(pool, backend.Selection{Key: key, Seed: string(d.ID)}, nodes, now)
	}
	if len(eligible) == 0 {
		return nil, d.noServer(pool.Present(), nodes, now)
	}
	candidates, unreadTokens := make([]placement.Candidate, len(eligible)), make([]int, len(eligible))
	tokenWork := 0.0
	if d.service.Engine != nil {
		tokenWork = d.g.reading.TokenWork(d.service, d.askedModel())
	}
	parts := d.promptPartKeys()
	for i, m := range eligible {
		candidates[i] = d.placementCandidate(m, now)
		cached := m.CachedPromptParts(parts, now)
		if i == 0 {
			// All nodes send requests that share these parts to the first server by rank, so it has probably cached them.
			cached = len(parts)
		}
		unreadTokens[i] = d.PromptTokens
		for _, part := range d.Parts[:cached] {
			unreadTokens[i] -= part.Tokens
		}
		unreadTokens[i] = min(max(0, unreadTokens[i]), largestPrompt(d.service.Engine))
		candidates[i].Unread = workload.Work(tokenWork * float64(unreadTokens[i]))
	}
	request := placement.Request{
		Bytes: len(d.body) + bytesPerToken*d.expectedAnswerTokens(), PerRequest: plainWork, PerKilobyte: plainWorkPerKilobyte, Seed: xxhash.Sum64String(string(d.ID)) + uint64(d.attempts),
	}
	if d.service.Engine != nil {
		request.PerRequest, request.PerKilobyte = d.g.reading.UsualWork(d.service, tokensPerSlot), d.g.reading.UsualWork(d.service, tokensPerKilobyte)
	}
	load := d.g.opts.Backends.Load(d.service.Name)
	means := placement.MeansOf(candidates)
	if d.service.Engine != nil && means.HasPeers {
		request.PerRequest = d.g.reading.UsualWork(d.service, tokensPerKnownSlot)
	}
	if pool.IsSampled() && !means.HasPeers {
		means.InFlight = load.MeanPeerInFlight(now)
	}
	if d.model != "" {
		d.utilization = placement.Utilization(candidates)
		if pool.IsSampled() {
			d.utilization = load.Utilization(pool, now)
		}
	}
	index := placement.ChooseWithMeans(request, candidates, means)
	chosen := eligible[index]
	if chosen.Take(nodes, now).Verdict != selfreport.Admitted {
		// Another request has taken the server's last admission since.
		return d.chooseServer()
	}
	chosen.RecordPromptParts(parts, now)
	d.unreadTokens, d.unread, d.ahead = unreadTokens[index], candidates[index].Unread, placement.EstimateUnread(candidates[index], means.Unread)
	d.slowness = candidates[index].View.Slowness
	d.countPlacement()
	return chosen, nil
}

// believedPromptTokens returns the size of the prompt that the caller claims, at most that of the largest prompt that a server can read.
func (d *dispatcher) believedPromptTokens() int {
	return min(max(0, d.PromptTokens), largestPrompt(d.service.Engine))
}

// largestPrompt returns the number of tokens of the largest prompt that a server can read; callers may claim any number.
func largestPrompt(engine *route.Engine) int {
	if engine == nil || engine.CacheTokens <= 0 {
		return maxPromptTokens
	}
	return engine.CacheTokens
}

// askedModel returns the model that is to answer: the node's choice or the caller's.
func (d *dispatcher) askedModel() route.Model {
	if d.model != "" {
		return d.model
	}
	return d.Model
}

// noServer returns the rejection of a request that none of the servers takes now. The caller may retry when the first one does, or later, so
// that rejected callers don't return at the same time.
func (d *dispatcher) noServer(servers []*backend.TrackedServer, nodes int, now time.Time) *rejection {
	rejected := retryLater(reasonNoServer)
	switch {
	case len(servers) > 0:
	case d.regions().IsRestricted() && d.g.opts.Backends.Pool(d.service.Name).HasPresent():
		rejected.reason = reasonRegions
	case d.g.opts.Backends.HasEvacuated(d.service.Name):
		rejected.reason = reasonEvacuated
	case d.regions().IsRestricted():
		rejected.reason = reasonRegions
	}
	var first time.Time
	for _, m := range servers {
		if until := m.Admission(nodes, now).Until; !until.IsZero() && (first.IsZero() || until.Before(first)) {
			first = until
		}
	}
	if !first.IsZero() {
		rejected.retryAfter = max(rejected.retryAfter, d.spreadReturn(first.Sub(now)))
	}
	return rejected
}

// returnSpread is the part of a wait by which callers return later than after the wait.
const returnSpread = 0.5

// spreadReturn returns a time between the wait and the longest Retry-After of the request, by the request's id.
func (d *dispatcher) spreadReturn(wait time.Duration) time.Duration {
	spread := time.Duration(returnSpread * float64(wait))
	if d.HasTimeout {
		spread = min(spread, max(0, d.Timeout/maxRetryAfterDivisor-wait))
	}
	return wait + time.Duration(rendezvous.Fraction(xxhash.Sum64String(string(d.ID)))*float64(spread))
}

// placementCandidate converts a server's state to the input of package placement.
func (d *dispatcher) placementCandidate(m *backend.TrackedServer, now time.Time) placement.Candidate {
	view := m.View(now)
	if d.service.Engine == nil {
		// These requests have ended before other nodes hear of them, and all nodes would choose the same few servers.
		view.Peers.At = time.Time{}
	}
	return placement.Candidate{
		View: view, Slots: m.Slots, IsSameDomain: m.FailureDomain == d.g.opts.FailureDomain, IsTried: slices.Contains(d.triedServers, m.ID),
	}
}

// expectedAnswerTokens returns the caller's estimate of the answer's length, or half of the maximum if the caller gave none.
func (d *dispatcher) expectedAnswerTokens() int {
	if d.ExpectedAnswerTokens > 0 {
		return min(d.ExpectedAnswerTokens, d.MaxAnswerTokens)
	}
	return d.MaxAnswerTokens / 2
}

// promptPartKeys returns the cache keys, model and part, of the parts of the prompt that other requests may share.
func (d *dispatcher) promptPartKeys() []string {
	var keys []string
	for _, part := range d.Parts[:max(0, len(d.Parts)-1)] {
		keys = append(keys, string(d.model)+"/"+part.ID)
	}
	return keys
}

// pickVersion returns the version choice of an attempt that is made now.
func (d *dispatcher) pickVersion(now time.Time) versionrollout.Choice {
	return d.g.opts.Versions.Pick(d.service.Name, d.Session, string(d.ID), d.g.prompts.isShort(d.route.Name), now)
}

// hasServer reports whether a server takes the request now, which may be the one of the current attempt. It changes nothing of that attempt.
func (d *dispatcher) hasServer() bool { return d.hasServerBesides("") }

// hasServerBesides is hasServer for servers other than the given one.
func (d *dispatcher) hasServerBesides(except api.ServerID) bool {
	now, nodes := time.Now(), d.g.opts.RecentNodeCount()
	hasOther := func(choice versionrollout.Choice) bool {
		admitting := admittingServers(d.versionPool(choice).Present(), nodes, now)
		return slices.ContainsFunc(admitting, func(m *backend.TrackedServer) bool { return m.ID != except })
	}
	choice := d.pickVersion(now)
	if hasOther(choice) {
		return true
	}
	if !choice.UseTarget || choice.IsStrict {
		return false
	}
	choice.UseTarget = false
	return hasOther(choice)
}

// versionPool returns the servers of the chosen version. If none is in service, it returns those of all versions, unless the choice is strict. A server
// that takes no requests for some time doesn't count as missing: the other version may be faulty.
func (d *dispatcher) versionPool(choice versionrollout.Choice) *backend.Pool {
	if choice.Target == "" {
		return d.g.opts.Backends.PoolWithin(d.service.Name, d.regions())
	}
	pool := d.g.opts.Backends.PoolOfWithin(d.service.Name, choice.Target, !choice.UseTarget, d.regions())
	if !choice.IsStrict && !pool.HasPresent() {
		return d.g.opts.Backends.PoolWithin(d.service.Name, d.regions())
	}
	return pool
}

// eligibleServers returns the servers of a pool among which the request's server is chosen: the pool's candidates that take a request now, or all
// servers that do if there is no such candidate.
func (d *dispatcher) eligibleServers(pool *backend.Pool, selection backend.Selection, nodes int, now time.Time) []*backend.TrackedServer {
	if d.versionChoice.UseTarget && d.versionChoice.FillShare > 0 {
		filled := d.preferFillTarget(admittingServers(pool.Present(), nodes, now), now)
		return rendezvous.Rank(selection.Key, filled, func(m *backend.TrackedServer) string { return string(m.ID) })
	}
	if eligible := admittingServers(pool.Candidates(selection), nodes, now); len(eligible) > 0 {
		return eligible
	}
	return admittingServers(pool.Present(), nodes, now)
}

// admittingServers removes the servers that take no request now from a list of its own.
func admittingServers(servers []*backend.TrackedServer, nodes int, now time.Time) []*backend.TrackedServer {
	return slices.DeleteFunc(servers, func(m *backend.TrackedServer) bool {
		return m.Admission(nodes, now).Verdict != selfreport.Admitted
	})
}
