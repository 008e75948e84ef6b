package edge_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// streamInterval is the time between streams that give evidence of a version.
const streamInterval = 100 * time.Millisecond

// streamFor sends streams through all nodes in turn for a time, including the last stream's answer.
func (f *testFleet) streamFor(length time.Duration) {
	const answerTime = 2 * time.Second
	begin := time.Now()
	f.sendMany(int((length-answerTime)/streamInterval), streamInterval)
	time.Sleep(time.Until(begin.Add(length)))
}

// addNewModelServer adds a model server of v2.
func (f *testFleet) addNewModelServer() {
	f.addModelServer()
	f.store.Put("servers/m2", []byte(strings.Replace(string(entry("models", "10.1.0.3:80", "ready")), `"v1"`, `"v2"`, 1)))
}

// replaceNodes ends all nodes and starts others in their place.
func (f *testFleet) replaceNodes() {
	for _, node := range f.nodes {
		node.stop()
		<-node.done
	}
	f.nodes = nil
	f.start("10.0.0.3")
	f.start("10.0.0.4")
}

// TestRolloutGoesOnAfterARestoreAndARestart restores the store from a copy that is older than the current roll-out, or than its last stage, and
// has operators write the order again; then all nodes are replaced. The roll-out must complete as if nothing had happened.
func TestRolloutGoesOnAfterARestoreAndARestart(t *testing.T) {
	const (
		length = 40 * time.Second
		half   = length / 4
	)
	for _, test := range []struct {
		name string
		// copyAfter is when the copy is made, after the order.
		copyAfter time.Duration
	}{
		{"copy holds the order", half},
		{"copy holds the order before", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			withTestFleet(t, func(f *testFleet) {
				status := func() string { return string(f.store.Get("status/rollout/models").Value) }
				f.store.Put("op/rollout/models", []byte(`{"service":"models","target":"v1","durationS":4}`))
				f.streamFor(length / 4)
				f.c.Assert(status(), qt.Contains, "completed")
				f.addNewModelServer()
				restore := f.store.Snapshot()
				order := []byte(`{"service":"models","target":"v2","durationS":40}`)
				f.store.Put("op/rollout/models", order)
				ordered := time.Now()
				f.streamFor(half)
				if test.copyAfter > 0 {
					restore = f.store.Snapshot()
				}
				time.Sleep(time.Second)
				f.store.SetDown(true)
				restore()
				time.Sleep(time.Second)
				f.store.SetDown(false)
				time.Sleep(time.Second)
				f.store.Put("op/rollout/models", order)
				time.Sleep(startTime)
				f.replaceNodes()
				f.streamFor(time.Until(ordered.Add(half + length/4)))
				f.c.Check(status(), qt.Contains, `"in_progress"`)
				f.c.Check(status(), qt.Contains, `"v2"`)
				f.streamFor(time.Until(ordered.Add(length)))
				f.c.Check(status(), qt.Contains, `"completed"`)
				f.c.Check(status(), qt.Contains, `"v2"`)
			})
		})
	}
}

// TestCopyWithAnEarlierOrderStopsNoRollout starts all nodes again during a roll-out and restores the store from a copy with the order before, which
// none of them has seen: the current roll-out must complete in time.
func TestCopyWithAnEarlierOrderStopsNoRollout(t *testing.T) {
	const length = 40 * time.Second
	withTestFleet(t, func(f *testFleet) {
		f.store.Put("op/rollout/models", []byte(`{"service":"models","target":"v1","durationS":4}`))
		f.streamFor(length / 2)
		f.addNewModelServer()
		restore := f.store.Snapshot()
		order := []byte(`{"service":"models","target":"v2","durationS":40}`)
		f.store.Put("op/rollout/models", order)
		ordered := time.Now()
		time.Sleep(time.Second)
		f.replaceNodes()
		time.Sleep(startTime)
		f.store.SetDown(true)
		time.Sleep(time.Second)
		restore()
		f.store.SetDown(false)
		time.Sleep(600 * time.Millisecond)
		f.store.Put("op/rollout/models", order)
		f.streamFor(time.Until(ordered.Add(length)))
		f.c.Check(string(f.store.Get("status/rollout/models").Value), qt.Equals, `{"state":"completed","target":"v2","service":"models"}`)
	})
}

// TestStateIsWrittenOnlyForTheOrderInTheStore restores the store, which holds the roll-out order before, while nodes wait to write the first state
// of the current one: until operators have written that order again, the store must not get a state of it.
func TestStateIsWrittenOnlyForTheOrderInTheStore(t *testing.T) {
	for _, downtime := range []time.Duration{1300 * time.Millisecond, 1400 * time.Millisecond, 1500 * time.Millisecond, 1600 * time.Millisecond} {
		t.Run(downtime.String(), func(t *testing.T) {
			withTestFleet(t, func(f *testFleet) {
				f.store.Put("op/rollout/models", []byte(`{"service":"models","target":"v1","durationS":4}`))
				f.streamFor(10 * time.Second)
				restore := f.store.Snapshot()
				f.store.Put("op/rollout/models", []byte(`{"service":"models","target":"v2","durationS":20}`))
				time.Sleep(100 * time.Millisecond)
				f.store.SetDown(true)
				time.Sleep(downtime)
				restore()
				f.store.SetDown(false)
				const copied = `{"state":"completed","target":"v1","service":"models"}`
				status := copied
				for deadline := time.Now().Add(time.Second); status == copied && time.Now().Before(deadline); {
					time.Sleep(5 * time.Millisecond)
					status = string(f.store.Get("status/rollout/models").Value)
				}
				f.c.Check(status, qt.Equals, copied)
			})
		})
	}
}
