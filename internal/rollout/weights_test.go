package rollout_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/rollout"
	"github.com/monsoonrail/monsoonrail/internal/standalone"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

func TestWeightsAreCached(t *testing.T) {
	calls := map[string]int{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls[r.URL.Path]++
		if r.URL.Path == "/v1/rate" {
			fmt.Fprint(w, `{"BytesPerSecond": 1000, "Waiting": 2}`)
			return
		}
		fmt.Fprint(w, `{"Version": "tutor@v2", "Bytes": 5000}`)
	}))
	defer server.Close()
	weights := rollout.NewCachedWeights(standalone.NewWeightStore(server.URL, server.Client()))
	for range 3 {
		got, err := weights.Weights(t.Context(), api.VersionID{Model: "tutor", Version: "v2"})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.Equals, rollout.Weights{Bytes: 5000, BytesPerSecond: 1000, Waiting: 2})
	}
	qt.Assert(t, calls, qt.DeepEquals, map[string]int{"/v1/rate": 1, "/v1/weights/tutor@v2": 1})
}
