// Package keyowner decides whether this node runs the request of an idempotency key, another node does, or nobody may.
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

// retryClaim is when a caller should try again whose key could not be claimed.
const retryClaim = 2 * time.Second

// Members tells which incarnations live.
type Members interface {
	FindURL(node api.NodeID, incarnation api.Incarnation) (url string, ok bool)
}

// Claimer makes claims of callers' own keys; *claim.Claimer is one.
type Claimer interface {
	Claim(ctx context.Context, req claim.Request) (claim.Ownership, error)
	Release(req claim.Request)
}

// Options holds what a resolver is made of.
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
	return r.resolveOwn(ctx, req)
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
		// Also a repeatable request is not run here where that incarnation is gone: it may have billed the request, and
		// bills under issued keys carry no key by which a second one would be known.
		return none, &router.ErrHeldByPeer{Node: issued.Node, Incarnation: issued.Incarnation}
	}
	use := idem.Use{RequestID: req.RequestID, Fingerprint: idem.Fingerprint(req.Fingerprint), Expires: issued.Expires}
	first, isFirst, err := r.opts.UsedKeys.RecordUse(req.Key, use, now)
	switch {
	case idem.IsErrKeyReused(err):
		return none, problemReused()
	case err != nil:
		return none, notRun(api.ReasonOverloaded, "this node remembers as many used keys as it may")
	case !isFirst:
		resolution, err := r.usedBefore(req)
		// Bills under issued keys carry no key, so that a second run is known by the id of the first.
		resolution.BillRequestID = first.RequestID
		return resolution, err
	}
	return none, nil
}

func (r *Resolver) resolveOwn(ctx context.Context, req router.KeyRequest) (router.KeyResolution, error) {
	claimed, err := r.opts.Claimer.Claim(ctx, claimOf(req))
	switch {
	case idem.IsErrKeyReused(err):
		return router.KeyResolution{}, problemReused()
	case err != nil && req.AtMostOnce:
		problem := notRun(api.ReasonClaimUnavailable, "the key could not be claimed; use an issued key, or try again")
		return router.KeyResolution{}, router.AdjustOutcome(problem, req.Key, req.FirstUse)
	case err != nil:
		// A repeatable request may run without a claim: at worst it runs twice, and its bill carries the key.
		return router.KeyResolution{MayHaveRun: !req.FirstUse}, nil
	case claimed.IsNew:
		return router.KeyResolution{}, nil
	case claimed.Owner.Node == r.opts.Node && claimed.Owner.Incarnation == r.opts.Incarnation:
		return r.usedBefore(req)
	}
	return r.elsewhere(req, claimed.Owner)
}

// elsewhere sends a request to its owner; a repeatable one whose owner is gone runs here.
func (r *Resolver) elsewhere(req router.KeyRequest, owner claim.Owner) (router.KeyResolution, error) {
	if _, ok := r.opts.Members.FindURL(owner.Node, owner.Incarnation); !ok && !req.AtMostOnce {
		return router.KeyResolution{MayHaveRun: true}, nil
	}
	return router.KeyResolution{}, &router.ErrHeldByPeer{Node: owner.Node, Incarnation: owner.Incarnation, RequestID: owner.RequestID}
}

// usedBefore is asked about a key that this node used before and whose answer it no longer holds.
func (r *Resolver) usedBefore(req router.KeyRequest) (router.KeyResolution, error) {
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

func notRun(reason api.Reason, detail string) *api.Problem {
	problem := api.NewProblem(reason, http.StatusServiceUnavailable, api.OutcomeNotRun, detail)
	problem.RetryAfter = retryClaim
	return problem
}
