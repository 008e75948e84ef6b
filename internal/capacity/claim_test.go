package capacity_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/capacity"
	"github.com/monsoonrail/monsoonrail/internal/claim"
	"github.com/monsoonrail/monsoonrail/internal/fake/kvfake"
	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/noderpc"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// gatherersOfNode is how many nodes gather claims if all nodes agree on who does.
	gatherersOfNode = claim.DefaultBatchingNodes
	// ownKeys is the part of the requests that are taken to carry a caller's own key.
	ownKeys = 0.01
	// claimHours is how long the service holds a claim at least.
	claimHours = 24
)

// claims is what a rate of claims costs.
type claims struct{ transactions, microseconds, valueBytes float64 }

// measureClaims makes claims at a rate at some gatherers for a while of virtual time.
func measureClaims(t *testing.T, rate, gatherers int) claims {
	var seen claims
	synctest.Test(t, func(t *testing.T) {
		service := kvfake.New()
		service.SetLatency(4 * time.Millisecond)
		ctx, cancel := context.WithCancel(context.Background())
		batchers := make([]*claim.Batcher, gatherers)
		var duties, callers sync.WaitGroup
		for i := range batchers {
			batchers[i] = claim.NewBatcher(claim.BatcherOptions{Store: service.Store(), Log: quiet})
			duties.Go(func() { _ = batchers[i].Run(ctx) })
		}
		random := rand.New(rand.NewPCG(1, uint64(rate)))
		const seconds = 2
		total := rate * seconds
		before := processorTime(t)
		for i := range total {
			time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(rate)))
			gatherer := batchers[random.IntN(gatherers)]
			callers.Go(func() {
				_, err := gatherer.Commit(ctx, newEntry(i))
				qt.Check(t, err, qt.IsNil)
			})
		}
		callers.Wait()
		seen.microseconds = (processorTime(t) - before).Seconds() * 1e6 / float64(total)
		for _, b := range batchers {
			seen.transactions += float64(b.Stats().Transactions) / seconds
		}
		seen.valueBytes = storedBytes(t, service) / float64(total)
		cancel()
		duties.Wait()
	})
	return seen
}

// incarnation is as long as those of nodes.
const incarnation = api.Incarnation("3f2a9c04-b1d")

// newEntry returns a claim of a key of its own.
func newEntry(number int) claim.Entry {
	return claim.Entry{
		Key: claim.KeyOf("a-team", api.IdempotencyKey(fmt.Sprint(number))),
		Record: claim.Record{
			RequestID: api.RequestID(uuid.NewString()), Node: "node-100", Incarnation: incarnation,
			Nonce: uuid.NewString(),
		},
	}
}

// measureGathering returns the bytes a second that a gatherer receives and sends for its part of all claims, which come from
// some nodes.
func measureGathering(t *testing.T, rate, nodes int) (bytes float64) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		batcher := claim.NewBatcher(claim.BatcherOptions{Store: kvfake.New().Store(), Log: quiet})
		done := make(chan error, 1)
		go func() { done <- batcher.Run(ctx) }()
		served := newPeerCalls(t, noderpc.ServerOptions{ClaimCommitter: batcher})
		clients := make([]*noderpc.Client, nodes)
		var callers sync.WaitGroup
		commit := func(client *noderpc.Client, number int) {
			callers.Go(func() {
				_, err := client.CommitAt(ctx, "node-1", newEntry(number))
				qt.Check(t, err, qt.IsNil)
			})
		}
		for i := range clients {
			clients[i] = served.from(fmt.Sprintf("10.1.%d.%d", i/200, i%200+1))
			// Connections are there already.
			commit(clients[i], -i)
		}
		callers.Wait()
		before := served.bytes()
		seconds := lasting().Seconds()
		perSecond := float64(rate) / gatherersOfNode
		random := rand.New(rand.NewPCG(2, uint64(rate)))
		for i := range int(seconds * perSecond) {
			time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / perSecond))
			commit(clients[random.IntN(nodes)], i+1)
		}
		callers.Wait()
		bytes = (served.bytes() - before) / seconds
		cancel()
		<-done
		served.close()
		time.Sleep(time.Second)
	})
	return bytes
}

