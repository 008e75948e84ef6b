package warmup_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/monsoonrail/monsoonrail/internal/warmup"
)

// TestBoundHoldsWhileNodesComeAndGo draws fleets of which a part leaves and comes back one after the other, as in an upgrade, while a server is cold: all ranks
// shift several times.
func TestBoundHoldsWhileNodesComeAndGo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.SampledFrom([]int{8, 91, 300}).Draw(t, "nodes")
		p := warmup.Policy{Duration: 4 * time.Second, Rate: warmup.Rate(rapid.SampledFrom([]float64{5, 14, 40}).Draw(t, "rate"))}
		p.Most = 1.5*float64(p.Rate) + 5
		gone := count * rapid.IntRange(0, 50).Draw(t, "gonePercent") / 100
		span := time.Duration(rapid.IntRange(100, 3000).Draw(t, "spanMillis")) * time.Millisecond
		grows := rapid.Bool().Draw(t, "grows")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		offset := random.Float64()
		order := random.Perm(count)[:gone]
		// changesAt holds when each node that comes or goes does so.
		changesAt := make(map[int]time.Duration)
		for i, rank := range order {
			changesAt[rank] = time.Second + span*time.Duration(i)/time.Duration(max(1, gone))
		}
		present := func(rank int, at time.Duration) bool {
			change, ok := changesAt[rank]
			return !ok || (at >= change) == grows
		}
		var sent []time.Duration
		for rank := range count {
			var state warmup.State
			heard := time.Duration(random.Float64() * float64(500*time.Millisecond))
			if change, ok := changesAt[rank]; ok && grows {
				heard = change
			}
			state.Extend(p.Duration, start.Add(heard))
			peak := 0
			for at := heard; at < p.Duration; at += time.Duration(random.Float64() * float64(150*time.Millisecond)) {
				if !present(rank, at) {
					break
				}
				turn := warmup.Turn{Rank: rank, Nodes: count, Offset: offset}
				lag := time.Duration(random.Float64() * float64(300*time.Millisecond))
				for _, other := range order {
					if present(other, max(0, at-lag)) {
						continue
					}
					turn.Nodes--
					if other < rank {
						turn.Rank--
					}
				}
				peak = max(peak, turn.Nodes)
				turn.Nodes = max(1, peak)
				now := start.Add(at)
				if !state.NextAt(p, turn, now).After(now) {
					state.Sent(now)
					sent = append(sent, at)
				}
			}
		}
		if most := mostInASecond(sent); float64(most) > p.Most {
			t.Fatalf("%d requests in a second, %g allowed", most, p.Most)
		}
	})
}
