package client

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// TestRejectionIsReturnedIfRetryExceedsDeadline checks that a rejection is returned at once if its RetryAfter ends after
// the caller's deadline.
func TestRejectionIsReturnedIfRetryExceedsDeadline(t *testing.T) {
	c, one, two := newFleet(t, Options{})
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		problem := api.NewProblem(api.ReasonOverloaded, http.StatusServiceUnavailable, api.OutcomeNotRun, "short of servers")
		problem.RetryAfter = 2 * time.Minute
		writeProblem(w, problem)
	}
	one.on("POST /v1/chat/completions", refuse)
	two.on("POST /v1/chat/completions", refuse)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	_, err := c.Chat(ctx, ChatCall{})
	var problem *api.Problem
	qt.Assert(t, errors.As(err, &problem), qt.IsTrue, qt.Commentf("%v", err))
	qt.Check(t, problem.Reason, qt.Equals, api.ReasonOverloaded)
	qt.Check(t, ctx.Err(), qt.IsNil)
	qt.Check(t, len(one.calls())+len(two.calls()), qt.Equals, 1)
}

// TestDeadlineHeaderLeavesTimeForResponse checks that the deadline sent to the node is early enough for its rejection to arrive in time.
func TestDeadlineHeaderLeavesTimeForResponse(t *testing.T) {
	for _, test := range []struct{ left, most time.Duration }{
		{time.Minute, time.Minute - maxResponseMargin},
		{time.Second, 900 * time.Millisecond},
	} {
		ctx, cancel := context.WithTimeout(t.Context(), test.left)
		header := http.Header{}
		setDeadline(ctx, header)
		cancel()
		deadline, err := time.ParseDuration(header.Get(api.HeaderDeadline))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, deadline <= test.most, qt.IsTrue, qt.Commentf("%s of %s", deadline, test.left))
	}
}
