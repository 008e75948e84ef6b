package dev_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// TestRatingsReachOtherNodes has the answers of one node rated and checks that the ratings reach every node's estimate.
func TestRatingsReachOtherNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, nil)
		defer b.close()
		const asked = 12
		version := api.VersionID{}
		for range asked {
			resp, raw := b.do(http.MethodPost, b.system.NodeURL(0)+"/v1/chat/completions", nil, question)
			qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", raw))
			version = api.ParseVersionID(resp.Header.Get(api.HeaderVersion))
		}
		time.Sleep(2 * time.Minute)
		for i := range b.system.NodeCount() {
			estimate := b.system.Node(i).Estimate("tutor-llm", "review", version)
			qt.Check(t, estimate.Ratings > 0, qt.IsTrue, qt.Commentf("node %d knows no rating of %s", i, version))
		}
	})
}
