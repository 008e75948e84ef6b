package router

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/registry"
	"github.com/monsoonrail/monsoonrail/internal/session"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// EligibleVersion is a version that may run a request.
type EligibleVersion struct {
	ID      api.VersionID
	Version fleet.Version
}

// VersionRequest describes the request for which a version is chosen.
type VersionRequest struct {
	Team         api.Team
	Service      api.Service
	Class        api.Class
	Policy       fleet.Policy
	Eligible     []EligibleVersion
	PromptTokens api.Tokens
	// MaxAnswerTokens bounds the length of the answer; 0 means no bound.
	MaxAnswerTokens api.Tokens
	// Pin is the version to which the session is pinned; zero if there is none.
	Pin api.VersionID
	// MayEscalate means that the caller gets the answer only once it is complete, so that a first answer can be replaced.
	MayEscalate bool
	Deadline    time.Time
	Now         time.Time
}

// ServerRequest describes the request for which a server is chosen.
type ServerRequest struct {
	Service api.Service
	Version api.VersionID
	// Prefix is a hash of the beginning of the prompt, PrefixTokens the length of that beginning; both are 0 if there is none.
	Prefix       uint64
	PrefixTokens api.Tokens
	PromptTokens api.Tokens
	// MaxAnswerTokens bounds the length of the answer; 0 means no bound.
	MaxAnswerTokens api.Tokens
	Priority        api.Priority
	Now             time.Time
}

// AdmissionRequest describes a request that asks for admission.
type AdmissionRequest struct {
	ID      api.RequestID
	Team    api.Team
	Service api.Service
	Class   api.Class
	// PromptTokens is 0 for a plain call. MaxAnswerTokens bounds the length of the answer; 0 means no bound.
	PromptTokens    api.Tokens
	MaxAnswerTokens api.Tokens
	Priority        api.Priority
	Deadline        time.Time
	Policy          fleet.Policy
	Weight          float64
}

func (c *chatRun) admissionRequest() AdmissionRequest {
	cfg := c.router.opts.Configs.Current()
	weight := 1.0
	if team, ok := cfg.FindTeam(c.plan.call.Team); ok {
		weight = team.Weight
	}
	return AdmissionRequest{
		ID:              c.answer.ID,
		Team:            c.plan.call.Team,
		Service:         c.plan.service,
		Class:           c.plan.class,
		PromptTokens:    promptTokens(c.plan.call.Request),
		MaxAnswerTokens: c.plan.call.Request.MaxTokens,
		Priority:        c.plan.call.Priority,
		Deadline:        c.plan.deadline,
		Policy:          cfg.PolicyFor(c.plan.scope(c.router.opts.FailureDomain), time.Now()),
		Weight:          weight,
	}
}

// choose waits until a version and a server can run the request.
func (c *chatRun) choose(ctx context.Context) (target, *api.Problem) {
	began := time.Now()
	for {
		to, problem := c.chooseNow(time.Now())
		if problem == nil || problem.Reason != api.ReasonNoServer || time.Now().After(c.noServerDeadline(began, to.restricted)) {
			return to, problem
		}
		if !sleep.For(ctx, retryDelay) {
			return target{}, c.problemEnded(ctx)
		}
	}
}

// noServerDeadline returns until when the request waits for a server. Once its caller has part of the text, it waits until the
// stream's deadline, unless it has no designated server and this node lacks recent reports of its peers to designate one:
// another node may have them.
func (c *chatRun) noServerDeadline(began time.Time, restricted bool) time.Time {
	hasText := c.answer.Len() > 0
	switch {
	case hasText && (!restricted || c.router.opts.Guard.HasRecentPeerReports(time.Now())):
		return c.plan.streamDeadline
	case hasText:
		return began.Add(designatedServerTimeout)
	default:
		return began.Add(serverTimeout(restricted, c.mayHaveRun))
	}
}

// serverTimeout returns how long a request whose caller has no text yet waits for a server.
func serverTimeout(restricted, mayHaveRun bool) time.Duration {
	if restricted && mayHaveRun {
		return designatedServerTimeout
	}
	return noServerTimeout
}

