package router

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/monsoonrail/monsoonrail/internal/guard"
	"github.com/monsoonrail/monsoonrail/internal/poison"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// TestMovedCallCrashesNoThirdServer lets a call crash the server that was late and the one to which the call was moved. A node
// that is partitioned from its peers and detects both crashes, in either order, must designate no further server for the call.
func TestMovedCallCrashesNoThirdServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		pool := make([]poison.PoolServer, rapid.IntRange(2, 18).Draw(t, "servers"))
		for i := range pool {
			pool[i].ID = api.ServerID(fmt.Sprint("server-", i))
		}
		f := poison.Fingerprint(rapid.Uint64().Draw(t, "fingerprint"))
		server := pool[rapid.IntRange(0, len(pool)-1).Draw(t, "server")].ID
		other, ok := partnerIn(pool, server, guard.New(now, nil), f, now)
		if !ok {
			return
		}
		if other == server {
			t.Fatal("a call is moved to the server that it runs on")
		}
		crashed := rapid.Permutation([]api.ServerID{server, other}).Draw(t, "deaths")
		partitioned := guard.New(now, nil)
		partitioned.RecordFailure(crashed[0], now.Add(time.Second))
		partitioned.RecordFailure(crashed[1], now.Add(2*time.Second))
		if designated, ok := partitioned.DesignatedServer(f, pool, now.Add(3*time.Second)); ok {
			t.Fatalf("after the failures of %v the call runs on %s", crashed, designated)
		}
	})
}
