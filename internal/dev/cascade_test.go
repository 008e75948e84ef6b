package dev_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/dev"
	"github.com/monsoonrail/monsoonrail/internal/router"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

var cheapVersion, expensiveVersion = api.ParseVersionID("swift@3.2"), api.ParseVersionID("scholar@2.0")

// fakeCascade is a version chooser, rater and biller with a fixed choice of versions and a fixed rating of the first answer.
// It records the bills and the answers offered for rating.
type fakeCascade struct {
	router.Biller
	escalateTo api.VersionID
	quality    api.Quality
	rated      bool

	mu      sync.Mutex
	bills   []router.Bill
	offered []router.RatedAnswer
}

func (c *fakeCascade) ChooseVersion(req router.VersionRequest) (router.VersionChoice, bool) {
	if !req.Pin.IsZero() {
		return router.VersionChoice{First: req.Pin}, true
	}
	return router.VersionChoice{First: cheapVersion, EscalateTo: c.escalateTo, EscalateBelow: 0.7}, true
}

func (c *fakeCascade) ObserveLatency(api.VersionID, time.Duration) {}

func (c *fakeCascade) Rate(context.Context, router.RatedAnswer) (api.Quality, bool) {
	return c.quality, c.rated
}

func (c *fakeCascade) Offer(rated router.RatedAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offered = append(c.offered, rated)
}

func (c *fakeCascade) Add(ctx context.Context, bill router.Bill) error {
	c.mu.Lock()
	c.bills = append(c.bills, bill)
	c.mu.Unlock()
	return c.Biller.Add(ctx, bill)
}

func TestCascadeKeepsOrReplacesItsFirstAnswer(t *testing.T) {
	for _, test := range []struct {
		name string
		fake *fakeCascade
		want api.VersionID
		// billsBoth reports whether the bill includes the first answer's price as well.
		billsBoth bool
	}{
		{"good", &fakeCascade{escalateTo: expensiveVersion, quality: 0.7, rated: true}, cheapVersion, false},
		{"not rated in time", &fakeCascade{escalateTo: expensiveVersion}, cheapVersion, false},
		{"poor", &fakeCascade{escalateTo: expensiveVersion, quality: 0.6, rated: true}, expensiveVersion, true},
		{"poor, second version gone", &fakeCascade{escalateTo: api.ParseVersionID("gone@1"), quality: 0.6, rated: true}, cheapVersion, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := test.fake
				b := newBench(t, func(o *dev.Options) {
					o.Nodes = 1
					o.Alter = func(opts *router.Options) {
						fake.Biller = opts.Bills
						opts.Versions, opts.Ratings, opts.Bills = fake, fake, fake
					}
				})
				defer b.close()
				resp, raw := b.do(http.MethodPost, b.system.NodeURL(0)+chatPath, nil, question)
				qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", raw))
				// The answer is offered for rating only after the caller has received it.
				synctest.Wait()
				qt.Check(t, resp.Header.Get(api.HeaderVersion), qt.Equals, test.want.String())
				qt.Assert(t, fake.bills, qt.HasLen, 1)
				bill := fake.bills[0]
				qt.Check(t, bill.Version, qt.Equals, test.want)
				price := priceOf(t, bill)
				qt.Check(t, bill.Cost > price, qt.Equals, test.billsBoth, qt.Commentf("billed %d, answer %d", bill.Cost, price))
				qt.Check(t, bill.Cost >= price, qt.IsTrue)
				qt.Check(t, len(fake.offered), qt.Equals, map[bool]int{true: 1}[test.billsBoth])
			})
		})
	}
}

// priceOf returns the price of the billed answer alone.
func priceOf(t *testing.T, bill router.Bill) api.MicroUSD {
	service, ok := loadCommons(t).FindService(bill.Service)
	qt.Assert(t, ok, qt.IsTrue)
	version, ok := service.FindVersion(bill.Version)
	qt.Assert(t, ok, qt.IsTrue)
	return version.Cost(bill.Usage)
}
