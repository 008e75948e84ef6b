package poison

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

var start = time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)

// runsOf returns runs that have only just begun, whatever the time.
func runsOf(fingerprints ...Fingerprint) []RunningRequest {
	var runs []RunningRequest
	for _, f := range fingerprints {
		runs = append(runs, RunningRequest{Fingerprint: f, Since: start.Add(time.Hour)})
	}
	return runs
}

func poolOf(servers ...api.ServerID) []PoolServer {
	var pool []PoolServer
	for _, server := range servers {
		pool = append(pool, PoolServer{ID: server})
	}
	return pool
}

// fleet is a set of nodes before a pool of servers, some of them cut from each other.
type fleet struct {
	guards []*Guard
	// ahead holds by how much each node's clock is ahead.
	ahead   []time.Duration
	cut     [][]bool
	pool    []api.ServerID
	dead    map[api.ServerID]bool
	leaving map[api.ServerID]bool
	// told holds the servers of which each node knows that they leave.
	told    []map[api.ServerID]bool
	crashes int
	now     time.Time
}

func newFleet(nodes, servers int) *fleet {
	f := &fleet{dead: map[api.ServerID]bool{}, leaving: map[api.ServerID]bool{}, now: start}
	for range nodes {
		f.guards = append(f.guards, NewGuard(start))
		f.cut = append(f.cut, make([]bool, nodes))
		f.ahead = append(f.ahead, 0)
		f.told = append(f.told, map[api.ServerID]bool{})
	}
	for i := range servers {
		f.pool = append(f.pool, api.ServerID(fmt.Sprintf("server-%d", i)))
	}
	return f
}

// at returns the time by a node's clock.
func (f *fleet) at(node int) time.Time { return f.now.Add(f.ahead[node]) }

// exchange lets nodes that aren't cut from each other tell all they know.
func (f *fleet) exchange() {
	for i, guard := range f.guards {
		isWhole := true
		for j, peer := range f.guards {
			if f.cut[i][j] {
				isWhole = false
				continue
			}
			guard.Merge(peer.Suspicions(f.at(j)))
		}
		if isWhole {
			guard.RecordPeerReports(f.at(i))
		}
	}
}

// seenBy returns the pool as a node sees it.
func (f *fleet) seenBy(node int) []PoolServer {
	pool := poolOf(f.pool...)
	for i := range pool {
		pool[i].Leaving = f.told[node][pool[i].ID]
	}
	return pool
}

// send sends a poison request through a node, which would run it on the server that pick names.
func (f *fleet) send(node int, poison Fingerprint, pick int) {
	guard := f.guards[node]
	verdict, _ := guard.Decide(poison, f.at(node))
	if verdict == DecisionRejected {
		return
	}
	server := f.pool[pick%len(f.pool)]
	if verdict == DecisionRestricted {
		placed, ok := guard.DesignatedServer(poison, f.seenBy(node), f.at(node))
		if !ok {
			return
		}
		server = placed
	}
	if f.dead[server] {
		return
	}
	if f.leaving[server] {
		f.told[node][server] = true
		return
	}
	f.crashes++
	f.die(server)
	told := guard.RecordCrash(server, runsOf(poison), f.at(node))
	for j, peer := range f.guards {
		if !f.cut[node][j] {
			peer.Merge(told)
		}
	}
}

// die ends a server. Every node has connections to it and sees them end; only one that ran something there knows what it was.
func (f *fleet) die(server api.ServerID) {
	f.dead[server] = true
	for i, g := range f.guards {
		g.RecordFailure(server, f.at(i))
	}
}

