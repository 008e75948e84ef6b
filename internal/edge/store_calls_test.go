package edge_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// callsDomains and callsNodes are the failure domains and nodes of the fleet whose calls to the store are counted.
	callsDomains = 4
	callsNodes   = 40
)

// withLargeFleet runs a test with a fleet of callsNodes nodes.
func withLargeFleet(t *testing.T, test func(f *testFleet)) {
	withTestFleet(t, func(f *testFleet) {
		f.store.Calls()
		for i := range callsNodes - len(f.nodes) {
			f.startIn(fmt.Sprintf("10.0.1.%d", i+1), api.FailureDomain(fmt.Sprintf("z%d", i%callsDomains+1)))
		}
		test(f)
	})
}

// TestCallsOfALargeFleetAreBounded counts the calls to the store of a fleet that starts, rests, has a roll-out that fails while the store is out, and
// rests again. At rest only one node of each failure domain polls the store.
func TestCallsOfALargeFleetAreBounded(t *testing.T) {
	const (
		rest            = 10
		callsPerStart   = 6
		pagesPerList    = callsNodes/5 + 1
		pollsPerSecond  = 1.5
		renewsPerSecond = 1.0
		renewInterval   = time.Second
		outage          = 8
		// fallbackRate is the fleet's budget of calls of the nodes that read the store through others.
		fallbackRate = 40
		// retriesPerSecond are those of a node whose writes fail, and of the three nodes of each failure domain that read the store freely.
		writesPerSecond, readsPerSecond = 4, 4
	)
	withLargeFleet(t, func(f *testFleet) {
		time.Sleep(startTime)
		calls, allowed := f.store.Calls(), callsNodes*(callsPerStart+pagesPerList)
		f.c.Check(calls <= allowed, qt.IsTrue, qt.Commentf("%d calls at the start, %d allowed", calls, allowed))
		// Nodes that started on a fallback path have left it by then. Without latency nodes renew their leases at whole seconds: a count that
		// began and ended there would include one renewal more of some nodes.
		time.Sleep(2*startTime + renewInterval/2)
		f.store.Calls()
		time.Sleep(rest * time.Second)
		calls, allowed = f.store.Calls(), int(rest*(callsDomains*pollsPerSecond+callsNodes*renewsPerSecond))
		f.c.Check(calls <= allowed, qt.IsTrue, qt.Commentf("%d calls at rest, %d allowed", calls, allowed))
		f.store.Put("op/rollout/models", []byte(`{"service":"models","target":"v2","durationS":4}`))
		time.Sleep(200 * time.Millisecond)
		f.store.SetDown(true)
		time.Sleep(outage * time.Second)
		calls = f.store.Calls()
		allowed = outage*(fallbackRate+callsNodes*writesPerSecond+3*callsDomains*readsPerSecond) + callsNodes
		f.c.Check(calls <= allowed, qt.IsTrue, qt.Commentf("%d calls without the store, %d allowed", calls, allowed))
		t.Logf("%d calls without the store, %d allowed", calls, allowed)
		f.store.SetDown(false)
		time.Sleep(startTime)
		for i := range f.nodes {
			f.c.Check(f.addressesOf(i), qt.HasLen, callsNodes, qt.Commentf("of node %d", i))
		}
	})
}

// withNodesStartedInOutage runs a test with two nodes that run when the store goes down, and starting ones that start then, in one failure domain.
func withNodesStartedInOutage(t *testing.T, starting int, test func(f *testFleet)) {
	withTestFleet(t, func(f *testFleet) {
		f.store.SetDown(true)
		for i := range starting {
			f.start(fmt.Sprintf("10.0.1.%d", i+1))
		}
		f.store.Calls()
		test(f)
	})
}

// TestNodesThatStartInAnOutageMakeFewCalls counts the calls of nodes that start while the store is out: they can neither read nor be listed.
func TestNodesThatStartInAnOutageMakeFewCalls(t *testing.T) {
	const (
		starting, outage = 20, 8
		// listsPerSecond and writesPerSecond are those of a starting node, othersPerSecond the calls of the two nodes that ran before.
		listsPerSecond, writesPerSecond, othersPerSecond = 2, 0.5, 30
	)
	withNodesStartedInOutage(t, starting, func(f *testFleet) {
		time.Sleep(outage * time.Second)
		calls, allowed := f.store.Calls(), int(outage*(starting*(listsPerSecond+writesPerSecond)+othersPerSecond))
		f.c.Check(calls <= allowed, qt.IsTrue, qt.Commentf("%d calls, %d allowed", calls, allowed))
		t.Logf("%d calls, %d allowed", calls, allowed)
		f.store.SetDown(false)
		time.Sleep(2 * time.Second)
		for i := range f.nodes {
			f.c.Check(f.addressesOf(i), qt.HasLen, starting+2, qt.Commentf("of node %d", i))
		}
	})
}

// TestNodesThatStartedInAnOutageReadThroughOthers counts the calls soon after an outage, in which nodes have started: once they know the others they must
// read through them, also if the store itself answered first.
func TestNodesThatStartedInAnOutageReadThroughOthers(t *testing.T) {
	const (
		starting, seconds = 20, 3
		// A node that watches the store polls it once in 1.2 s, and each one renews its lease once in a second.
		pollsPerSecond, renewsPerMille, slack = 2, 1100, 10
	)
	// The number of failed calls must not matter.
	for _, outage := range []time.Duration{5000 * time.Millisecond, 5150 * time.Millisecond, 5300 * time.Millisecond, 5450 * time.Millisecond} {
		t.Run(outage.String(), func(t *testing.T) {
			withNodesStartedInOutage(t, starting, func(f *testFleet) {
				time.Sleep(outage)
				f.store.SetDown(false)
				time.Sleep(1500 * time.Millisecond)
				f.store.Calls()
				time.Sleep(seconds * time.Second)
				calls, allowed := f.store.Calls(), seconds*pollsPerSecond+seconds*(starting+2)*renewsPerMille/1000+slack
				f.c.Check(calls <= allowed, qt.IsTrue, qt.Commentf("%d calls, %d allowed", calls, allowed))
				t.Logf("%d calls, %d allowed", calls, allowed)
			})
		})
	}
}

// TestOutageOfTheStoreStopsRenewals counts the calls of a fleet whose store goes down: nodes renew their leases when the store answers their reads again,
// not before.
func TestOutageOfTheStoreStopsRenewals(t *testing.T) {
	const (
		outage = 8
		// A renewal is tried once in a second by each node, and the store is read by three nodes of each failure domain and within the budget of 40 a second.
		writesPerSecond, readsPerSecond, fallbackRate = 1.2, 7, 40
	)
	withLargeFleet(t, func(f *testFleet) {
		time.Sleep(3 * startTime)
		f.store.Calls()
		f.store.SetDown(true)
		time.Sleep(outage * time.Second)
		calls, allowed := f.store.Calls(), int(outage*(callsNodes*writesPerSecond+3*callsDomains*readsPerSecond+fallbackRate))
		f.c.Check(calls <= allowed, qt.IsTrue, qt.Commentf("%d calls, %d allowed", calls, allowed))
		t.Logf("%d calls, %d allowed", calls, allowed)
		f.store.SetDown(false)
		time.Sleep(startTime)
		for i := range f.nodes {
			f.c.Check(f.addressesOf(i), qt.HasLen, callsNodes, qt.Commentf("of node %d", i))
		}
	})
}
