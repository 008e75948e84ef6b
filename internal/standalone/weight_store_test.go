package standalone_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fake/weightfake"
	"github.com/monsoonrail/monsoonrail/internal/standalone"
	"github.com/monsoonrail/monsoonrail/internal/weightstore"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

func TestWeightStore(t *testing.T) {
	c := qt.New(t)
	store := weightfake.New(weightstore.Rate{BytesPerSecond: 1 << 30, Waiting: 2})
	server := httptest.NewServer(store)
	defer server.Close()
	client := standalone.NewWeightStore(server.URL, http.DefaultClient)
	ctx := context.Background()
	version := api.VersionID{Model: "tutor", Version: "v2"}
	_, err := client.FindWeights(ctx, version)
	c.Assert(err, qt.Satisfies, weightstore.IsErrVersionNotExist)
	store.Put(version, 40<<30)
	weights, err := client.FindWeights(ctx, version)
	c.Assert(err, qt.IsNil)
	c.Assert(weights, qt.Equals, weightstore.Weights{Version: version, Bytes: 40 << 30})
	rate, err := client.Rate(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(rate, qt.Equals, weightstore.Rate{BytesPerSecond: 1 << 30, Waiting: 2})
	store.SetRate(1)
	_, _ = client.Rate(ctx)
	_, err = client.Rate(ctx)
	c.Assert(err, qt.Satisfies, weightstore.IsErrRateLimited)
	store.SetOutage(true)
	_, err = client.Rate(ctx)
	c.Assert(err, qt.IsNotNil)
}
