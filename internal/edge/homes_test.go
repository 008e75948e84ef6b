package edge_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fake/memnet"
	"github.com/monsoonrail/monsoonrail/internal/fake/platformfake"
	"github.com/monsoonrail/monsoonrail/internal/framing"
	"github.com/monsoonrail/monsoonrail/platform"
)

// allowRegions restricts the streams and the team to regions, given as JSON lists; an empty text restricts nothing.
func (f *testFleet) allowRegions(streams, team string) {
	text := configurationVersion(2, "key-1", "key-2")
	if streams != "" {
		text = bytes.Replace(text, []byte(`{"name":"stream",`), []byte(`{"name":"stream","allowedRegions":`+streams+`,`), 1)
	}
	if team != "" {
		text = bytes.Replace(text, []byte(`{"name":"school",`), []byte(`{"name":"school","allowedRegions":`+team+`,`), 1)
	}
	f.store.Put(platform.KeyConfig, text)
	time.Sleep(applyTime)
}

// TestRequestsStayInAllowedRegions restricts streams of a team to a region by the route, the team, or both: no first attempt, escalation, retry or resumed
// stream reaches a server elsewhere.
func TestRequestsStayInAllowedRegions(t *testing.T) {
	for _, test := range []struct{ name, streams, team string }{
		{"of the route", `["south"]`, ""},
		{"of the team", "", `["south"]`},
		{"of both", `["south","north"]`, `["east","south"]`},
		{"of the route, and any of the team", `["south"]`, `null`},
	} {
		t.Run(test.name, func(t *testing.T) {
			withTestFleet(t, func(f *testFleet) {
				f.splitModelServers()
				f.allowRegions(test.streams, test.team)
				f.sendMany(10, 50*time.Millisecond)
				f.models[1].SetConfidence(1)
				f.sendMany(10, 50*time.Millisecond)
				f.models[1].SetConfidence(90)
				f.scriptOf(1, platformfake.Script{Status: http.StatusOK, Framing: framing.Chunked, Events: 4, HasPartialEvent: true})
				f.sendMany(10, 50*time.Millisecond)
				f.c.Check(f.models[0].Arrivals(), qt.Equals, 0)
				f.c.Check(f.models[1].Arrivals() >= 30, qt.IsTrue)
			})
		})
	}
}

// TestRequestsWithoutServerInAllowedRegionsAreRejected checks that the rejection comes at once and is true: where no server is in an allowed region, where
// the route's and the team's regions have none in common, and where the only allowed failure domain is evacuated.
func TestRequestsWithoutServerInAllowedRegionsAreRejected(t *testing.T) {
	for _, test := range []struct {
		name, streams, team string
		isEvacuated         bool
	}{
		{"no server", `["east"]`, "", false},
		{"no common region", `["south"]`, `["north"]`, false},
		{"no region of the route", `[]`, "", false},
		{"no region of the team", "", `[]`, false},
		{"no region of the team, one of the route", `["south"]`, `[]`, false},
		{"evacuated", `["south"]`, "", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			withTestFleet(t, func(f *testFleet) {
				f.splitModelServers()
				f.allowRegions(test.streams, test.team)
				if test.isEvacuated {
					f.evacuate("z2")
					time.Sleep(applyTime)
				}
				began := time.Now()
				got := f.send(context.Background(), 0, "/s/1", "key-1")
				f.c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
				f.c.Check(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
				f.c.Check(time.Since(began) < 100*time.Millisecond, qt.IsTrue)
				f.c.Check(f.executedRuns(), qt.HasLen, 0)
			})
		})
	}
}

// TestBodiesPassOnlyThroughNodesInAllowedRegions cuts a node off from the servers, so that it reaches them through others. Connections through nodes in
// other regions, opened for requests without restriction, are there but carry no restricted request.
func TestBodiesPassOnlyThroughNodesInAllowedRegions(t *testing.T) {
	withTestFleet(t, func(f *testFleet) {
		f.startIn("10.0.0.3", "z2")
		f.startIn("10.0.0.4", "z3")
		f.splitModelServers()
		f.cutNode(0, lostPath{cut: (*memnet.Network).Cut})
		f.sendMixed(60, 5*time.Millisecond, 0)
		f.allowRegions(`["south"]`, "")
		from := make(map[string]int)
		before := f.models[1].Arrivals()
		f.checkServed(f.sendMixed(60, 5*time.Millisecond, 0))
		for _, arrival := range f.models[1].ListArrivals()[before:] {
			from[arrival.From]++
		}
		f.c.Check(from, qt.DeepEquals, map[string]int{"10.0.0.3": 20})
	})
}

// TestAddressesPreferNodesInAllowedRegions checks which nodes callers of each region are told of: those of their own region and of the regions that all
// restricted routes of the host share, and all nodes if there is none of them.
func TestAddressesPreferNodesInAllowedRegions(t *testing.T) {
	const north, south, east = "10.0.0.1:80 10.0.0.2:80", "10.0.0.3:80", "10.0.0.4:80"
	withTestFleet(t, func(f *testFleet) {
		f.startIn("10.0.0.3", "z2")
		f.startIn("10.0.0.4", "z3")
		time.Sleep(startTime)
		for _, test := range []struct{ streams, place, want string }{
			{"", "zone=z1&region=north", north + " " + south + " " + east},
			{`["south"]`, "zone=z1&region=north", north + " " + south},
			{`["south"]`, "zone=z1", north + " " + south},
			{`["south"]`, "zone=z2&region=south", south},
			{`["south"]`, "zone=z3&region=east", south + " " + east},
			{`["west"]`, "zone=z3&region=east", east},
			{`["west"]`, "zone=w1&region=west", north + " " + south + " " + east},
			{`[]`, "zone=z1&region=north", north + " " + south + " " + east},
		} {
			f.allowRegions(test.streams, "")
			resp, err := f.client.Get("http://10.0.0.1:82/monsoonrail/resolution?name=app.example&" + test.place)
			f.c.Assert(err, qt.IsNil)
			var found struct{ Addresses []string }
			f.c.Check(json.NewDecoder(resp.Body).Decode(&found), qt.IsNil)
			f.c.Check(resp.Body.Close(), qt.IsNil)
			f.c.Check(strings.Join(found.Addresses, " "), qt.Equals, test.want, qt.Commentf("%s at %s", test.streams, test.place))
		}
	})
}
