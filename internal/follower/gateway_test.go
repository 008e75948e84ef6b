package follower_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/monsoonrail/monsoonrail/internal/acceptance"
	"github.com/monsoonrail/monsoonrail/internal/configlog"
	"github.com/monsoonrail/monsoonrail/internal/fake/kvfake"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/follower"
	"github.com/monsoonrail/monsoonrail/internal/peer"
	"github.com/monsoonrail/monsoonrail/internal/standalone"
)

// TestFollowOverEtcdGateway follows changes over the etcd gateway protocol, on a node without peers.
func TestFollowOverEtcdGateway(t *testing.T) {
	service := kvfake.New()
	server := httptest.NewServer(service)
	defer server.Close()
	changes := configlog.New(standalone.NewStore(standalone.StoreOptions{Endpoints: []string{server.URL}, Client: &http.Client{}}), configlog.DefaultPrefix)
	f := follower.New(follower.Options{
		Self: peer.Member{Node: "n", Incarnation: "n-1"}, Log: changes, Logger: quiet, Metrics: metrics.NewRegistry(),
		Rand: rand.New(rand.NewPCG(1, 1)),
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- f.Run(ctx) }()
	config, err := fleet.Load("../../examples/sample.yaml")
	qt.Assert(t, err, qt.IsNil)
	operator := acceptance.New(changes, nil, quiet)
	first := fleet.Change{ID: "first", Author: "test", Reason: "first", Ops: fleet.NewState().Ops(config)}
	_, err = operator.Accept(t.Context(), first)
	qt.Assert(t, err, qt.IsNil)
	for i := range 5 {
		_, err = operator.Accept(t.Context(), newChange(f.Revision(), "x"))
		qt.Assert(t, err == nil || acceptance.IsErrConflict(err), qt.IsTrue, qt.Commentf("%v", err))
		if i == 2 {
			service.DropWatches()
		}
	}
	head, err := changes.Head(t.Context())
	qt.Assert(t, err, qt.IsNil)
	for changed := f.Changed(); f.Current().Revision < head.Revision; changed = f.Changed() {
		<-changed
	}
	cancel()
	qt.Assert(t, <-done, qt.ErrorIs, context.Canceled)
	config.Revision = f.Current().Revision
	config.Exceptions = f.Current().Exceptions
	qt.Assert(t, f.Current(), qt.DeepEquals, config)
}
