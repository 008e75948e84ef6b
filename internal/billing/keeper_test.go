package billing_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/billing"
	"github.com/monsoonrail/monsoonrail/internal/billing/billingpb"
)

// TestBatchHolderRequestsFullResend receives batches of a sender whose runs have other boundaries than the runs that
// the BatchHolder has.
func TestBatchHolderRequestsFullResend(t *testing.T) {
	c := qt.New(t)
	holder := billing.NewBatchHolder(billing.BatchHolderOptions{Log: quiet})
	hold := func(next uint64, runs ...[2]uint64) uint64 {
		req := &billingpb.HoldRequest{Incarnation: "i", Next: next}
		for _, run := range runs {
			req.Batches = append(req.Batches, &billingpb.Segment{First: run[0], Last: run[1]})
		}
		resp, err := holder.Hold(req)
		c.Assert(err, qt.IsNil)
		return resp.Held
	}
	c.Assert(hold(1, [2]uint64{1, 1}, [2]uint64{2, 5}), qt.Equals, uint64(5))
	c.Assert(hold(1, [2]uint64{6, 6}), qt.Equals, uint64(6))
	c.Assert(hold(1, [2]uint64{8, 8}), qt.Equals, uint64(6))
	// Part of the run from 2 to 5 is written; the rest of the run must be sent again.
	c.Assert(hold(4, [2]uint64{7, 7}), qt.Equals, uint64(3))
	c.Assert(hold(4, [2]uint64{4, 5}, [2]uint64{6, 7}), qt.Equals, uint64(7))
	c.Assert(hold(8), qt.Equals, uint64(7))
}