func (c *chatRun) chooseNow(now time.Time) (target, *api.Problem) {
	cfg := c.router.opts.Configs.Current()
	to := target{revision: cfg.Revision}
	pinned, problem := c.pinned(cfg, now, &to)
	if problem != nil {
		return target{}, problem
	}
	eligible := c.eligibleVersions(cfg, now, pinned)
	if len(eligible) == 0 {
		return target{}, c.problem(api.ReasonWithdrawn, http.StatusServiceUnavailable, "no allowed version takes new work")
	}
	allowed, problem := c.router.permitFor(c.plan.fingerprint, c.plan.service, c.mayHaveRun, now)
	to.restricted = allowed.restricted
	if problem != nil {
		return to, problem
	}
	eligible, servers := c.withServers(eligible, allowed, now)
	if len(eligible) == 0 {
		problem := c.problem(api.ReasonNoServer, http.StatusServiceUnavailable, "no server holds an allowed version")
		problem.RetryAfter = shortRetryAfter
		return to, problem
	}
	if candidate, ok := c.reserveCandidate(&eligible, pinned); ok {
		to.choice = VersionChoice{First: candidate, Reason: reasonTrial}
		to.version = candidate
		to.server = c.chooseServer(candidate, servers[candidate], now)
		return to, nil
	}
	policy := cfg.PolicyFor(c.plan.scope(c.router.opts.FailureDomain), now)
	choice, ok := c.router.opts.Versions.ChooseVersion(VersionRequest{
		Team: c.plan.call.Team, Service: c.plan.service, Class: c.plan.class, Policy: policy, Eligible: eligible,
		PromptTokens: promptTokens(c.plan.call.Request), MaxAnswerTokens: c.plan.call.Request.MaxTokens, Pin: pinned,
		MayEscalate: !c.plan.call.Request.Stream && c.plan.claims == nil, Deadline: c.plan.deadline, Now: now,
	})
	if !ok {
		return target{}, c.problem(api.ReasonNotAllowed, http.StatusForbidden, "no version may be taken")
	}
	to.choice = choice
	to.version = choice.First
	to.server = c.chooseServer(choice.First, servers[choice.First], now)
	return to, nil
}

// pinned returns the version to which the session or an earlier part of the answer pins the request; zero if there is none.
func (c *chatRun) pinned(cfg *fleet.Config, now time.Time, to *target) (api.VersionID, *api.Problem) {
	if !c.escalatedTo.IsZero() {
		return c.escalatedTo, nil
	}
	if !c.textVersion.IsZero() && c.stateOf(cfg, c.textVersion, now) != fleet.StateWithdrawn {
		return c.textVersion, nil
	}
	if c.plan.claims == nil {
		return api.VersionID{}, nil
	}
	scope := c.plan.scope(c.router.opts.FailureDomain)
	decision := session.Decide(*c.plan.claims, session.DecideOptions{
		States: cfg, Policy: cfg.PolicyFor(scope, now), Class: c.plan.class,
		FailureDomain: c.router.opts.FailureDomain, Now: now,
	})
	switch decision.Action {
	case session.ActionKeep:
		return decision.Version, nil
	case session.ActionRepin:
		to.repinnedFrom = decision.Version
		return api.VersionID{}, nil
	default:
		return api.VersionID{}, c.problem(decision.Reason, http.StatusConflict,
			fmt.Sprintf("the session's version %s takes no new work", decision.Version))
	}
}

func (c *chatRun) stateOf(cfg *fleet.Config, v api.VersionID, now time.Time) fleet.VersionState {
	scope := c.plan.scope(c.router.opts.FailureDomain)
	scope.Version = v
	return cfg.StateOf(scope, now)
}

// eligibleVersions returns the versions that may run the request; a pinned version may also be draining. If there are none, it
// returns those that are drained on this node only.
func (c *chatRun) eligibleVersions(cfg *fleet.Config, now time.Time, pinned api.VersionID) []EligibleVersion {
	service, ok := cfg.FindService(c.plan.service)
	if !ok {
		return nil
	}
	var eligible, drainedLocally []EligibleVersion
	for _, model := range service.Models {
		for _, version := range model.Versions {
			id := api.VersionID{Model: model.Name, Version: version.Name}
			switch {
			case c.mayRun(cfg, id, now, pinned):
				eligible = append(eligible, EligibleVersion{ID: id, Version: version})
			case c.isHeldBack(cfg, id, now, pinned):
				version.State = fleet.StateServing
				drainedLocally = append(drainedLocally, EligibleVersion{ID: id, Version: version})
			}
		}
	}
	if len(eligible) == 0 {
		return drainedLocally
	}
	return eligible
}

// mayRun implements every rule about the versions on which a request may run.
func (c *chatRun) mayRun(cfg *fleet.Config, id api.VersionID, now time.Time, pinned api.VersionID) bool {
	if !c.isAllowed(cfg, id, now) {
		return false
	}
	state := c.stateOf(cfg, id, now)
	if !pinned.IsZero() {
		return id == pinned && state != fleet.StateWithdrawn
	}
	return state == fleet.StateServing || state == fleet.StateCandidate
}

