package edge_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fake/platformfake"
	"github.com/monsoonrail/monsoonrail/internal/framing"
	"github.com/monsoonrail/monsoonrail/platform"
)

// applyTime is longer than nodes take to learn of a change in the store.
const applyTime = 2 * time.Second

// entryIn is entry for a server in a failure domain whose start and remaining warm-up are given in milliseconds.
func entryIn(domain, address string, start, warmUpLeft int) []byte {
	return fmt.Appendf(nil, `{"service":"models","address":%q,"zone":%q,"version":"v1","slots":8,"state":"ready","warmupLeftMs":%d,"sequence":1,"born":%d}`,
		address, domain, warmUpLeft, start)
}

// splitModelServers puts the second model server into a failure domain of its own.
func (f *testFleet) splitModelServers() {
	f.store.Put("servers/m1", entryIn("z2", "10.1.0.2:80", 1, 0))
	time.Sleep(applyTime)
}

// limitColdServers sets the requests a second that cold model servers take.
func (f *testFleet) limitColdServers(perSecond int) {
	text := fmt.Appendf(nil, `{"name":"models","warmupS":3,"warmupPerS":%d,`, perSecond)
	f.store.Put(platform.KeyConfig, bytes.Replace(configurationVersion(2, "key-1"), []byte(`{"name":"models",`), text, 1))
	time.Sleep(applyTime)
}

func (f *testFleet) evacuate(domain string) {
	f.store.Put(platform.PrefixEvacuations+domain, []byte(`{}`))
}

// sendMany sends requests for streams through all nodes in turn, one every interval.
func (f *testFleet) sendMany(count int, interval time.Duration) {
	done := make(chan struct{})
	for i := range count {
		go func() {
			f.send(context.Background(), i%len(f.nodes), "/s/1", "key-1")
			done <- struct{}{}
		}()
		time.Sleep(interval)
	}
	for range count {
		<-done
	}
}

// TestEvacuatedDomainGetsNoRequests evacuates the failure domain of a server: neither first attempts, nor retries, escalations and resumed streams
// reach it from any node, until the domain is taken back.
func TestEvacuatedDomainGetsNoRequests(t *testing.T) {
	withTestFleet(t, func(f *testFleet) {
		f.splitModelServers()
		f.evacuate("z2")
		time.Sleep(applyTime)
		before := f.models[1].Arrivals()
		f.sendMany(20, 50*time.Millisecond)
		f.models[0].SetConfidence(1)
		f.sendMany(10, 50*time.Millisecond)
		f.models[0].SetConfidence(90)
		f.scriptOf(0, platformfake.Script{Status: http.StatusOK, Framing: framing.Chunked, Events: 4, HasPartialEvent: true})
		f.sendMany(10, 50*time.Millisecond)
		qt.Assert(t, f.models[1].Arrivals(), qt.Equals, before)
		f.store.Delete(platform.PrefixEvacuations + "z2")
		time.Sleep(applyTime)
		f.sendMany(20, 50*time.Millisecond)
		qt.Assert(t, f.models[1].Arrivals() > before, qt.IsTrue)
	})
}

// TestRequestsAreRejectedWithAllDomainsEvacuated checks that the rejection comes at once, promises that the request has not run, and that it hasn't.
func TestRequestsAreRejectedWithAllDomainsEvacuated(t *testing.T) {
	withTestFleet(t, func(f *testFleet) {
		f.evacuate("z1")
		time.Sleep(applyTime)
		began := time.Now()
		for _, path := range []string{"/s/1", "/c/1", "/r/1"} {
			got := f.send(context.Background(), 0, path, "key-1")
			qt.Check(t, got.status, qt.Equals, http.StatusServiceUnavailable)
			qt.Check(t, got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
		}
		qt.Check(t, time.Since(began) < 100*time.Millisecond, qt.IsTrue)
		qt.Check(t, f.executedRuns(), qt.HasLen, 0)
	})
}

// TestEvacuationOutlastsStoreAndNodes evacuates a failure domain just before the store goes down: nodes that have heard of it keep to it, and a
// node that starts once the store is back does so from its first request on.
func TestEvacuationOutlastsStoreAndNodes(t *testing.T) {
	withTestFleet(t, func(f *testFleet) {
		f.splitModelServers()
		f.evacuate("z2")
		time.Sleep(500 * time.Millisecond)
		f.store.SetDown(true)
		before := f.models[1].Arrivals()
		f.sendMany(40, 50*time.Millisecond)
		qt.Check(t, f.models[1].Arrivals(), qt.Equals, before)
		for _, node := range f.nodes {
			node.stop()
			<-node.done
		}
		f.store.SetDown(false)
		f.nodes = nil
		f.start("10.0.0.3")
		time.Sleep(time.Second)
		f.sendMany(20, 50*time.Millisecond)
		qt.Check(t, f.models[1].Arrivals(), qt.Equals, before)
	})
}

// mostInASecond returns the largest number of requests that reached a server within a second.
func mostInASecond(server *platformfake.Server) (most int) {
	var times []time.Time
	for _, arrival := range server.ListArrivals() {
		times = append(times, arrival.At)
	}
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestColdServersGetFewRequests lets a server become cold in each of the ways in which nodes learn of it, under a load of 40 requests a second. It
// gets no more requests in a second than it takes, from all nodes together and whatever kind the attempts are, and more once it is warm.
func TestColdServersGetFewRequests(t *testing.T) {
	const perSecond = 4
	for _, test := range []struct {
		name string
		// cold returns the server that is cold.
		cold func(f *testFleet) *platformfake.Server
	}{
		{"its entry says so", func(f *testFleet) *platformfake.Server {
			f.store.Put("servers/m1", entryIn("z2", "10.1.0.2:80", 1, 3000))
			return f.models[1]
		}},
		{"it has started again", func(f *testFleet) *platformfake.Server {
			f.store.Put("servers/m1", entryIn("z2", "10.1.0.2:80", 2, 0))
			return f.models[1]
		}},
		{"its domain is taken back", func(f *testFleet) *platformfake.Server {
			f.evacuate("z2")
			time.Sleep(applyTime)
			f.store.Delete(platform.PrefixEvacuations + "z2")
			return f.models[1]
		}},
		{"it is new", func(f *testFleet) *platformfake.Server {
			f.addModelServer()
			return f.models[2]
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			withTestFleet(t, func(f *testFleet) {
				f.limitColdServers(perSecond)
				f.splitModelServers()
				server := test.cold(f)
				time.Sleep(500 * time.Millisecond)
				before := server.Arrivals()
				f.sendMany(80, 25*time.Millisecond)
				qt.Check(t, mostInASecond(server) <= perSecond, qt.IsTrue, qt.Commentf("%d in a second", mostInASecond(server)))
				qt.Check(t, server.Arrivals() > before, qt.IsTrue)
				time.Sleep(3 * time.Second)
				before = server.Arrivals()
				f.sendMany(80, 25*time.Millisecond)
				qt.Check(t, server.Arrivals()-before >= 3*perSecond, qt.IsTrue, qt.Commentf("%d requests while warm", server.Arrivals()-before))
			})
		})
	}
}
