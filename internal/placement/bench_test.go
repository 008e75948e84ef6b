package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/placement"
	"github.com/monsoonrail/monsoonrail/internal/workload"
)

// BenchmarkChoose measures a choice among all servers of a small pool, and among the candidates of one of any larger size.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{12, 48, 172} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			candidates := make([]placement.Candidate, count)
			for i := range candidates {
				candidates[i] = idle(16)
				candidates[i].View.Peers = workload.Peers{Load: workload.Load{Requests: i % 5, Unread: workload.Work(i) * 1000}, At: time.Unix(1, 0)}
			}
			request := placement.Request{PerRequest: 1000}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				request.Seed = uint64(i)
				placement.Choose(request, candidates)
			}
		})
	}
}
