package follower_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// TestSnapshotForNodesFarBehind changes the same few entities many times, and checks that a node a few revisions behind
// gets deltas and one far behind gets a snapshot.
func TestSnapshotForNodesFarBehind(t *testing.T) {
	const changes = 400
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{nodes: 2, domains: 1})
		defer c.close()
		time.Sleep(settleTime)
		var newest api.Revision
		for i := range changes {
			newest, _ = c.accept(c.nodes[0], fmt.Sprint("x", i%10))
		}
		c.waitInForce(newest, 10*time.Second)
		for _, n := range c.nodes {
			snapshot, deltas := n.follower.After(newest-5, 1<<20)
			qt.Check(t, snapshot, qt.HasLen, 0)
			qt.Check(t, deltas, qt.HasLen, 5)

			snapshot, deltas = n.follower.After(1, 1<<20)
			qt.Check(t, deltas, qt.HasLen, 0)
			state, err := fleet.DecodeState(snapshot)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, state.Revision(), qt.Equals, newest)
			qt.Check(t, state.Encode(), qt.DeepEquals, n.follower.State().Encode())
		}
	})
}