// TestPoisonCrashesAtMostTwo lets a caller resend a poison request without end through all nodes
// while they are cut from each other in any way, for up to 30 s, and servers restart, leave and die of other causes meanwhile,
// many at once.
func TestPoisonCrashesAtMostTwo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 8).Draw(t, "nodes")
		f := newFleet(nodes, rapid.IntRange(2, 18).Draw(t, "servers"))
		for i := range nodes {
			f.ahead[i] = time.Duration(rapid.IntRange(0, 300).Draw(t, "ahead")) * time.Millisecond
			for j := range i {
				f.cut[i][j] = rapid.Bool().Draw(t, "cut")
				f.cut[j][i] = f.cut[i][j]
			}
		}
		poison := Fingerprint(rapid.Uint64().Draw(t, "poison"))
		healAt := start.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "cutSeconds")) * time.Second)
		exchanged := start
		for range 150 {
			f.now = f.now.Add(time.Duration(rapid.IntRange(1, 600).Draw(t, "pause")) * time.Millisecond)
			if !f.now.Before(healAt) {
				f.cut = newFleet(nodes, 0).cut
			}
			if rapid.Bool().Draw(t, "exchange") || f.now.Sub(exchanged) > PeerReportMaxAge/2 {
				f.exchange()
				exchanged = f.now
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				f.dead = map[api.ServerID]bool{}
			}
			if rapid.IntRange(0, 9).Draw(t, "outage") == 0 {
				for range rapid.IntRange(1, 4).Draw(t, "dying") {
					f.die(f.pool[rapid.IntRange(0, len(f.pool)-1).Draw(t, "victim")])
				}
			}
			if rapid.IntRange(0, 29).Draw(t, "leave") == 0 {
				leaving := f.pool[rapid.IntRange(0, len(f.pool)-1).Draw(t, "leaving")]
				f.leaving[leaving] = true
				f.told[rapid.IntRange(0, nodes-1).Draw(t, "told")][leaving] = true
			}
			f.send(rapid.IntRange(0, nodes-1).Draw(t, "node"), poison, rapid.IntRange(0, 99).Draw(t, "pick"))
		}
		if f.crashes > MaxCrashes {
			t.Fatalf("%d servers crashed", f.crashes)
		}
	})
}

// TestPlaceIsNotLostToAnotherDeath lets a request's server die together with the one that the request is to run on next. Once
// the peers have told that the request did not run there, it is placed on a third.
func TestPlaceIsNotLostToAnotherDeath(t *testing.T) {
	const innocent Fingerprint = 7
	pool := poolOf("a", "b", "c", "d")
	guard := NewGuard(start)
	guard.RecordCrash("a", runsOf(innocent), start.Add(time.Millisecond))
	next, ok := guard.DesignatedServer(innocent, pool, start.Add(time.Millisecond))
	qt.Assert(t, ok, qt.IsTrue)
	guard.RecordFailure(next, start.Add(2*time.Millisecond))
	now := start.Add(time.Second)
	_, ok = guard.DesignatedServer(innocent, pool, now)
	qt.Assert(t, ok, qt.IsFalse)

	now = start.Add(CrashDetectionTimeout + time.Second)
	guard.RecordPeerReports(now)
	placed, ok := guard.DesignatedServer(innocent, pool, now)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, placed != next && placed != "a", qt.IsTrue)

	guard.RecordCrash(placed, runsOf(innocent), now)
	verdict, _ := guard.Decide(innocent, now)
	qt.Assert(t, verdict, qt.Equals, DecisionRejected)
}

// TestPlaceInSmallPool lets both servers of a pool die; the request that ran on one of them runs on the other once it is back.
func TestPlaceInSmallPool(t *testing.T) {
	const innocent Fingerprint = 7
	guard := NewGuard(start)
	guard.RecordCrash("a", runsOf(innocent), start.Add(time.Millisecond))
	guard.RecordFailure("b", start.Add(time.Millisecond))
	now := start.Add(CrashDetectionTimeout + time.Second)
	guard.RecordPeerReports(now)
	placed, ok := guard.DesignatedServer(innocent, poolOf("a", "b"), now)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, placed, qt.Equals, api.ServerID("b"))
}

