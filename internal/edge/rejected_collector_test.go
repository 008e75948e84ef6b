package edge_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fake/platformfake"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// TestRejectedCollectorRevertsBadVersion rejects the store calls of each third of the nodes in turn, one of which includes the collector of the roll-out's
// reports. The bad version must be reverted in all cases.
func TestRejectedCollectorRevertsBadVersion(t *testing.T) {
	const (
		nodes, thirds = 12, 3
		interval      = 20 * time.Millisecond
		maxTime       = 4 * time.Second
	)
	for third := range thirds {
		t.Run(fmt.Sprint("nodes ", third), func(t *testing.T) {
			withTestFleet(t, func(f *testFleet) {
				for i := range nodes - len(f.nodes) {
					f.startIn(fmt.Sprintf("10.0.1.%d", i+1), api.FailureDomain(fmt.Sprintf("z%d", i%thirds+1)))
				}
				bad := platformfake.NewServer(platformfake.ServerOptions{ID: "c1", Latency: 20 * time.Millisecond})
				bad.SetResponse(http.StatusInternalServerError, false)
				defer f.serveOn("10.2.0.2", bad)()
				f.store.Put("servers/c1", []byte(strings.Replace(string(entry("calls", "10.2.0.2:80", "ready")), `"v1"`, `"v2"`, 1)))
				time.Sleep(2 * startTime)
				var rejected []string
				for i, node := range f.nodes {
					if i%thirds == third {
						rejected = append(rejected, node.ip)
					}
				}
				f.store.Put("op/rollout/calls", []byte(`{"service":"calls","target":"v2","durationS":20}`))
				time.Sleep(time.Second)
				f.store.Reject(rejected...)
				ordered := time.Now()
				var isReverted bool
				for i := 0; !isReverted && time.Since(ordered) < 15*time.Second; i++ {
					go f.send(context.Background(), i%nodes, "/c/1", "key-1")
					time.Sleep(interval)
					isReverted = strings.Contains(string(f.store.Get("status/rollout/calls").Value), `"reverted"`)
				}
				took := time.Since(ordered)
				t.Logf("reverted after %s: %v", took, isReverted)
				f.c.Check(took <= maxTime, qt.IsTrue)
				time.Sleep(5 * time.Second)
			})
		})
	}
}
