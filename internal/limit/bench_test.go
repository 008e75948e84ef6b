package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// BenchmarkQueue measures Enqueue and Next on a queue that holds 200 requests of 10 teams.
func BenchmarkQueue(b *testing.B) {
	queue := NewQueue(QueueOptions{MaxRequests: 1000}, NewUsage())
	team := func(i int) api.Team { return api.Team(fmt.Sprint(i % 10)) }
	for i := range 200 {
		queue.Enqueue(request(team(i), i, 1), start)
	}
	requests := make([]Request, 1000)
	for i := range requests {
		requests[i] = request(team(i), i, 1)
	}
	b.ReportAllocs()
	now := start
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		queue.Enqueue(requests[i%len(requests)], now)
		queue.Next(now)
	}
}

// BenchmarkMergeReport merges one peer's report on 10 teams while reports of 590 peers are stored.
func BenchmarkMergeReport(b *testing.B) {
	usage := NewUsage()
	report := func(now time.Time) TeamUsage {
		r := TeamUsage{AsOf: now, Seconds: map[api.Team]float64{}}
		for i := range 10 {
			r.Seconds[api.Team(fmt.Sprint(i))] = float64(i)
		}
		return r
	}
	names := make([]string, 590)
	for i := range names {
		names[i] = fmt.Sprint(i)
		usage.MergeReport(names[i], report(start), start)
	}
	b.ReportAllocs()
	now := start
	shared := report(now)
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		shared.AsOf = now
		usage.MergeReport(names[i%len(names)], shared, now)
	}
}
