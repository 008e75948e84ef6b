package keyowner_test

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/claim"
	"github.com/monsoonrail/monsoonrail/internal/idem"
	"github.com/monsoonrail/monsoonrail/internal/keyowner"
	"github.com/monsoonrail/monsoonrail/internal/router"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// fakeClaimer returns the same result for every claim and records the released ones.
type fakeClaimer struct {
	claimed  claim.Ownership
	err      error
	released []api.RequestID
}

func (c *fakeClaimer) Claim(context.Context, claim.Request) (claim.Ownership, error) {
	return c.claimed, c.err
}
func (c *fakeClaimer) Release(req claim.Request) { c.released = append(c.released, req.RequestID) }

// fakeMembers has one live incarnation.
type fakeMembers struct{ live api.Incarnation }

func (m fakeMembers) FindURL(_ api.NodeID, incarnation api.Incarnation) (string, bool) {
	return "http://peer", incarnation == m.live
}

func newIssuer(t *testing.T, node api.NodeID) *idem.Issuer {
	issuer, err := idem.NewIssuer(idem.IssuerOptions{
		Node: node, Incarnation: "i1", Secrets: [][]byte{bytes.Repeat([]byte("s"), 16)},
	})
	qt.Assert(t, err, qt.IsNil)
	return issuer
}

func newResolver(t *testing.T, claimer *fakeClaimer, maxUsed int) *keyowner.Resolver {
	return keyowner.New(keyowner.Options{
		Node: "n1", Incarnation: "i1", Issuer: newIssuer(t, "n1"), UsedKeys: idem.NewUsedKeys(maxUsed, 0),
		Claimer: claimer, Members: fakeMembers{live: "alive"},
	})
}

// wantResult is the expected result of a resolution. All fields are empty if the request runs here.
type wantResult struct {
	reason  api.Reason
	outcome api.Outcome
	heldBy  api.Incarnation
}

func check(t *testing.T, name string, err error, want wantResult) {
	t.Helper()
	got := wantResult{}
	if held, ok := router.AsErrHeldByPeer(err); ok {
		got.heldBy = held.Incarnation
	} else if err != nil {
		problem := router.AsProblem(err, "")
		got.reason, got.outcome = problem.Reason, problem.Outcome
	}
	qt.Check(t, got, qt.Equals, want, qt.Commentf("%s: %v", name, err))
}

func TestCallerKeys(t *testing.T) {
	owner := func(node api.NodeID, incarnation api.Incarnation) claim.Ownership {
		return claim.Ownership{Owner: claim.Owner{Node: node, Incarnation: incarnation}}
	}
	for _, test := range []struct {
		name         string
		claimed      claim.Ownership
		err          error
		once, repeat wantResult
		// mayHaveRun is the expected KeyResolution.MayHaveRun of a repeatable request.
		mayHaveRun bool
	}{
		{name: "new", claimed: claim.Ownership{IsNew: true}},
		{name: "other request", err: &idem.ErrKeyReused{},
			once:   wantResult{reason: api.ReasonKeyReused, outcome: api.OutcomeNotRun},
			repeat: wantResult{reason: api.ReasonKeyReused, outcome: api.OutcomeNotRun}},
		{name: "service down", err: &claim.ErrUnavailable{},
			once: wantResult{reason: api.ReasonClaimUnavailable, outcome: api.OutcomeMayHaveRun}, mayHaveRun: true},
		{name: "own and forgotten", claimed: owner("n1", "i1"),
			once: wantResult{reason: api.ReasonUnknownAnswer, outcome: api.OutcomeMayHaveRun}, mayHaveRun: true},
		{name: "other node", claimed: owner("n2", "alive"),
			once: wantResult{heldBy: "alive"}, repeat: wantResult{heldBy: "alive"}},
		{name: "owner gone", claimed: owner("n2", "gone"), once: wantResult{heldBy: "gone"}, mayHaveRun: true},
		{name: "own earlier incarnation", claimed: owner("n1", "i0"), once: wantResult{heldBy: "i0"}, mayHaveRun: true},
	} {
		claimer := &fakeClaimer{claimed: test.claimed, err: test.err}
		resolver := newResolver(t, claimer, 0)
		req := router.KeyRequest{Team: "lessons", Key: "k", RequestID: "r1"}
		resolution, err := resolver.Resolve(t.Context(), req)
		check(t, test.name+", repeatable", err, test.repeat)
		qt.Check(t, resolution.MayHaveRun, qt.Equals, test.mayHaveRun, qt.Commentf(test.name))
		req.AtMostOnce = true
		_, err = resolver.Resolve(t.Context(), req)
		check(t, test.name+", once", err, test.once)
		req.FirstUse = true
		_, err = resolver.Resolve(t.Context(), req)
		first := test.once
		if first.reason == api.ReasonClaimUnavailable {
			first.outcome = api.OutcomeNotRun
		}
		check(t, test.name+", first try", err, first)
		resolver.Release(req)
		qt.Check(t, claimer.released, qt.DeepEquals, []api.RequestID{"r1"})
	}
}

func TestIssuedKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		resolver := newResolver(t, &fakeClaimer{}, 2)
		key := newIssuer(t, "n1").Issue("lessons", time.Now())
		var resolution router.KeyResolution
		resolve := func(change func(*router.KeyRequest)) error {
			req := router.KeyRequest{Team: "lessons", Key: key, RequestID: "r2"}
			change(&req)
			var err error
			resolution, err = resolver.Resolve(t.Context(), req)
			return err
		}
		same := func(*router.KeyRequest) {}
		check(t, "first", resolve(func(req *router.KeyRequest) { req.RequestID = "r1" }), wantResult{})
		qt.Check(t, resolution, qt.Equals, router.KeyResolution{})
		check(t, "forgotten", resolve(same), wantResult{})
		qt.Check(t, resolution, qt.Equals, router.KeyResolution{MayHaveRun: true, BillRequestID: "r1"})
		check(t, "forgotten, once", resolve(func(req *router.KeyRequest) { req.AtMostOnce = true }),
			wantResult{reason: api.ReasonUnknownAnswer, outcome: api.OutcomeMayHaveRun})
		check(t, "other request", resolve(func(req *router.KeyRequest) { req.Fingerprint[0] = 1 }),
			wantResult{reason: api.ReasonKeyReused, outcome: api.OutcomeNotRun})
		check(t, "other team", resolve(func(req *router.KeyRequest) { req.Team = "moderators" }),
			wantResult{reason: api.ReasonBadRequest, outcome: api.OutcomeMayHaveRun})
		resolver.Release(router.KeyRequest{Key: key, RequestID: "r1"})
		check(t, "after release", resolve(same), wantResult{})
		issue := func(node api.NodeID) func(*router.KeyRequest) {
			return func(req *router.KeyRequest) { req.Key = newIssuer(t, node).Issue("lessons", time.Now()) }
		}
		check(t, "other node", resolve(issue("n2")), wantResult{heldBy: "i1"})
		check(t, "second key", resolve(issue("n1")), wantResult{})
		check(t, "too many keys", resolve(issue("n1")), wantResult{reason: api.ReasonOverloaded, outcome: api.OutcomeNotRun})
		time.Sleep(idem.DefaultLifetime)
		check(t, "expired", resolve(same), wantResult{reason: api.ReasonKeyExpired, outcome: api.OutcomeMayHaveRun})
	})
}
