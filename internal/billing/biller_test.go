package billing_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/billing"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

func TestRepeatedRequestIsBilledOnce(t *testing.T) {
	inBubble(t, 2, func(s *system) {
		for range 3 {
			s.Assert(s.nodes[0].biller.Add(context.Background(), line(1)), qt.IsNil)
		}
		s.Assert(s.nodes[0].biller.Close(context.Background()), qt.IsNil)
		s.Assert(s.billed(), qt.DeepEquals, map[api.Service]int64{"r1": 1})
		s.Assert(s.nodes[1].batchHolder.HeldSize(), qt.Equals, 0)
		var closed *billing.ErrClosed
		s.Assert(s.nodes[0].biller.Add(context.Background(), line(2)), qt.ErrorAs, &closed)
	})
}

// TestCloseWritesAllAcceptedLines closes a Biller without peers while 100 callers add lines concurrently.
func TestCloseWritesAllAcceptedLines(t *testing.T) {
	for range 200 {
		inBubble(t, 1, func(s *system) {
			accepted := make(chan api.Service, 100)
			var callers sync.WaitGroup
			for i := range 100 {
				callers.Go(func() {
					time.Sleep(time.Duration(i/10) * time.Millisecond)
					l := line(i)
					if s.nodes[0].biller.Add(context.Background(), l) == nil {
						accepted <- l.Service
					}
				})
			}
			time.Sleep(5 * time.Millisecond)
			s.Assert(s.nodes[0].biller.Close(context.Background()), qt.IsNil)
			counts := s.billed()
			callers.Wait()
			close(accepted)
			for service := range accepted {
				s.Assert(counts[service], qt.Equals, int64(1), qt.Commentf("%s", service))
			}
		})
	}
}

// BenchmarkAdd measures the processor time of one line, with 200 requests ending at a time and the peer in the same
// process.
func BenchmarkAdd(b *testing.B) {
	s := newSystem(qt.New(b), 2)
	b.SetParallelism(20)
	b.ReportAllocs()
	var mu sync.Mutex
	next := 0
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			mu.Lock()
			next++
			l := billing.Line{RequestID: api.RequestID(fmt.Sprint(next)), Team: "t", Service: "s", At: time.Now()}
			mu.Unlock()
			if err := s.nodes[0].biller.Add(context.Background(), l); err != nil {
				b.Error(err)
			}
		}
	})
	for _, n := range s.nodes {
		n.end()
	}
}
