package edge_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/edge"
	"github.com/monsoonrail/monsoonrail/internal/fake/memnet"
	"github.com/monsoonrail/monsoonrail/internal/site"
)

// TestNodeWithoutCallersStops stops a node whose settings name no address for callers, which is optional.
func TestNodeWithoutCallersStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := edge.New(edge.Options{
			Settings: site.Settings{
				Node: "node-1", Listen: site.Listen{Readiness: "10.0.0.1:81"}, Store: site.Store{Address: storeIP + ":80", MinLease: time.Second},
				Bounds: site.Bounds{GracePeriod: 8 * time.Second, RetryWindow: 10 * time.Second},
			},
			Network: memnet.New().Host("10.0.0.1"), Log: &log.Logger{Handler: discard.New()},
		})
		ctx, stop := context.WithCancel(context.Background())
		time.AfterFunc(startTime, stop)
		qt.Check(t, node.Run(ctx), qt.IsNil)
	})
}
