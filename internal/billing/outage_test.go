package billing_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/billing"
	"github.com/monsoonrail/monsoonrail/internal/fake/kvfake"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// TestCrashDuringOutage restarts a node without a shutdown while the key-value service is unavailable; the node's peer must write its
// lines once the service is back an hour later.
func TestCrashDuringOutage(t *testing.T) {
	inBubble(t, 2, func(s *system) {
		s.service.StartOutage(kvfake.FaultLoseRequest)
		const lines = 3000
		for i := range lines {
			s.Assert(s.nodes[0].biller.Add(context.Background(), line(i)), qt.IsNil)
			time.Sleep(100 * time.Millisecond)
		}
		s.Assert(s.nodes[0].biller.Stats().Unprotected, qt.Equals, int64(0))
		s.restart(0)
		time.Sleep(time.Hour)
		s.service.EndOutage()
		time.Sleep(time.Minute)
		counts := s.billed()
		s.Assert(counts, qt.HasLen, lines)
		for service, count := range counts {
			s.Assert(count, qt.Equals, int64(1), qt.Commentf("%s", service))
		}
	})
}

// TestOutageKeepsMemoryBounded bills at the target request rate of a node (170 requests/s) for five minutes during an
// outage of the key-value service.
func TestOutageKeepsMemoryBounded(t *testing.T) {
	inBubble(t, 2, func(s *system) {
		s.service.StartOutage(kvfake.FaultNoLeader)
		const perSecond, seconds = 170, 300
		for i := range seconds * perSecond {
			l := billing.Line{
				RequestID: api.RequestID(fmt.Sprint(i)),
				Team:      api.Team(fmt.Sprintf("team-%d", i%10)),
				Service:   "tutor-llm",
				Version:   api.VersionID{Model: "m", Version: fmt.Sprint(i % 17)},
				At:        time.Now(),
			}
			s.Assert(s.nodes[0].biller.Add(context.Background(), l), qt.IsNil)
			if i%perSecond == 0 {
				time.Sleep(time.Second)
			}
		}
		backlog, held := s.nodes[0].biller.Stats().Backlog, s.nodes[1].batchHolder.HeldSize()
		// At 300 bytes each this is a tenth of a node's memory budget of 32 MB.
		s.Check(backlog <= 10_000, qt.IsTrue, qt.Commentf("backlog of %d sums", backlog))
		s.Check(held <= 10_000, qt.IsTrue, qt.Commentf("peer holds %d sums", held))
		s.service.EndOutage()
		time.Sleep(time.Minute)
		s.Assert(s.billed()["tutor-llm"], qt.Equals, int64(seconds*perSecond))
	})
}
