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

// runningRequests returns requests that count as young at any time that the tests use.
func runningRequests(fingerprints ...Fingerprint) []RunningRequest {
	var requests []RunningRequest
	for _, f := range fingerprints {
		requests = append(requests, RunningRequest{Fingerprint: f, Since: start.Add(time.Hour)})
	}
	return requests
}

func poolOf(servers ...api.ServerID) []PoolServer {
	var pool []PoolServer
	for _, server := range servers {
		pool = append(pool, PoolServer{ID: server})
	}
	return pool
}

// fleet simulates nodes that send requests to a pool of servers; some nodes are partitioned from each other.
type fleet struct {
	guards []*Guard
	// clockOffset holds the time by which each node's clock is fast.
	clockOffset []time.Duration
	partitioned [][]bool
	pool        []api.ServerID
	failed      map[api.ServerID]bool
	leaving     map[api.ServerID]bool
	// knownLeaving holds, for each node, the servers that it knows to be leaving.
	knownLeaving []map[api.ServerID]bool
	crashes      int
	now          time.Time
}

func newFleet(nodes, servers int) *fleet {
	f := &fleet{failed: map[api.ServerID]bool{}, leaving: map[api.ServerID]bool{}, now: start}
	for range nodes {
		f.guards = append(f.guards, NewGuard(start))
		f.partitioned = append(f.partitioned, make([]bool, nodes))
		f.clockOffset = append(f.clockOffset, 0)
		f.knownLeaving = append(f.knownLeaving, map[api.ServerID]bool{})
	}
	for i := range servers {
		f.pool = append(f.pool, api.ServerID(fmt.Sprintf("server-%d", i)))
	}
	return f
}

// at returns the time of a node's clock.
func (f *fleet) at(node int) time.Time { return f.now.Add(f.clockOffset[node]) }

// exchange merges the suspicions of all nodes that aren't partitioned from each other.
func (f *fleet) exchange() {
	for i, guard := range f.guards {
		hasAllReports := true
		for j, peer := range f.guards {
			if f.partitioned[i][j] {
				hasAllReports = false
				continue
			}
			guard.Merge(peer.Suspicions(f.at(j)))
		}
		if hasAllReports {
			guard.RecordPeerReports(f.at(i))
		}
	}
}

// poolSeenBy returns the pool with the leaving servers that a node knows.
func (f *fleet) poolSeenBy(node int) []PoolServer {
	pool := poolOf(f.pool...)
	for i := range pool {
		pool[i].Leaving = f.knownLeaving[node][pool[i].ID]
	}
	return pool
}

// send sends a poison request through a node, which dispatches it to the server with the index choice if it isn't restricted.
func (f *fleet) send(node int, poison Fingerprint, choice int) {
	guard := f.guards[node]
	decision, _ := guard.Decide(poison, f.at(node))
	if decision == DecisionRejected {
		return
	}
	server := f.pool[choice%len(f.pool)]
	if decision == DecisionRestricted {
		designated, ok := guard.DesignatedServer(poison, f.poolSeenBy(node), f.at(node))
		if !ok {
			return
		}
		server = designated
	}
	if f.failed[server] {
		return
	}
	if f.leaving[server] {
		f.knownLeaving[node][server] = true
		return
	}
	f.crashes++
	f.fail(server)
	suspicions := guard.RecordCrash(server, runningRequests(poison), f.at(node))
	for j, peer := range f.guards {
		if !f.partitioned[node][j] {
			peer.Merge(suspicions)
		}
	}
}

// fail makes a server fail. All nodes have connections to it and observe the failure; only those that ran requests there know
// which ones.
func (f *fleet) fail(server api.ServerID) {
	f.failed[server] = true
	for i, g := range f.guards {
		g.RecordFailure(server, f.at(i))
	}
}

