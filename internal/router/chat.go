package router

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/answer"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/poison"
	"github.com/monsoonrail/monsoonrail/internal/session"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// ChatCall is a chat completion request of a team whose form has been validated.
type ChatCall struct {
	Team     api.Team
	Service  api.Service
	Class    api.Class
	Request  api.ChatRequest
	Session  api.SessionToken
	Priority api.Priority
	// Deadline is how long the caller waits; 0 means the policy's deadline.
	Deadline time.Duration
	// Key is the idempotency key; empty if the caller sent none.
	Key         api.IdempotencyKey
	Fingerprint answer.Fingerprint
	// FirstUse is the caller's assertion that it has never sent Key before.
	FirstUse bool
	// AcceptsRestart means that the caller can discard streamed text and read it again from the beginning.
	AcceptsRestart bool
}

// Chat returns the answer of a call; it runs the request unless its key is known. The error is a *api.Problem or an
// *ErrHeldByPeer.
func (r *Router) Chat(call ChatCall) (*answer.Answer, error) {
	plan, err := r.planChat(call, time.Now())
	if err != nil {
		return nil, AdjustOutcome(AsProblem(err, api.OutcomeNotRun), call.Key, call.FirstUse)
	}
	key := KeyRequest{
		Team: call.Team, Key: call.Key, RequestID: r.newRequestID(), Fingerprint: call.Fingerprint, FirstUse: call.FirstUse,
		Retention: plan.retention,
	}
	return r.begin(key, answer.KindChat, func(ans *answer.Answer, key KeyRequest) {
		run := &chatRun{router: r, plan: plan, answer: ans, key: key}
		r.start(startOptions{
			answer: ans, key: key, runToCompletion: call.Key != "", deadline: plan.deadline, streamDeadline: plan.streamDeadline, run: run.run,
		})
	})
}

// chatPlan is a call together with the configuration that applied when it arrived.
type chatPlan struct {
	call     ChatCall
	service  api.Service
	class    api.Class
	deadline time.Time
	// streamDeadline is the deadline of a streamed answer that has begun by deadline; it is never before deadline.
	streamDeadline time.Time
	// retention is how long the finished answer is kept; 0 means the node's default.
	retention time.Duration
	// requested restricts the choice to a model or version; zero for the automatic choice.
	requested api.VersionID
	// claims are the claims of the session token; nil if the caller sent none.
	claims *session.Claims
	// prefix is a hash of the beginning of the prompt, prefixTokens the length of that beginning; both are 0 if there is none.
	prefix       uint64
	prefixTokens api.Tokens
	// fingerprint identifies the request's content to the guard.
	fingerprint poison.Fingerprint
}

func (p *chatPlan) scope(domain api.FailureDomain) fleet.Scope {
	return fleet.Scope{Team: p.call.Team, Service: p.service, Class: p.class, FailureDomain: domain}
}

func (r *Router) planChat(call ChatCall, now time.Time) (*chatPlan, error) {
	cfg := r.opts.Configs.Current()
	if cfg == nil {
		return nil, problemNoConfig()
	}
	service, err := findEngineService(cfg, call)
	if err != nil {
		return nil, err
	}
	class, err := findClass(service, call.Class)
	if err != nil {
		return nil, err
	}
	plan := &chatPlan{call: call, service: service.Name, class: class}
	policy := cfg.PolicyFor(plan.scope(r.opts.FailureDomain), now)
	if !policy.IsServiceAllowed(service.Name) {
		return nil, problemServiceNotAllowed(service.Name)
	}
	if plan.requested, err = findRequested(service, policy, call.Request.Model); err != nil {
		return nil, err
	}
	if plan.claims, err = r.verifySession(plan, now); err != nil {
		return nil, err
	}
	plan.fingerprint = poison.FingerprintOf([]byte(plan.service), call.Fingerprint[:])
	plan.prefix, plan.prefixTokens = prefixOf(call)
	plan.deadline = now.Add(boundedTimeout(call.Deadline, policy.Deadline))
	plan.streamDeadline = plan.deadline
	plan.retention = policy.KeepAnswers
	if call.Request.Stream {
		plan.streamDeadline = now.Add(boundedStreamDuration(call.Deadline, policy.Deadline))
	}
	return plan, nil
}

func findEngineService(cfg *fleet.Config, call ChatCall) (*fleet.Service, error) {
	name := call.Service
	if team, ok := cfg.FindTeam(call.Team); ok && name == "" {
		name = team.Service
	}
	if name == "" {
		name = firstEngineService(cfg)
	}
	service, ok := cfg.FindService(name)
	if !ok || service.Kind != fleet.KindEngine {
		return nil, notRun(api.ReasonUnknownService, http.StatusNotFound, fmt.Sprintf("no engine service %q", name))
	}
	return service, nil
}

func firstEngineService(cfg *fleet.Config) api.Service {
	i := slices.IndexFunc(cfg.Services, func(s fleet.Service) bool { return s.Kind == fleet.KindEngine })
	if i < 0 {
		return ""
	}
	return cfg.Services[i].Name
}

func findClass(service *fleet.Service, class api.Class) (api.Class, error) {
	if class == "" && len(service.Classes) > 0 {
		return service.Classes[0], nil
	}
	if class == "" || slices.Contains(service.Classes, class) {
		return class, nil
	}
	return "", notRun(api.ReasonBadRequest, http.StatusBadRequest,
		fmt.Sprintf("class %q is none of %v", class, service.Classes))
}

// findRequested returns the model or version that the caller names. A version that exists but isn't allowed gets the same
// problem as one that doesn't exist, so that callers can't find out that it exists.
func findRequested(service *fleet.Service, policy fleet.Policy, model string) (api.VersionID, error) {
	if model == api.ModelAuto {
		return api.VersionID{}, nil
	}
	requested := api.ParseVersionID(model)
	for _, m := range service.Models {
		for _, v := range m.Versions {
			id := api.VersionID{Model: m.Name, Version: v.Name}
			if m.Name == requested.Model && (requested.Version == "" || requested.Version == v.Name) && policy.IsAllowed(id) {
				return requested, nil
			}
		}
	}
	return api.VersionID{}, notRun(api.ReasonNotAllowed, http.StatusForbidden,
		fmt.Sprintf("model %q is unknown or not allowed", model))
}

func problemServiceNotAllowed(service api.Service) *api.Problem {
	return notRun(api.ReasonNotAllowed, http.StatusForbidden, fmt.Sprintf("service %q is not allowed", service))
}

func (r *Router) verifySession(plan *chatPlan, now time.Time) (*session.Claims, error) {
	if plan.call.Session == "" {
		return nil, nil
	}
	claims, err := r.opts.Sessions.Verify(plan.call.Session,
		session.VerifyOptions{Team: plan.call.Team, Service: plan.service, Now: now})
	if err != nil {
		return nil, notRun(api.ReasonBadSession, http.StatusBadRequest, "session token is not valid: "+sessionErrorText(err))
	}
	if plan.requested != (api.VersionID{}) && !matchesRequested(plan.requested, claims.Version) {
		return nil, notRun(api.ReasonBadSession, http.StatusBadRequest,
			fmt.Sprintf("session is on %s, the call names %s", claims.Version, plan.requested))
	}
	return &claims, nil
}

// sessionErrorText names the fault without revealing whether a token is forged or belongs to another team.
func sessionErrorText(err error) string {
	if session.IsErrTokenExpired(err) {
		return "expired"
	}
	return "unknown"
}

func matchesRequested(requested, v api.VersionID) bool {
	return requested.IsZero() || requested == v || requested.Version == "" && requested.Model == v.Model
}
