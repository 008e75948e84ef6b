package claim_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/claim"
	"github.com/monsoonrail/monsoonrail/internal/fake/kvfake"
	"github.com/monsoonrail/monsoonrail/internal/rendezvous"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// serviceLatency is the latency of a call to the key-value service.
	serviceLatency = 4 * time.Millisecond
	// maxTransactionRate is the share of the key-value service's several hundred writes a second that claims may use:
	// four batching nodes with a transaction every 20 ms, plus the one that each of them makes at once.
	maxTransactionRate = 4*50 + 4
	// maxClaimLatency bounds the 99th percentile of the latency that a claim adds to a request.
	maxClaimLatency = 100 * time.Millisecond
	measureDuration = 2 * time.Second
)

// rateCost is the measured cost of claims at one rate.
type rateCost struct {
	transactions int64
	p50, p99     time.Duration
	elapsed      time.Duration
	failed       int
}

// TestTransactionsPerClaim measures in virtual time how many transactions the claims of a fleet need; with -v it prints
// the table of docs/decisions/0012-claims.md.
func TestTransactionsPerClaim(t *testing.T) {
	var table strings.Builder
	for _, rate := range []int{10, 100, 1000, 10_000, 20_000} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			got := measure(rate)
			perSecond := float64(got.transactions) / got.elapsed.Seconds()
			fmt.Fprintf(&table, "| %d | %.0f | %.1f | %.0f | %.0f |\n", rate, perSecond, float64(rate)/perSecond,
				float64(got.p50)/1e6, float64(got.p99)/1e6)
			c.Check(got.failed, qt.Equals, 0)
			c.Check(perSecond <= maxTransactionRate, qt.IsTrue, qt.Commentf("%.0f transactions/s", perSecond))
			c.Check(got.p99 <= maxClaimLatency, qt.IsTrue, qt.Commentf("p99 %s", got.p99))
		})
	}
	t.Log("claims/s | transactions/s | claims a transaction | p50 ms | p99 ms\n" + table.String())
}

// measure makes claims at the given rate at the batching nodes of a fleet; one claim in 50 repeats an earlier key.
func measure(rate int) rateCost {
	service := kvfake.New()
	service.SetLatency(serviceLatency)
	ctx, cancel := context.WithCancel(context.Background())
	nodes := []api.NodeID{"g0", "g1", "g2", "g3"}
	batchers := map[api.NodeID]*claim.Batcher{}
	var running, callers sync.WaitGroup
	for _, name := range nodes {
		batcher := claim.NewBatcher(claim.BatcherOptions{Store: service.Store(), Log: quiet})
		batchers[name] = batcher
		running.Go(func() { _ = batcher.Run(ctx) })
	}
	random := rand.New(rand.NewPCG(1, uint64(rate)))
	total := int(float64(rate) * measureDuration.Seconds())
	took := make([]time.Duration, total)
	failed := make([]bool, total)
	start := time.Now()
	for i := range total {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(rate)))
		number := i
		if random.IntN(50) == 0 {
			number = random.IntN(i + 1)
		}
		key := claim.KeyOf("carrasco", api.IdempotencyKey(fmt.Sprint(number)))
		callers.Go(func() {
			began := time.Now()
			node, _ := rendezvous.First(key, nodes)
			_, err := batchers[node].Commit(ctx, claim.Entry{Key: key, Record: claim.Record{Nonce: fmt.Sprint(i)}})
			took[i], failed[i] = time.Since(began), err != nil
		})
	}
	callers.Wait()
	elapsed := time.Since(start)
	cancel()
	running.Wait()
	slices.Sort(took)
	result := rateCost{p50: took[total/2], p99: took[total*99/100], elapsed: elapsed}
	for _, name := range nodes {
		result.transactions += batchers[name].Stats().Transactions
	}
	for _, bad := range failed {
		if bad {
			result.failed++
		}
	}
	return result
}

// BenchmarkBatcher measures the processor time of one claim at its batching node, including that of the fake key-value
// service.
func BenchmarkBatcher(b *testing.B) {
	batcher := claim.NewBatcher(claim.BatcherOptions{
		Store:       kvfake.New().Store(),
		MinInterval: time.Nanosecond,
		Log:         quiet,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- batcher.Run(ctx) }()
	b.SetParallelism(64)
	b.ReportAllocs()
	var mu sync.Mutex
	next := 0
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			mu.Lock()
			next++
			key := fmt.Sprint("claim/", next)
			mu.Unlock()
			if _, err := batcher.Commit(ctx, claim.Entry{Key: key, Record: claim.Record{Nonce: key}}); err != nil {
				b.Error(err)
			}
		}
	})
	b.ReportMetric(float64(b.N)/float64(batcher.Stats().Transactions), "claims/txn")
	cancel()
	<-done
}
