package gateway

import (
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/route"
)

// TestEndToEnd leaves out what concerns one connection, also by the caller's own word.
func TestEndToEnd(t *testing.T) {
	got := endToEnd(http.Header{
		"Connection": {"keep-alive, X-Once"}, "X-Once": {"1"}, "Keep-Alive": {"timeout=5"}, "Transfer-Encoding": {"chunked"},
		"Te": {"trailers"}, "Content-Length": {"7"}, "Expect": {"100-continue"}, "X-Kept": {"a", "b"},
	})
	qt.Assert(t, got, qt.DeepEquals, http.Header{"X-Kept": {"a", "b"}})
}

// TestChooseTarget splits a route by weight, the same for all requests of a session.
func TestChooseTarget(t *testing.T) {
	r := &route.Route{Name: "r", Targets: []route.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	counts := make(map[route.Service]int)
	for i := range 2000 {
		info := RequestInfo{Session: fmt.Sprint("session-", i)}
		service := chooseTarget(r, info)
		qt.Assert(t, chooseTarget(r, info), qt.Equals, service)
		counts[service]++
	}
	qt.Assert(t, counts["a"] > 1700 && counts["b"] > 130 && counts["c"] == 0, qt.IsTrue, qt.Commentf("%v", counts))
}

// TestCascade keeps an answer from a confidence on, by the request's priority.
func TestCascade(t *testing.T) {
	models := []route.Model{"small", "middle", "large"}
	cascade := Cascade{MinConfidence: []int{60, 40}}
	qt.Assert(t, cascade.First(models), qt.Equals, 0)
	for _, test := range []struct{ confidence, priority, want int }{
		{60, 0, 0}, {59, 0, 2}, {40, 1, 0}, {39, 1, 2}, {45, 9, 0},
	} {
		qt.Check(t, cascade.Next(models, 0, test.confidence, test.priority), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
	qt.Check(t, cascade.Next(models, 2, 0, 0), qt.Equals, 2)
}
