package router

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// shortRetryAfter is when a caller should retry if the shortage probably ends soon.
	shortRetryAfter = time.Second
	// longRetryAfter is when a caller should retry if the shortage probably lasts longer.
	longRetryAfter = 5 * time.Second
)

// ErrHeldByPeer means that another node holds the request; the caller layer forwards the request to that node.
type ErrHeldByPeer struct {
	Node        api.NodeID
	Incarnation api.Incarnation
	// RequestID is set if the request is known to have begun on that node.
	RequestID api.RequestID
}

// Error implements error.
func (e *ErrHeldByPeer) Error() string {
	return fmt.Sprintf("request belongs to node %s incarnation %s", e.Node, e.Incarnation)
}

// AsErrHeldByPeer returns the *ErrHeldByPeer in err's chain.
func AsErrHeldByPeer(err error) (*ErrHeldByPeer, bool) {
	var target *ErrHeldByPeer
	return target, errors.As(err, &target)
}

// AsProblem returns the problem in err's chain, or else an internal problem with this outcome.
func AsProblem(err error, outcome api.Outcome) *api.Problem {
	var problem *api.Problem
	if errors.As(err, &problem) {
		return problem
	}
	return api.NewProblem(api.ReasonInternal, http.StatusInternalServerError, outcome, err.Error())
}

func notRun(reason api.Reason, status int, detail string) *api.Problem {
	return api.NewProblem(reason, status, api.OutcomeNotRun, detail)
}

func notRunRetry(reason api.Reason, detail string, after time.Duration) *api.Problem {
	problem := notRun(reason, http.StatusServiceUnavailable, detail)
	problem.RetryAfter = after
	return problem
}

func problemDraining() *api.Problem {
	return notRunRetry(api.ReasonDraining, "this node is stopping; ask for addresses again", shortRetryAfter)
}

func problemNoConfig() *api.Problem {
	return notRunRetry(api.ReasonConfigurationStale, "this node holds no configuration yet", longRetryAfter)
}

// withRetryAfter sets when the caller of a repeatable request should retry, if the cause is temporary.
func withRetryAfter(problem *api.Problem) *api.Problem {
	switch problem.Reason {
	case api.ReasonServerFailed, api.ReasonDeadline, api.ReasonDraining:
		problem.RetryAfter = shortRetryAfter
	case api.ReasonPoison:
		problem.RetryAfter = longRetryAfter
	}
	return problem
}

// outcomeOf returns the outcome to report for a request that failed.
func outcomeOf(mayHaveRun bool) api.Outcome {
	if mayHaveRun {
		return api.OutcomeMayHaveRun
	}
	return api.OutcomeNotRun
}
