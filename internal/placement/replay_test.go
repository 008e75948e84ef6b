package placement_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/backend"
	"github.com/monsoonrail/monsoonrail/internal/placement"
	"github.com/monsoonrail/monsoonrail/internal/serverpace"
	"github.com/monsoonrail/monsoonrail/internal/workload"
)

// replay is a load of requests that many nodes place at servers which read one prompt after the other. A node knows its own requests at once, and those
// of the others by what was told last.
type replay struct {
	nodes, servers int
	perSecond      float64
	length         time.Duration
	// work draws the work of a request; slowness returns that of a server at a time.
	work     func(random *rand.Rand) time.Duration
	slowness func(server int, at time.Duration) float64
	// estimate returns the work that a node expects of a request; nil means the true one.
	estimate func(node int, work time.Duration) time.Duration
	// isMissing reports whether a server isn't yet known at a time; nil means that all are known.
	isMissing func(server int, at time.Duration) bool
	// meanSlowdown is what servers say on average of how slow their machines are; 0 if they say nothing.
	meanSlowdown float64
	// isDeaf is set if nodes know only of their own requests and answers.
	isDeaf bool
}

// served is a request of a replay.
type served struct {
	server               int
	at, work, firstEvent time.Duration
}

// underWay is a request at a server until its first event.
type underWay struct {
	node  int
	until time.Duration
	told  workload.Work
}

// toldInterval is how often nodes hear of each other.
const toldInterval = 200 * time.Millisecond

func (r replay) run() []served {
	random := rand.New(rand.NewPCG(7, 7))
	busyUntil, atServer := make([]time.Duration, r.servers), make([][]underWay, r.servers)
	paces, heard := make([]serverpace.Pace, r.servers), make([][]underWay, r.servers)
	heardPaces := make([]workload.Pace, r.servers)
	epoch := time.Unix(1_700_000_000, 0)
	var all []served
	toldAt := -toldInterval
	for at := time.Duration(0); at < r.length; at += time.Duration(random.ExpFloat64() / r.perSecond * float64(time.Second)) {
		for s := range atServer {
			atServer[s] = slices.DeleteFunc(atServer[s], func(u underWay) bool { return u.until <= at })
		}
		if at-toldAt >= toldInterval && !r.isDeaf {
			toldAt = at
			for s := range atServer {
				heard[s], heardPaces[s] = slices.Clone(atServer[s]), paces[s].At(epoch.Add(at))
			}
		}
		node, work := random.IntN(r.nodes), r.work(random)
		expected := work
		if r.estimate != nil {
			expected = r.estimate(node, work)
		}
		var candidates []placement.Candidate
		var ids []int
		for _, s := range random.Perm(r.servers) {
			if r.isMissing != nil && r.isMissing(s, at) {
				continue
			}
			view := backend.View{Slowness: serverpace.Slowness(heardPaces[s], 1), PeersAge: at - toldAt}
			if r.meanSlowdown > 0 && !r.isDeaf {
				view.Slowness *= serverpace.SlowdownFactor(r.slowness(s, toldAt), r.meanSlowdown, at-toldAt)
			}
			for _, u := range atServer[s] {
				if u.node == node {
					view.InFlight, view.Unread = view.InFlight+1, view.Unread+u.told
				}
			}
			if !r.isDeaf {
				view.Peers.At = epoch
				for _, u := range heard[s] {
					if u.node != node {
						view.Peers.Load = view.Peers.Load.Add(workload.Load{Requests: 1, Unread: u.told})
					}
				}
			}
			ids = append(ids, s)
			candidates = append(candidates, placement.Candidate{View: view, Slots: 48, IsSameDomain: true, Unread: workload.Work(expected)})
		}
		request := placement.Request{PerRequest: workload.Work(3 * time.Millisecond), Seed: random.Uint64()}
		s := ids[placement.Choose(request, candidates)]
		begin := max(at, busyUntil[s])
		busyUntil[s] = r.finish(s, begin, work)
		paces[s].Add(busyUntil[s]-begin, work, epoch.Add(busyUntil[s]))
		atServer[s] = append(atServer[s], underWay{node: node, until: busyUntil[s], told: workload.Work(expected)})
		all = append(all, served{server: s, at: at, work: work, firstEvent: busyUntil[s] - at})
	}
	return all
}

// finish returns when a server that begins a work has done it.
func (r replay) finish(server int, begin, work time.Duration) time.Duration {
	const step = 20 * time.Millisecond
	at := begin
	for ; work > 0; work -= step {
		at += time.Duration(r.slowness(server, at) * float64(min(work, step)))
	}
	return at
}

// maxWait is half of the time in which callers want the first event of a small prompt, and maxLateShare is the share of the requests that may wait longer.
const (
	maxWait      = time.Second
	maxLateShare = 0.05
)