// isHeldBack reports whether only this node's own evidence against a version keeps the request from it, which is no reason to
// reject the request.
func (c *chatRun) isHeldBack(cfg *fleet.Config, id api.VersionID, now time.Time, pinned api.VersionID) bool {
	if !pinned.IsZero() || c.stateOf(cfg, id, now) != fleet.StateDraining || !c.router.opts.Trials.IsDrainedLocally(c.plan.service, id) {
		return false
	}
	return c.isAllowed(cfg, id, now)
}

// isAllowed reports whether the request asks for this version, or for any, and its team may use it.
func (c *chatRun) isAllowed(cfg *fleet.Config, id api.VersionID, now time.Time) bool {
	if !matchesRequested(c.plan.requested, id) {
		return false
	}
	scope := c.plan.scope(c.router.opts.FailureDomain)
	scope.Version = id
	return cfg.PolicyFor(scope, now).IsAllowed(id)
}

// withServers returns those of the versions that some server can run now, together with these servers.
func (c *chatRun) withServers(eligible []EligibleVersion, allowed permit, now time.Time) ([]EligibleVersion, map[api.VersionID][]*registry.Server) {
	servers := make(map[api.VersionID][]*registry.Server, len(eligible))
	all := c.router.opts.Registry.OfService(c.plan.service)
	if allowed.restricted {
		all = []*registry.Server{allowed.server}
	}
	kept := eligible[:0:0]
	for _, version := range eligible {
		able := usable(all, version.ID, c.failedServers, now)
		if len(able) == 0 {
			continue
		}
		servers[version.ID] = able
		kept = append(kept, version)
	}
	return kept, servers
}

// usable returns the servers that hold a version. It prefers those that have not failed recently and are not overdue with an
// answer; a server to avoid is better than none.
func usable(all []*registry.Server, v api.VersionID, failed []api.ServerID, now time.Time) []*registry.Server {
	var fresh, avoided []*registry.Server
	for _, server := range all {
		if server.IsLeaving() || !v.IsZero() && !server.HasVersion(v) {
			continue
		}
		if slices.Contains(failed, server.ID) || server.IsAvoided(now) || server.IsUnresponsive(now) {
			avoided = append(avoided, server)
			continue
		}
		fresh = append(fresh, server)
	}
	if len(fresh) > 0 {
		return fresh
	}
	return avoided
}

// reasonTrial is the reason of a choice that a roll-out made.
const reasonTrial = "Trial"

// reserveCandidate assigns the request to a candidate version if this node's share of the roll-out calls for it. Otherwise it
// removes the candidates from the choice, since the roll-out alone decides which requests they receive.
func (c *chatRun) reserveCandidate(eligible *[]EligibleVersion, pinned api.VersionID) (api.VersionID, bool) {
	if !pinned.IsZero() {
		return api.VersionID{}, false
	}
	kept := (*eligible)[:0:0]
	for _, version := range *eligible {
		if !c.router.opts.Trials.IsCandidate(c.plan.service, version.ID) {
			kept = append(kept, version)
			continue
		}
		if c.router.opts.Trials.ReserveExposure(c.plan.service, version.ID, c.router.opts.Random()) {
			return version.ID, true
		}
	}
	*eligible = kept
	return api.VersionID{}, false
}

func (c *chatRun) chooseServer(v api.VersionID, able []*registry.Server, now time.Time) *registry.Server {
	i := c.router.opts.Servers.ChooseServer(ServerRequest{
		Service: c.plan.service, Version: v, Prefix: c.plan.prefix, PrefixTokens: c.plan.prefixTokens,
		PromptTokens: promptTokens(c.plan.call.Request), MaxAnswerTokens: c.plan.call.Request.MaxTokens,
		Priority: c.priority, Now: now,
	}, able)
	return able[i]
}

// errStaleChoice means that a choice is no longer valid under the newest configuration and another must be made.
type errStaleChoice struct{ detail string }

func (e *errStaleChoice) Error() string { return e.detail }

// recheckTarget checks a target against the newest configuration right before an attempt is sent.
func (c *chatRun) recheckTarget(to target) error {
	now := time.Now()
	cfg := c.router.opts.Configs.Current()
	pinned := api.VersionID{}
	if c.plan.claims != nil && to.repinnedFrom.IsZero() || !c.textVersion.IsZero() || !c.escalatedTo.IsZero() {
		pinned = to.version
	}
	if !c.mayRun(cfg, to.version, now, pinned) && !c.isHeldBack(cfg, to.version, now, pinned) {
		return &errStaleChoice{detail: fmt.Sprintf("%s takes no new work", to.version)}
	}
	if to.server.IsLeaving() {
		return &errStaleChoice{detail: fmt.Sprintf("server %s is leaving", to.server.ID)}
	}
	return nil
}
