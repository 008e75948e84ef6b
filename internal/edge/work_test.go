package edge_test

import (
	"context"
	"fmt"
	"regexp"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// sharingNodes is a number of nodes that tell each other of their work.
	sharingNodes = 16
	// maxWorkAge is the age in milliseconds up to which nodes go by what they know of the others' work.
	maxWorkAge = 1000
)

// gauge returns the value of a node's gauge.
func (f *testFleet) gauge(node int, name string) int {
	f.c.Helper()
	found := regexp.MustCompile(`(?m)^` + name + ` (-?[0-9]+)`).FindStringSubmatch(f.scrapeMetrics(node))
	f.c.Assert(found, qt.HasLen, 2, qt.Commentf(name))
	value, err := strconv.Atoi(found[1])
	f.c.Assert(err, qt.IsNil)
	return value
}

// checkWork runs streams through a node, of which all others must know while they are under way.
func (f *testFleet) checkWork(at int) {
	f.c.Helper()
	const streams = 3
	done := make(chan struct{})
	for range streams {
		go func() {
			f.send(context.Background(), at, "/s/1", "key-1")
			done <- struct{}{}
		}()
	}
	time.Sleep(500 * time.Millisecond)
	for node := range f.nodes {
		want := streams
		if node == at {
			want = 0
		}
		f.c.Check(f.gauge(node, "monsoonrail_edge_work_requests_elsewhere"), qt.Equals, want, qt.Commentf("node %d", node))
		age := f.gauge(node, "monsoonrail_edge_work_age_milliseconds")
		f.c.Check(age >= 0 && age < maxWorkAge, qt.IsTrue, qt.Commentf("node %d, age %d", node, age))
	}
	for range streams {
		<-done
	}
	time.Sleep(time.Second)
}

// addNodes starts nodes in two failure domains until there are enough of them to tell each other of their work.
func (f *testFleet) addNodes() {
	for i := len(f.nodes); i < sharingNodes; i++ {
		f.startIn(fmt.Sprintf("10.0.0.%d", i+1), api.FailureDomain(fmt.Sprintf("z%d", 1+i%2)))
	}
	time.Sleep(2 * startTime)
}

func TestNodesKnowOfStreamsElsewhere(t *testing.T) {
	withTestFleet(t, func(f *testFleet) {
		f.addNodes()
		f.checkWork(0)
		f.checkWork(sharingNodes - 1)
	})
}

func TestNodesKnowOfStreamsElsewhereInAnOutage(t *testing.T) {
	withTestFleet(t, func(f *testFleet) {
		f.addNodes()
		f.store.SetDown(true)
		time.Sleep(time.Second)
		f.checkWork(2)
		f.store.SetDown(false)
	})
}

// TestFewNodesDoNotShareWork leaves the fleet at two nodes.
func TestFewNodesDoNotShareWork(t *testing.T) {
	withTestFleet(t, func(f *testFleet) {
		f.c.Check(f.gauge(0, "monsoonrail_edge_work_age_milliseconds"), qt.Equals, -1)
	})
}
