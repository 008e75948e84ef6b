package warmup_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/monsoonrail/monsoonrail/internal/warmup"
)

var start = time.Unix(1_700_000_000, 0)

// policy is that of servers that take 14 requests a second while they are cold, and at most 26 in any second.
var policy = warmup.Policy{Duration: 3 * time.Second, Rate: 14, Most: 26}

func TestWarmServerIsNotLimited(t *testing.T) {
	var state warmup.State
	turn := warmup.Turn{Nodes: 91}
	qt.Check(t, state.IsCold(start), qt.IsFalse)
	qt.Check(t, state.NextAt(policy, turn, start), qt.Equals, start)
	qt.Check(t, state.Extend(3*time.Second, start), qt.IsTrue)
	qt.Check(t, state.NextAt(policy, warmup.Turn{Rank: 90, Nodes: 91}, start).After(start), qt.IsTrue)
	qt.Check(t, state.NextAt(warmup.Policy{}, turn, start), qt.Equals, start)
	end := start.Add(3 * time.Second)
	qt.Check(t, state.NextAt(policy, turn, end), qt.Equals, end)
}

// TestColdTimeIsExtended checks that a later report that a server is cold moves the end of that time, never its begin or the request counted in it.
func TestColdTimeIsExtended(t *testing.T) {
	var state warmup.State
	turn := warmup.Turn{Nodes: 91}
	qt.Check(t, state.Extend(3*time.Second, start), qt.IsTrue)
	state.Sent(start)
	qt.Check(t, state.Extend(time.Second, start.Add(time.Second)), qt.IsFalse)
	qt.Check(t, state.Extend(4*time.Second, start.Add(time.Second)), qt.IsFalse)
	qt.Check(t, state.IsCold(start.Add(4*time.Second)), qt.IsTrue)
	qt.Check(t, state.NextAt(policy, turn, start.Add(10*time.Millisecond)).After(start.Add(3*time.Second)), qt.IsTrue)
}

// node is a node that sends requests to the cold server whenever it may.
type node struct {
	state warmup.State
	turn  warmup.Turn
}

// turnWithoutSome returns the turn of a node on whose list up to a twentieth of the nodes are missing.
func turnWithoutSome(rank, count int, random *rand.Rand) warmup.Turn {
	turn := warmup.Turn{Rank: rank, Nodes: count}
	share := 0.05 * random.Float64()
	for other := range count {
		if other == rank || random.Float64() >= share {
			continue
		}
		turn.Nodes--
		if other < rank {
			turn.Rank--
		}
	}
	return turn
}

// mostInASecond returns the largest number of times that fall into one second.
func mostInASecond(sent []time.Duration) (most int) {
	slices.Sort(sent)
	first := 0
	for i, at := range sent {
		for at-sent[first] >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestServerNeverGetsMoreThanItTakes draws fleets whose nodes hear at different times that a server is cold, differ about the list of nodes, have requests
// at odd times and start again, and checks that no second has more requests than the server takes.
func TestServerNeverGetsMoreThanItTakes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.SampledFrom([]int{1, 2, 8, 91, 590}).Draw(t, "nodes")
		p := warmup.Policy{Duration: 3 * time.Second, Rate: warmup.Rate(rapid.SampledFrom([]float64{1, 5, 14, 40}).Draw(t, "rate"))}
		p.Most = 1.5*float64(p.Rate) + 5
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		lulled := rapid.Bool().Draw(t, "lull")
		offset := random.Float64()
		var sent []time.Duration
		for rank := range count {
			n := node{turn: turnWithoutSome(rank, count, random)}
			n.turn.Offset = offset
			heard := time.Duration(random.Float64() * float64(500*time.Millisecond))
			n.state.Extend(p.Duration, start.Add(heard))
			restart := time.Duration(-1)
			if random.IntN(20) == 0 {
				restart = time.Duration(random.Float64() * float64(p.Duration))
			}
			for at := heard; at < p.Duration; at += time.Duration(random.Float64() * float64(100*time.Millisecond)) {
				if lulled && at < 1500*time.Millisecond {
					continue
				}
				if restart >= 0 && at >= restart {
					n.state, restart = warmup.State{}, -1
					n.state.Extend(p.Duration-at, start.Add(at))
				}
				now := start.Add(at)
				if !n.state.NextAt(p, n.turn, now).After(now) {
					n.state.Sent(now)
					sent = append(sent, at)
				}
			}
		}
		if most := mostInASecond(sent); float64(most) > p.Most {
			t.Fatalf("%d requests in a second, %g allowed", most, p.Most)
		}
	})
}

// TestAllowanceIsUsed checks that nodes which have requests all the time use most of what a cold server takes, in a small and in a large fleet.
func TestAllowanceIsUsed(t *testing.T) {
	for _, count := range []int{1, 8, 91, 590} {
		used := 0
		for rank := range count {
			n := node{turn: warmup.Turn{Rank: rank, Nodes: count, Offset: 0.3}}
			n.state.Extend(policy.Duration, start)
			for at := time.Duration(0); at < policy.Duration; at += 20 * time.Millisecond {
				now := start.Add(at)
				if !n.state.NextAt(policy, n.turn, now).After(now) {
					n.state.Sent(now)
					used++
				}
			}
		}
		taken := policy.Duration.Seconds() * float64(policy.Rate)
		qt.Check(t, float64(used) > 0.7*taken, qt.IsTrue, qt.Commentf("%d nodes: %d of %g", count, used, taken))
	}
}