// TestPlaceIsNotALeavingServer passes over a server that would refuse the request.
func TestPlaceIsNotALeavingServer(t *testing.T) {
	const innocent Fingerprint = 7
	guard := NewGuard(start)
	guard.RecordCrash("a", runsOf(innocent), start.Add(time.Millisecond))
	pool := poolOf("a", "b", "c")
	for range 2 {
		placed, ok := guard.DesignatedServer(innocent, pool, start.Add(time.Second))
		qt.Assert(t, ok, qt.IsTrue)
		for i := range pool {
			qt.Assert(t, pool[i].Leaving && pool[i].ID == placed, qt.IsFalse)
			pool[i].Leaving = pool[i].Leaving || pool[i].ID == placed
		}
	}
	_, ok := guard.DesignatedServer(innocent, pool, start.Add(time.Second))
	qt.Assert(t, ok, qt.IsFalse)
}

// TestInnocentIsReleased checks both ways out: a run to the end, and ReleaseAfter.
func TestInnocentIsReleased(t *testing.T) {
	const innocent Fingerprint = 7
	guard := NewGuard(start)
	guard.RecordCrash("a", runsOf(innocent), start)
	verdict, _ := guard.Decide(innocent, start)
	qt.Assert(t, verdict, qt.Equals, DecisionRestricted)
	_, cleared := guard.RecordCompletion(innocent, start.Add(time.Second))
	qt.Assert(t, cleared, qt.IsTrue)
	guard.RecordPeerReports(start.Add(time.Second))
	verdict, _ = guard.Decide(innocent, start.Add(time.Second))
	qt.Assert(t, verdict, qt.Equals, DecisionUnrestricted)

	later := start.Add(time.Minute)
	guard.RecordCrash("a", runsOf(innocent), later)
	guard.RecordCrash("b", runsOf(innocent), later.Add(time.Second))
	verdict, after := guard.Decide(innocent, later.Add(2*time.Second))
	qt.Assert(t, verdict, qt.Equals, DecisionRejected)
	qt.Assert(t, after, qt.Equals, SuspicionTTL-time.Second)
	released := later.Add(time.Second + SuspicionTTL)
	guard.RecordPeerReports(released)
	verdict, _ = guard.Decide(innocent, released)
	qt.Assert(t, verdict, qt.Equals, DecisionUnrestricted)
}

// TestRefusalOfUnknownIsShort checks that a request that nobody suspects is told to come back before the alarm ends.
func TestRefusalOfUnknownIsShort(t *testing.T) {
	const unknown Fingerprint = 9
	guard := NewGuard(start)
	pool := poolOf("a", "b")
	for i, member := range pool {
		guard.RecordFailure(member.ID, start.Add(time.Duration(i+1)*time.Millisecond))
	}
	now := start.Add(time.Second)
	verdict, _ := guard.Decide(unknown, now)
	qt.Assert(t, verdict, qt.Equals, DecisionRestricted)
	_, ok := guard.DesignatedServer(unknown, pool, now)
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, guard.RetryAfter(unknown, now) < CautionPeriod, qt.IsTrue)
}

func TestFingerprintKeepsPartsApart(t *testing.T) {
	qt.Assert(t, FingerprintOf([]byte("ab"), []byte("c")) != FingerprintOf([]byte("a"), []byte("bc")), qt.IsTrue)
}

func TestSuspectsAreBounded(t *testing.T) {
	guard := NewGuard(start)
	for i := range MaxSuspects + 10 {
		guard.RecordCrash("a", runsOf(Fingerprint(i)), start.Add(time.Duration(i)*time.Millisecond))
	}
	qt.Assert(t, len(guard.Suspicions(start.Add(time.Minute))), qt.Equals, MaxSuspects)
}

