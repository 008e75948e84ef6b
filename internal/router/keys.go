package router

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/answer"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// KeyRequest describes a request for the resolution of its idempotency key.
type KeyRequest struct {
	Team        api.Team
	Key         api.IdempotencyKey
	RequestID   api.RequestID
	Fingerprint answer.Fingerprint
	// AtMostOnce means that the request must not run more than once.
	AtMostOnce bool
	// FirstUse is the caller's assertion that it has never sent Key before.
	FirstUse bool
	// Retention is how long the finished answer is kept; 0 means the node's default.
	Retention time.Duration
	// mayHaveRunBefore means that an earlier request with the key may have run on another node, so that no rejection may have
	// the outcome NotRun.
	mayHaveRunBefore bool
	// billRequestID is the id under which an earlier run of the request may have been billed; empty if there was none.
	billRequestID api.RequestID
}

// billID returns the id under which a run of the request is billed. Two runs of a request have the same id, so that they are
// billed once.
func (k KeyRequest) billID() api.RequestID {
	if k.billRequestID != "" {
		return k.billRequestID
	}
	return k.RequestID
}

// KeyResolution is the result of resolving the key of a request that this incarnation may run.
type KeyResolution struct {
	// MayHaveRun means that an earlier request with the key, which is repeatable, may have run on another node.
	MayHaveRun bool
	// BillRequestID is the id under which this incarnation may have billed an earlier run; empty if there was none.
	BillRequestID api.RequestID
}

// KeyResolver decides whether this node may run the request of a key.
type KeyResolver interface {
	// Resolve returns no error if this incarnation may run the request, an *ErrHeldByPeer if another incarnation does, or a
	// *api.Problem.
	Resolve(ctx context.Context, req KeyRequest) (KeyResolution, error)
	// Release records that a request was never sent to a server and never will be, so that its key may be used again.
	Release(req KeyRequest)
}

// begin returns the known answer of a key, or a new answer whose run it starts. Of several concurrent callers with the same
// key, one resolves it and the others share the result.
func (r *Router) begin(req KeyRequest, kind answer.Kind, start func(ans *answer.Answer, key KeyRequest)) (*answer.Answer, error) {
	if req.Key == "" {
		return r.open(req, kind, start)
	}
	flight := fmt.Sprintf("%s/%x/%s", req.Team, req.Fingerprint, req.Key)
	shared, err, _ := r.resolving.Do(flight, func() (any, error) {
		known, ok, err := r.opts.Answers.FindKey(req.Team, req.Key, req.Fingerprint)
		if err != nil {
			return nil, notRun(api.ReasonKeyReused, http.StatusUnprocessableEntity, "the key was used for another request")
		}
		if ok {
			return known, nil
		}
		// The resolution outlives its first caller, since others may share it.
		ctx, cancel := context.WithTimeout(r.root, resolveTimeout)
		defer cancel()
		resolution, err := r.opts.Keys.Resolve(ctx, req)
		if err != nil {
			return nil, err
		}
		req.mayHaveRunBefore = resolution.MayHaveRun
		req.billRequestID = resolution.BillRequestID
		return r.open(req, kind, start)
	})
	if err != nil {
		return nil, err
	}
	return shared.(*answer.Answer), nil
}

// open creates a new answer and starts its run.
func (r *Router) open(req KeyRequest, kind answer.Kind, start func(ans *answer.Answer, key KeyRequest)) (*answer.Answer, error) {
	ans, err := r.opts.Answers.Open(answer.OpenOptions{
		ID: req.RequestID, Team: req.Team, Kind: kind, Key: req.Key, Fingerprint: req.Fingerprint, Retention: req.Retention,
	})
	if err != nil {
		r.release(req)
		problem := notRunRetry(api.ReasonOverloaded, "this node holds as many requests as it may", shortRetryAfter)
		return nil, req.adjustOutcome(problem)
	}
	start(ans, req)
	return ans, nil
}

func (r *Router) release(req KeyRequest) {
	if req.Key != "" {
		r.opts.Keys.Release(req)
	}
}

// adjustOutcome replaces the outcome NotRun by MayHaveRun if an earlier request with the key may have run.
func (k KeyRequest) adjustOutcome(problem *api.Problem) *api.Problem {
	if k.mayHaveRunBefore && problem.Outcome == api.OutcomeNotRun {
		problem.Outcome = api.OutcomeMayHaveRun
	}
	return problem
}

// AdjustOutcome returns the problem of a request that is rejected before its key was resolved. Unless the caller asserts that
// it has never sent the key before, an earlier request may have run, and the outcome NotRun becomes MayHaveRun.
func AdjustOutcome(problem *api.Problem, key api.IdempotencyKey, firstUse bool) *api.Problem {
	mayHaveRunBefore := key != "" && !firstUse
	return KeyRequest{mayHaveRunBefore: mayHaveRunBefore}.adjustOutcome(problem)
}