// TestPoisonCrashesAtMostTwoServers checks the limit on crashes while a caller resends a poison request through all nodes, the
// nodes are partitioned in any way for up to 30 s, and servers restart, leave and fail for other causes, several of them at once.
func TestPoisonCrashesAtMostTwoServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 8).Draw(t, "nodes")
		f := newFleet(nodes, rapid.IntRange(2, 18).Draw(t, "servers"))
		for i := range nodes {
			f.clockOffset[i] = time.Duration(rapid.IntRange(0, 300).Draw(t, "ahead")) * time.Millisecond
			for j := range i {
				f.partitioned[i][j] = rapid.Bool().Draw(t, "cut")
				f.partitioned[j][i] = f.partitioned[i][j]
			}
		}
		poison := Fingerprint(rapid.Uint64().Draw(t, "poison"))
		healAt := start.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "cutSeconds")) * time.Second)
		exchanged := start
		for range 150 {
			f.now = f.now.Add(time.Duration(rapid.IntRange(1, 600).Draw(t, "pause")) * time.Millisecond)
			if !f.now.Before(healAt) {
				f.partitioned = newFleet(nodes, 0).partitioned
			}
			if rapid.Bool().Draw(t, "exchange") || f.now.Sub(exchanged) > PeerReportMaxAge/2 {
				f.exchange()
				exchanged = f.now
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				f.failed = map[api.ServerID]bool{}
			}
			if rapid.IntRange(0, 9).Draw(t, "outage") == 0 {
				for range rapid.IntRange(1, 4).Draw(t, "dying") {
					f.fail(f.pool[rapid.IntRange(0, len(f.pool)-1).Draw(t, "victim")])
				}
			}
			if rapid.IntRange(0, 29).Draw(t, "leave") == 0 {
				leaving := f.pool[rapid.IntRange(0, len(f.pool)-1).Draw(t, "leaving")]
				f.leaving[leaving] = true
				f.knownLeaving[rapid.IntRange(0, nodes-1).Draw(t, "told")][leaving] = true
			}
			f.send(rapid.IntRange(0, nodes-1).Draw(t, "node"), poison, rapid.IntRange(0, 99).Draw(t, "pick"))
		}
		if f.crashes > MaxCrashes {
			t.Fatalf("%d servers crashed", f.crashes)
		}
	})
}

// TestDesignatedServerAfterAnotherFailure lets the server of a request crash and then its designated server fail. The request is
// assigned to a third server, but only after the peers have reported that it didn't run on the second one.
func TestDesignatedServerAfterAnotherFailure(t *testing.T) {
	const harmless Fingerprint = 7
	pool := poolOf("a", "b", "c", "d")
	guard := NewGuard(start)
	guard.RecordCrash("a", runningRequests(harmless), start.Add(time.Millisecond))
	next, ok := guard.DesignatedServer(harmless, pool, start.Add(time.Millisecond))
	qt.Assert(t, ok, qt.IsTrue)
	guard.RecordFailure(next, start.Add(2*time.Millisecond))
	now := start.Add(time.Second)
	_, ok = guard.DesignatedServer(harmless, pool, now)
	qt.Assert(t, ok, qt.IsFalse)

	now = start.Add(CrashDetectionTimeout + time.Second)
	guard.RecordPeerReports(now)
	designated, ok := guard.DesignatedServer(harmless, pool, now)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, designated != next && designated != "a", qt.IsTrue)

	guard.RecordCrash(designated, runningRequests(harmless), now)
	decision, _ := guard.Decide(harmless, now)
	qt.Assert(t, decision, qt.Equals, DecisionRejected)
}

// TestDesignatedServerInSmallPool lets both servers of a pool fail. A request that ran on one of them may run on the other one
// once the peers have reported.
func TestDesignatedServerInSmallPool(t *testing.T) {
	const harmless Fingerprint = 7
	guard := NewGuard(start)
	guard.RecordCrash("a", runningRequests(harmless), start.Add(time.Millisecond))
	guard.RecordFailure("b", start.Add(time.Millisecond))
	now := start.Add(CrashDetectionTimeout + time.Second)
	guard.RecordPeerReports(now)
	designated, ok := guard.DesignatedServer(harmless, poolOf("a", "b"), now)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, designated, qt.Equals, api.ServerID("b"))
}

// TestDesignatedServerIsNotLeaving checks that leaving servers, which would reject the request, are skipped.
func TestDesignatedServerIsNotLeaving(t *testing.T) {
	const harmless Fingerprint = 7
	guard := NewGuard(start)
	guard.RecordCrash("a", runningRequests(harmless), start.Add(time.Millisecond))
	pool := poolOf("a", "b", "c")
	for range 2 {
		designated, ok := guard.DesignatedServer(harmless, pool, start.Add(time.Second))
		qt.Assert(t, ok, qt.IsTrue)
		for i := range pool {
			qt.Assert(t, pool[i].Leaving && pool[i].ID == designated, qt.IsFalse)
			pool[i].Leaving = pool[i].Leaving || pool[i].ID == designated
		}
	}
	_, ok := guard.DesignatedServer(harmless, pool, start.Add(time.Second))
	qt.Assert(t, ok, qt.IsFalse)
}

// TestSuspicionEnds checks that a suspicion ends when a request is completed, and after SuspicionTTL.
func TestSuspicionEnds(t *testing.T) {
	const harmless Fingerprint = 7
	guard := NewGuard(start)
	guard.RecordCrash("a", runningRequests(harmless), start)
	decision, _ := guard.Decide(harmless, start)
	qt.Assert(t, decision, qt.Equals, DecisionRestricted)
	_, cleared := guard.RecordCompletion(harmless, start.Add(time.Second))
	qt.Assert(t, cleared, qt.IsTrue)
	guard.RecordPeerReports(start.Add(time.Second))
	decision, _ = guard.Decide(harmless, start.Add(time.Second))
	qt.Assert(t, decision, qt.Equals, DecisionUnrestricted)

	later := start.Add(time.Minute)
	guard.RecordCrash("a", runningRequests(harmless), later)
	guard.RecordCrash("b", runningRequests(harmless), later.Add(time.Second))
	decision, after := guard.Decide(harmless, later.Add(2*time.Second))
	qt.Assert(t, decision, qt.Equals, DecisionRejected)
	qt.Assert(t, after, qt.Equals, SuspicionTTL-time.Second)
	released := later.Add(time.Second + SuspicionTTL)
	guard.RecordPeerReports(released)
	decision, _ = guard.Decide(harmless, released)
	qt.Assert(t, decision, qt.Equals, DecisionUnrestricted)
}

