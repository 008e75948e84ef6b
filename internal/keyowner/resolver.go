// Package keyowner decides whether the request of an idempotency key may run, and on which node.
package keyowner

import (
	"context"
	"net/http"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/claim"
	"github.com/monsoonrail/monsoonrail/internal/idem"
	"github.com/monsoonrail/monsoonrail/internal/router"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// claimRetryAfter is the delay after which a caller should retry a request that was not run.
const claimRetryAfter = 2 * time.Second

// Members finds the live incarnations of nodes.
type Members interface {
	FindURL(node api.NodeID, incarnation api.Incarnation) (url string, ok bool)
}

// Claimer claims keys that callers chose; *claim.Claimer implements it.
type Claimer interface {
	Claim(ctx context.Context, req claim.Request) (claim.Ownership, error)
	Release(req claim.Request)
}

// Options configures New.
type Options struct {
	Node        api.NodeID
	Incarnation api.Incarnation
	Issuer      *idem.Issuer
	UsedKeys    *idem.UsedKeys
	Claimer     Claimer
	Members     Members
}

// Resolver implements router.KeyResolver.
type Resolver struct {
	opts Options
}

// New returns a resolver.
func New(opts Options) *Resolver { return &Resolver{opts: opts} }

// Resolve implements router.KeyResolver.
func (r *Resolver) Resolve(ctx context.Context, req router.KeyRequest) (router.KeyResolution, error) {
	if idem.IsIssued(req.Key) {
		return r.resolveIssued(req, time.Now())
	}
	return r.resolveCallerKey(ctx, req)
}

// Release implements router.KeyResolver.
func (r *Resolver) Release(req router.KeyRequest) {
	if idem.IsIssued(req.Key) {
		r.opts.UsedKeys.Release(req.Key, req.RequestID)
		return
	}
	r.opts.Claimer.Release(claimOf(req))
}

func (r *Resolver) resolveIssued(req router.KeyRequest, now time.Time) (router.KeyResolution, error) {
	var none router.KeyResolution
	issued, err := r.opts.Issuer.Verify(req.Key, req.Team, now)
	if idem.IsErrKeyExpired(err) {
		return none, api.NewProblem(api.ReasonKeyExpired, http.StatusGone, api.OutcomeMayHaveRun, "the issued key has expired")
	}
	if err != nil {
		problem := api.NewProblem(api.ReasonBadRequest, http.StatusBadRequest, api.OutcomeNotRun, "the issued key is not valid")
		return none, router.AdjustOutcome(problem, req.Key, req.FirstUse)
	}
	if issued.Node != r.opts.Node || issued.Incarnation != r.opts.Incarnation {
		// Not even a repeatable request runs here if that incarnation is gone: it may have billed the request, and bills under
		// issued keys carry no key that would reveal a duplicate.
		return none, &router.ErrHeldByPeer{Node: issued.Node, Incarnation: issued.Incarnation}
	}
	use := idem.Use{RequestID: req.RequestID, Fingerprint: idem.Fingerprint(req.Fingerprint), Expires: issued.Expires}
	first, isFirst, err := r.opts.UsedKeys.RecordUse(req.Key, use, now)
	switch {
	case idem.IsErrKeyReused(err):
		return none, problemReused()
	case err != nil:
		return none, problemNotRun(api.ReasonOverloaded, "this node remembers as many used keys as it may")
	case !isFirst:
		resolution, err := r.resolveUsedHere(req)
		// Bills under issued keys carry no key, so that a second run must be billed under the request id of the first.
		resolution.BillRequestID = first.RequestID
		return resolution, err
	}
	return none, nil
}

func (r *Resolver) resolveCallerKey(ctx context.Context, req router.KeyRequest) (router.KeyResolution, error) {
	claimed, err := r.opts.Claimer.Claim(ctx, claimOf(req))
	switch {
	case idem.IsErrKeyReused(err):
		return router.KeyResolution{}, problemReused()
	case err != nil && req.AtMostOnce:
		problem := problemNotRun(api.ReasonClaimUnavailable, "the key could not be claimed; use an issued key, or try again")
		return router.KeyResolution{}, router.AdjustOutcome(problem, req.Key, req.FirstUse)
	case err != nil:
		// A repeatable request may run without a claim: at worst it runs twice, and its bill carries the key.
		return router.KeyResolution{MayHaveRun: !req.FirstUse}, nil
	case claimed.IsNew:
		return router.KeyResolution{}, nil
	case claimed.Owner.Node == r.opts.Node && claimed.Owner.Incarnation == r.opts.Incarnation:
		return r.resolveUsedHere(req)
	}
	return r.resolveHeldByPeer(req, claimed.Owner)
}

// resolveHeldByPeer refers a request to the owner of its key. A repeatable request whose owner is gone runs here.
func (r *Resolver) resolveHeldByPeer(req router.KeyRequest, owner claim.Owner) (router.KeyResolution, error) {
	if _, ok := r.opts.Members.FindURL(owner.Node, owner.Incarnation); !ok && !req.AtMostOnce {
		return router.KeyResolution{MayHaveRun: true}, nil
	}
	return router.KeyResolution{}, &router.ErrHeldByPeer{Node: owner.Node, Incarnation: owner.Incarnation, RequestID: owner.RequestID}
}

// resolveUsedHere resolves a key that this node used before and whose answer it no longer has.
func (r *Resolver) resolveUsedHere(req router.KeyRequest) (router.KeyResolution, error) {
	if !req.AtMostOnce {
		return router.KeyResolution{MayHaveRun: true}, nil
	}
	return router.KeyResolution{}, api.NewProblem(api.ReasonUnknownAnswer, http.StatusGone, api.OutcomeMayHaveRun,
		"the key was used before, and the answer is no longer kept")
}

func claimOf(req router.KeyRequest) claim.Request {
	return claim.Request{Team: req.Team, Key: req.Key, RequestID: req.RequestID, Fingerprint: idem.Fingerprint(req.Fingerprint)}
}

func problemReused() error {
	return api.NewProblem(api.ReasonKeyReused, http.StatusUnprocessableEntity, api.OutcomeNotRun,
		"the key was used for another request; this one was not run")
}

func problemNotRun(reason api.Reason, detail string) *api.Problem {
	problem := api.NewProblem(reason, http.StatusServiceUnavailable, api.OutcomeNotRun, detail)
	problem.RetryAfter = claimRetryAfter
	return problem
}
