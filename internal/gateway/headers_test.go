package gateway

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/route"
)

// TestEndToEndHeader checks that hop-by-hop fields are removed, including those that the Connection header names.
func TestEndToEndHeader(t *testing.T) {
	got := endToEndHeader(http.Header{
		"Connection": {"keep-alive, X-Once"}, "X-Once": {"1"}, "Keep-Alive": {"timeout=5"}, "Transfer-Encoding": {"chunked"},
		"Te": {"trailers"}, "Content-Length": {"7"}, "Expect": {"100-continue"}, "X-Kept": {"a", "b"},
	})
	qt.Assert(t, got, qt.DeepEquals, http.Header{"X-Kept": {"a", "b"}})
}

// TestChooseService checks that sessions are split by weight, that all requests of a session go to the same service, and that none goes to services without
// weight.
func TestChooseService(t *testing.T) {
	r := &route.Route{Name: "r", Targets: []route.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	counts := make(map[route.Service]int)
	for i := range 2000 {
		info := RequestInfo{Session: fmt.Sprint("session-", i)}
		service := chooseService(r, info)
		qt.Assert(t, chooseService(r, info), qt.Equals, service)
		counts[service]++
	}
	for _, targets := range [][]route.Target{{{Service: "a"}}, {{Service: "a"}, {Service: "b"}}} {
		qt.Check(t, chooseService(&route.Route{Name: "closed", Targets: targets}, RequestInfo{ID: "1"}), qt.Equals, route.Service(""))
	}
	qt.Assert(t, counts["a"] > 1700 && counts["b"] > 130 && counts["c"] == 0, qt.IsTrue, qt.Commentf("%v", counts))
}

// TestCascade checks that an answer is kept from a minimum confidence on, which depends on the request's priority and the load.
func TestCascade(t *testing.T) {
	models := []route.Model{"small", "middle", "large"}
	cascade := Cascade{MinConfidence: []int{60, 40}}
	qt.Assert(t, cascade.First(models), qt.Equals, 0)
	for _, test := range []struct {
		confidence, priority int
		load                 float64
		want                 int
	}{
		{60, 0, 0, 0}, {59, 0, 0, 2}, {40, 1, 0, 0}, {39, 1, 0, 2}, {45, 9, 0, 0},
		// Servers under low, medium and full load.
		{59, 0, 0.2, 2}, {50, 0, 0.5, 0}, {30, 0, 0.5, 2}, {10, 0, 1.5, 0}, {0, 0, 1.5, 2},
	} {
		got := cascade.Next(models, 0, test.confidence, test.priority, test.load)
		qt.Check(t, got, qt.Equals, test.want, qt.Commentf("%+v", test))
	}
	qt.Check(t, cascade.Next(models, 2, 0, 0, 0), qt.Equals, 2)
}

// TestCascadeUnderOverload sends 20 requests a second, two fifths of which the small model answers badly, to servers that do 6 s of work
// a second, where small answers take 0.1 s and large ones 1 s. Fixed thresholds escalate so often that a backlog builds up; with
// thresholds that fall under load, more than 1.5 times as many good answers arrive in time.
func TestCascadeUnderOverload(t *testing.T) {
	models := []route.Model{"small", "large"}
	cascade := Cascade{MinConfidence: []int{60}}
	const (
		perSecond, seconds, capacity  = 20, 60, 6.0
		smallWork, largeWork, longest = 0.1, 1.0, 2.0
		slots                         = 32.0
	)
	simulate := func(followsLoad bool) (good int) {
		rng := rand.New(rand.NewPCG(1, 1))
		backlog := 0.0
		for range perSecond * seconds {
			backlog = max(0, backlog-capacity/perSecond)
			load := 0.0
			if followsLoad {
				load = backlog / smallWork / slots
			}
			isHard := rng.Float64() < 0.4
			confidence := 70 + rng.IntN(30)
			if isHard {
				confidence = rng.IntN(50)
			}
			backlog += smallWork
			index := cascade.Next(models, 0, confidence, 0, load)
			if index > 0 {
				backlog += largeWork
			}
			if backlog/capacity <= longest && (index > 0 || !isHard) {
				good++
			}
		}
		return good
	}
	fixed, following := simulate(false), simulate(true)
	qt.Assert(t, following > 3*fixed/2, qt.IsTrue, qt.Commentf("%d with fixed thresholds, %d with those that follow the load", fixed, following))
}
