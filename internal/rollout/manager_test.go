package rollout_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/rollout"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// TestNextNodeContinuesAfterManagerStops stops the managers of one node after another during a roll-out; the next node must take over the lease
// and continue the roll-out.
func TestNextNodeContinuesAfterManagerStops(t *testing.T) {
	run(t, func(s *system) {
		manage := func(n *node) (stop func()) {
			ctx, cancel := context.WithCancel(s.ctx)
			manager := rollout.NewManager(rollout.ManagerOptions{
				Node: n.id, Incarnation: api.Incarnation(n.id), Store: s.store, Leases: s.kv.Store(), Configs: s.config,
				Acceptor: s.config, Results: n.Node, CanCopy: true, Log: quiet(),
				Servers: func(api.Service) []fleet.Server { return s.currentServers() },
				Client:  &http.Client{Transport: s.engines},
			})
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				_ = manager.Run(ctx)
			}()
			return func() {
				cancel()
				<-ended
			}
		}
		stopFirst := manage(s.nodes[0])
		s.startRollOut()
		s.await(rollout.PhaseGrowing, 2*time.Minute)
		stopSecond := manage(s.nodes[1])
		stopFirst()
		began := time.Now()
		for s.find().Step == 0 {
			time.Sleep(time.Second)
			s.Assert(time.Since(began) < 2*time.Minute, qt.IsTrue)
		}
		stopSecond()
		stopThird := manage(s.nodes[2])
		s.assertDone()
		stopThird()
	})
}