// lateShare returns the share of the requests, of those that isCounted, that waited longer than limit beyond their own work.
func lateShare(all []served, limit time.Duration, isCounted func(s served) bool) float64 {
	late, count := 0, 0
	for _, s := range all {
		if isCounted(s) {
			count++
			if s.firstEvent-s.work > limit {
				late++
			}
		}
	}
	return float64(late) / float64(max(count, 1))
}

func isAny(served) bool { return true }

func isLarge(s served) bool { return s.work > 500*time.Millisecond }

// mixedWork draws small prompts with a few large ones.
func mixedWork(random *rand.Rand) time.Duration {
	if random.Float64() < 0.05 {
		return time.Second + time.Duration(random.Int64N(int64(time.Second)))
	}
	return 20*time.Millisecond + time.Duration(random.Int64N(int64(40*time.Millisecond)))
}

func usualSpeed(int, time.Duration) float64 { return 1 }

// mixed is a load of 91 nodes at 90 servers that takes about a third of their time.
func mixed() replay {
	return replay{nodes: 91, servers: 90, perSecond: 280, length: 20 * time.Second, work: mixedWork, slowness: usualSpeed}
}

// TestLongPromptsBesideSmallOnes checks that few small prompts wait behind large ones, and that large ones aren't starved.
func TestLongPromptsBesideSmallOnes(t *testing.T) {
	all := mixed().run()
	small := lateShare(all, maxWait, func(s served) bool { return !isLarge(s) })
	qt.Check(t, small < maxLateShare, qt.IsTrue, qt.Commentf("%.3f of the small prompts wait", small))
	large := lateShare(all, maxWait, isLarge)
	qt.Check(t, large < maxLateShare, qt.IsTrue, qt.Commentf("%.3f of the large prompts wait", large))
}

// TestWrongEstimates checks that nodes whose learnt times are three times too long or too short, and which tell the others so, delay few requests.
func TestWrongEstimates(t *testing.T) {
	for name, factor := range map[string]float64{"too long": 3, "too short": 1. / 3} {
		t.Run(name, func(t *testing.T) {
			load := mixed()
			load.estimate = func(node int, work time.Duration) time.Duration {
				if node < 10 {
					return time.Duration(factor * float64(work))
				}
				return work
			}
			late := lateShare(load.run(), maxWait, isAny)
			qt.Assert(t, late < maxLateShare, qt.IsTrue, qt.Commentf("%.3f late", late))
		})
	}
}

// TestSlowServers checks that a quarter of servers at half speed get less, and that the others aren't overrun by it.
func TestSlowServers(t *testing.T) {
	load := mixed()
	load.slowness = func(server int, _ time.Duration) float64 {
		if server%4 == 0 {
			return 2
		}
		return 1
	}
	load.work = func(*rand.Rand) time.Duration { return 100 * time.Millisecond }
	requests, total, slow := make([]float64, load.servers), 0.0, 0.0
	for _, s := range load.run() {
		requests[s.server]++
		total++
		if s.server%4 == 0 {
			slow++
		}
	}
	qt.Check(t, slow/total < 0.2, qt.IsTrue, qt.Commentf("slow servers get %.2f of the requests", slow/total))
	busiest := slices.Max(requests) / (total / float64(load.servers))
	qt.Check(t, busiest < 1.6, qt.IsTrue, qt.Commentf("busiest %.2f of the mean", busiest))
}

// TestServerSlowForAMoment checks that servers which are three times slower for 600 ms delay few requests in this time and after it.
func TestServerSlowForAMoment(t *testing.T) {
	load := mixed()
	load.slowness = func(server int, at time.Duration) float64 {
		if server%8 == int(at/(600*time.Millisecond))%8 {
			return 3
		}
		return 1
	}
	load.meanSlowdown = 1.25
	late := lateShare(load.run(), maxWait, func(s served) bool { return !isLarge(s) })
	qt.Assert(t, late < maxLateShare, qt.IsTrue, qt.Commentf("%.3f late", late))
}

// TestServerBecomesEmpty checks that 91 nodes which hear at the same time of a server without requests don't all send it theirs.
func TestServerBecomesEmpty(t *testing.T) {
	load := mixed()
	load.perSecond, load.length = 1200, 4*time.Second
	const appearsAt = 3 * time.Second
	load.isMissing = func(server int, at time.Duration) bool { return server == 0 && at < appearsAt }
	sent := 0
	for _, s := range load.run() {
		if s.server == 0 && s.at < appearsAt+2*toldInterval {
			sent++
		}
	}
	// An even share is five; more may go there until its queue is as long as those of the others.
	qt.Assert(t, sent <= 30, qt.IsTrue, qt.Commentf("%d requests", sent))
}