// TestLongRunsYieldToWhatHadOnlyJustCome lets a server die under a request that had run there for long and one that had only just
// come, which have the same place: the first waits until the second has run there, and goes elsewhere if that server dies too.
func TestLongRunsYieldToWhatHadOnlyJustCome(t *testing.T) {
	pool := poolOf("a", "b", "c", "d")
	placeOf := func(f Fingerprint) api.ServerID {
		for member := range inOrder(f, pool) {
			if member.ID != "a" {
				return member.ID
			}
		}
		return ""
	}
	poison := Fingerprint(1)
	var sharing, elsewhere Fingerprint
	for f := Fingerprint(2); sharing == 0 || elsewhere == 0; f++ {
		if placeOf(f) == placeOf(poison) {
			sharing = f
		} else {
			elsewhere = f
		}
	}
	died := start.Add(time.Minute)
	crashed := func() (own, peer *Guard) {
		own, peer = NewGuard(died), NewGuard(died)
		own.RecordCrash("a", []RunningRequest{{sharing, start}, {elsewhere, start}}, died)
		told := peer.RecordCrash("a", []RunningRequest{{poison, died.Add(-time.Millisecond)}}, died)
		own.Merge(told)
		own.RecordPeerReports(died.Add(time.Millisecond))
		return own, peer
	}
	place := func(g *Guard, f Fingerprint, after time.Duration) api.ServerID {
		placed, _ := g.DesignatedServer(f, pool, died.Add(after))
		return placed
	}

	own, peer := crashed()
	qt.Check(t, place(peer, poison, 0), qt.Equals, placeOf(poison), qt.Commentf("what had only just come goes first"))
	for _, f := range []Fingerprint{sharing, elsewhere} {
		qt.Check(t, place(own, f, newsWithin-1), qt.Equals, api.ServerID(""), qt.Commentf("the peers' news may be under way"))
	}
	qt.Check(t, place(own, elsewhere, newsWithin), qt.Equals, placeOf(elsewhere))
	qt.Check(t, place(own, sharing, newsWithin), qt.Equals, api.ServerID(""))
	qt.Check(t, place(own, sharing, yieldFor), qt.Equals, placeOf(sharing), qt.Commentf("no longer than yieldFor"))

	cleared, _ := peer.RecordCompletion(poison, died.Add(time.Second))
	own.Merge([]Suspicion{cleared})
	qt.Check(t, place(own, sharing, time.Second), qt.Equals, placeOf(sharing), qt.Commentf("the other ran to its end"))

	own, peer = crashed()
	second := died.Add(600 * time.Millisecond)
	own.Merge(peer.RecordCrash(placeOf(poison), []RunningRequest{{poison, second}}, second))
	own.RecordFailure(placeOf(poison), second)
	own.RecordPeerReports(second.Add(CrashDetectionTimeout))
	verdict, _ := own.Decide(sharing, second.Add(CrashDetectionTimeout))
	qt.Check(t, verdict, qt.Equals, DecisionRestricted)
	placed := place(own, sharing, 600*time.Millisecond+CrashDetectionTimeout)
	qt.Check(t, placed != "" && placed != placeOf(poison), qt.IsTrue, qt.Commentf("placed on %q", placed))
}

// TestOrderOfMergesDoesNotMatter merges the same suspicions in two orders, and one of them twice.
func TestOrderOfMergesDoesNotMatter(t *testing.T) {
	servers := []api.ServerID{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		drawn := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Suspicion {
			suspicion := Suspicion{Fingerprint: Fingerprint(rapid.IntRange(1, 3).Draw(t, "fingerprint"))}
			for _, server := range servers {
				if rapid.Bool().Draw(t, "crashed") {
					suspicion.Crashes = append(suspicion.Crashes, Crash{
						Server: server, At: start.Add(time.Duration(rapid.IntRange(1, 3).Draw(t, "at")) * time.Second), Young: rapid.Bool().Draw(t, "young"),
					})
				}
			}
			return suspicion
		}), 0, 6).Draw(t, "suspicions")
		now := start.Add(time.Minute)
		forwards, backwards := NewGuard(start), NewGuard(start)
		forwards.Merge(drawn)
		for _, suspicion := range slices.Backward(drawn) {
			backwards.Merge([]Suspicion{suspicion})
			backwards.Merge([]Suspicion{suspicion})
		}
		if got, want := backwards.Suspicions(now), forwards.Suspicions(now); !reflect.DeepEqual(got, want) {
			t.Fatalf("%v\n%v", got, want)
		}
	})
}
