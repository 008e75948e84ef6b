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

var cheap, dear = api.ParseVersionID("swift@3.2"), api.ParseVersionID("scholar@2.0")

// cascade plays a version chooser, a rater and a biller: it holds the choice and the rating of its first answer, and notes
// what was billed and offered for rating.
type cascade struct {
	router.Biller
	then    api.VersionID
	quality api.Quality
	rated   bool

	mu    sync.Mutex
	bills []router.Bill
	offer []router.RatedAnswer
}

func (c *cascade) ChooseVersion(req router.VersionRequest) (router.VersionChoice, bool) {
	if !req.Pin.IsZero() {
		return router.VersionChoice{First: req.Pin}, true
	}
	return router.VersionChoice{First: cheap, EscalateTo: c.then, EscalateBelow: 0.7}, true
}

func (c *cascade) ObserveLatency(api.VersionID, time.Duration) {}

func (c *cascade) Rate(context.Context, router.RatedAnswer) (api.Quality, bool) {
	return c.quality, c.rated
}

func (c *cascade) Offer(rated router.RatedAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offer = append(c.offer, rated)
}

func (c *cascade) Add(ctx context.Context, bill router.Bill) error {
	c.mu.Lock()
	c.bills = append(c.bills, bill)
	c.mu.Unlock()
	return c.Biller.Add(ctx, bill)
}

func TestCascadeKeepsOrReplacesItsFirstAnswer(t *testing.T) {
	for _, test := range []struct {
		name   string
		played *cascade
		want   api.VersionID
		// paidTwice tells that the first answer's price is billed besides.
		paidTwice bool
	}{
		{"good", &cascade{then: dear, quality: 0.7, rated: true}, cheap, false},
		{"not rated in time", &cascade{then: dear}, cheap, false},
		{"poor", &cascade{then: dear, quality: 0.6, rated: true}, dear, true},
		{"poor, second version gone", &cascade{then: api.ParseVersionID("gone@1"), quality: 0.6, rated: true}, cheap, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				played := test.played
				b := newBench(t, func(o *dev.Options) {
					o.Nodes = 1
					o.Alter = func(opts *router.Options) {
						played.Biller = opts.Bills
						opts.Versions, opts.Ratings, opts.Bills = played, played, played
					}
				})
				defer b.close()
				resp, raw := b.do(http.MethodPost, b.system.NodeURL(0)+chatPath, nil, question)
				qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", raw))
				// The answer is offered for rating after its caller has it.
				synctest.Wait()
				qt.Check(t, resp.Header.Get(api.HeaderVersion), qt.Equals, test.want.String())
				qt.Assert(t, played.bills, qt.HasLen, 1)
				bill := played.bills[0]
				qt.Check(t, bill.Version, qt.Equals, test.want)
				price := priceOf(t, bill)
				qt.Check(t, bill.Cost > price, qt.Equals, test.paidTwice, qt.Commentf("billed %d, answer %d", bill.Cost, price))
				qt.Check(t, bill.Cost >= price, qt.IsTrue)
				qt.Check(t, len(played.offer), qt.Equals, map[bool]int{true: 1}[test.paidTwice])
			})
		})
	}
}

// priceOf returns the price of the answer alone that a bill is about.
func priceOf(t *testing.T, bill router.Bill) api.MicroUSD {
	service, ok := loadCommons(t).FindService(bill.Service)
	qt.Assert(t, ok, qt.IsTrue)
	version, ok := service.FindVersion(bill.Version)
	qt.Assert(t, ok, qt.IsTrue)
	return version.Cost(bill.Usage)
}