// storedBytes counts the bytes of all keys and values.
func storedBytes(t *testing.T, service *kvfake.Service) float64 {
	listed, err := service.Store().List(context.Background(), kv.ListOptions{Prefix: "claim"})
	qt.Assert(t, err, qt.IsNil)
	bytes := 0
	for _, pair := range listed.Pairs {
		bytes += len(pair.Key) + len(pair.Value)
	}
	return float64(bytes)
}

// TestMeasureClaims varies the claims a second and the nodes that gather them.
func TestMeasureClaims(t *testing.T) {
	rates, counts := sizes(250, 500, 1000, 2000), sizes(4, 8, 16, 32)
	overRates, overCounts := make([]claims, len(rates)), make([]claims, len(counts))
	for i, rate := range rates {
		overRates[i] = measureClaims(t, rate, gatherersOfNode)
	}
	callers := sizes(1, 10, 59, capacity.Nodes)
	gathering, overCallers := make([]float64, len(rates)), make([]float64, len(callers))
	for i, rate := range rates {
		gathering[i] = measureGathering(t, rate, 1)
	}
	for i, nodes := range callers {
		overCallers[i] = measureGathering(t, int(ownKeys*capacity.Requests), nodes)
	}
	for i, count := range counts {
		overCounts[i] = measureClaims(t, 1000, count)
	}
	expected := ownKeys * capacity.Requests
	batching := "group commit, at most one transaction every 20 ms a gatherer (internal/claim)"
	calling := "at most a call every 20 ms to a gatherer, over HTTP/2 (internal/noderpc)"
	finish(t, "claim-batching", "TestMeasureClaims", []capacity.Series{
		series(capacity.Series{
			Quantity: "transactions at the service, 4 gatherers", Unit: "1/s", Over: "claims/s (1 request in 100)", Target: expected,
			Budget: capacity.ServiceWrites, Mechanism: batching,
		}, rates, func(i int) float64 { return overRates[i].transactions }),
		series(capacity.Series{
			Quantity: "transactions at the service, 1,000 claims/s", Unit: "1/s", Over: "gatherers", Target: gatherersOfNode,
			Budget: capacity.ServiceWrites, Mechanism: batching,
		}, counts, func(i int) float64 { return overCounts[i].transactions }),
		series(capacity.Series{
			Quantity: "processor time at a gatherer, a quarter of all claims, the service included", Unit: "of a core", Over: "claims/s",
			Target: expected, Budget: capacity.ControlCore, Mechanism: batching,
		}, rates, func(i int) float64 { return overRates[i].microseconds / 1e6 * float64(rates[i]) / gatherersOfNode }),
		series(capacity.Series{
			Quantity: "calls of one node at a gatherer, a quarter of all claims", Unit: "B/s", Over: "claims/s", Target: expected,
			Budget: capacity.ControlBytes, Mechanism: calling,
		}, rates, func(i int) float64 { return gathering[i] }),
		series(capacity.Series{
			Quantity: "calls of nodes at a gatherer, a quarter of 1,000 claims/s", Unit: "B/s", Over: "nodes that call", Target: capacity.Nodes,
			Budget: capacity.ControlBytes, Mechanism: calling,
		}, callers, func(i int) float64 { return overCallers[i] }),
		series(capacity.Series{
			Quantity: "keys and values held by the service", Unit: "GB", Over: "claims/s", Target: expected, Budget: 2,
			Mechanism: "hourly leases, kept for 24 hours at least (internal/claim)",
		}, rates, func(i int) float64 {
			return overRates[i].valueBytes * float64(rates[i]) * claimHours * 3600 / 1e9
		}),
	})
}
