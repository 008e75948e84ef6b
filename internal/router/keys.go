package router

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/answer"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// KeyRequest is a request that carries an idempotency key.
type KeyRequest struct {
	Team        api.Team
	Key         api.IdempotencyKey
	RequestID   api.RequestID
	Fingerprint answer.Fingerprint
	// AtMostOnce tells that the request must run at most once.
	AtMostOnce bool
	// FirstUse is the caller's word that it never sent the key before.
	FirstUse bool
	// Retention is how long the finished answer is kept; 0 leaves it to the node.
	Retention time.Duration
	// mayHaveRunBefore tells that an earlier try may have run elsewhere, so that no refusal may say NotRun.
	mayHaveRunBefore bool
	// billRequestID is the id under which an earlier run of the request may have been billed; empty if there was none.
	billRequestID api.RequestID
}

// billID returns the id under which a run of the request is billed, so that two runs are billed once.
func (k KeyRequest) billID() api.RequestID {
	if k.billRequestID != "" {
		return k.billRequestID
	}
	return k.RequestID
}

// KeyResolution tells what is known of a request that this incarnation may run.
type KeyResolution struct {
	// MayHaveRun tells that an earlier try of a repeatable request may have run elsewhere.
	MayHaveRun bool
	// BillRequestID is the id under which this incarnation may have billed an earlier try; empty if it has not.
	BillRequestID api.RequestID
}

// KeyResolver decides whether this node may run the request of a key.
type KeyResolver interface {
	// Resolve returns no error if this incarnation may run the request, ErrElsewhere if another one does, or a *api.Problem.
	Resolve(ctx context.Context, req KeyRequest) (KeyResolution, error)
	// Release tells that a request was never handed to a server and never will be, so that its key may be tried again.
	Release(req KeyRequest)
}

// begin returns the known answer of a key, or a new one whose run it starts. Of several callers with the same key
// one resolves it and the others share what comes of it.
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

// open makes a new answer and starts its run.
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

// adjustOutcome returns a problem that says NotRun only if no earlier try can have run.
func (k KeyRequest) adjustOutcome(problem *api.Problem) *api.Problem {
	if k.mayHaveRunBefore && problem.Outcome == api.OutcomeNotRun {
		problem.Outcome = api.OutcomeMayHaveRun
	}
	return problem
}

// AdjustOutcome returns the problem of a request that is refused before its key was asked about: unless the caller says that
// it is the first try, an earlier one may have run.
func AdjustOutcome(problem *api.Problem, key api.IdempotencyKey, firstTry bool) *api.Problem {
	mayHaveRunBefore := key != "" && !firstTry
	return KeyRequest{mayHaveRunBefore: mayHaveRunBefore}.adjustOutcome(problem)
}