// TestRetryAfterOfUnknownIsShort checks that a request that is restricted without a suspicion may retry before the caution period
// ends.
func TestRetryAfterOfUnknownIsShort(t *testing.T) {
	const unknown Fingerprint = 9
	guard := NewGuard(start)
	pool := poolOf("a", "b")
	for i, server := range pool {
		guard.RecordFailure(server.ID, start.Add(time.Duration(i+1)*time.Millisecond))
	}
	now := start.Add(time.Second)
	decision, _ := guard.Decide(unknown, now)
	qt.Assert(t, decision, qt.Equals, DecisionRestricted)
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
		guard.RecordCrash("a", runningRequests(Fingerprint(i)), start.Add(time.Duration(i)*time.Millisecond))
	}
	qt.Assert(t, len(guard.Suspicions(start.Add(time.Minute))), qt.Equals, MaxSuspects)
}

// TestOldRequestsYieldToYoungOnes crashes a server that ran an old and a young request with the same designated server. The old
// request must wait until the young one has run there, and must be assigned to another server if that server crashes too.
func TestOldRequestsYieldToYoungOnes(t *testing.T) {
	pool := poolOf("a", "b", "c", "d")
	designatedFor := func(f Fingerprint) api.ServerID {
		for server := range byRank(f, pool) {
			if server.ID != "a" {
				return server.ID
			}
		}
		return ""
	}
	poison := Fingerprint(1)
	var sameServer, otherServer Fingerprint
	for f := Fingerprint(2); sameServer == 0 || otherServer == 0; f++ {
		if designatedFor(f) == designatedFor(poison) {
			sameServer = f
		} else {
			otherServer = f
		}
	}
	failedAt := start.Add(time.Minute)
	crashed := func() (own, peer *Guard) {
		own, peer = NewGuard(failedAt), NewGuard(failedAt)
		own.RecordCrash("a", []RunningRequest{{sameServer, start}, {otherServer, start}}, failedAt)
		suspicions := peer.RecordCrash("a", []RunningRequest{{poison, failedAt.Add(-time.Millisecond)}}, failedAt)
		own.Merge(suspicions)
		own.RecordPeerReports(failedAt.Add(time.Millisecond))
		return own, peer
	}
	designate := func(g *Guard, f Fingerprint, after time.Duration) api.ServerID {
		designated, _ := g.DesignatedServer(f, pool, failedAt.Add(after))
		return designated
	}

	own, peer := crashed()
	qt.Check(t, designate(peer, poison, 0), qt.Equals, designatedFor(poison), qt.Commentf("the young request runs first"))
	for _, f := range []Fingerprint{sameServer, otherServer} {
		qt.Check(t, designate(own, f, peerReportDelay-1), qt.Equals, api.ServerID(""), qt.Commentf("the peers' reports may be in transit"))
	}
	qt.Check(t, designate(own, otherServer, peerReportDelay), qt.Equals, designatedFor(otherServer))
	qt.Check(t, designate(own, sameServer, peerReportDelay), qt.Equals, api.ServerID(""))
	qt.Check(t, designate(own, sameServer, yieldPeriod), qt.Equals, designatedFor(sameServer), qt.Commentf("yieldPeriod is over"))

	cleared, _ := peer.RecordCompletion(poison, failedAt.Add(time.Second))
	own.Merge([]Suspicion{cleared})
	qt.Check(t, designate(own, sameServer, time.Second), qt.Equals, designatedFor(sameServer), qt.Commentf("the young request was completed"))

	own, peer = crashed()
	second := failedAt.Add(600 * time.Millisecond)
	own.Merge(peer.RecordCrash(designatedFor(poison), []RunningRequest{{poison, second}}, second))
	own.RecordFailure(designatedFor(poison), second)
	own.RecordPeerReports(second.Add(CrashDetectionTimeout))
	decision, _ := own.Decide(sameServer, second.Add(CrashDetectionTimeout))
	qt.Check(t, decision, qt.Equals, DecisionRestricted)
	designated := designate(own, sameServer, 600*time.Millisecond+CrashDetectionTimeout)
	qt.Check(t, designated != "" && designated != designatedFor(poison), qt.IsTrue, qt.Commentf("designated server %q", designated))
}

// TestOrderOfMergesDoesNotMatter merges the same suspicions in two orders, in one of them each suspicion twice.
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
