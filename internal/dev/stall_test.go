package dev_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// stall lets the processes of engines stand still for a while: connections open, but nothing comes of them.
func (b *bench) stall(engines []int, during time.Duration) {
	for _, i := range engines {
		b.net.Pause(engineIP(i))
	}
	time.Sleep(during)
	for _, i := range engines {
		b.net.Resume(engineIP(i))
	}
}

// lose lets the packets between nodes and engines vanish for a while: dials run out of time, and open connections stay silent.
func (b *bench) lose(engines []int, during time.Duration) {
	b.eachLink(engines, b.net.Blackhole)
	time.Sleep(during)
	b.eachLink(engines, b.net.Heal)
}

func (b *bench) eachLink(engines []int, change func(a, b string)) {
	for n := range b.system.NodeCount() {
		for _, i := range engines {
			change(nodeIP(n), engineIP(i))
		}
	}
}

// stallNodes lets the connections of all nodes stand still for a while, those of their callers and peers too.
func (b *bench) stallNodes(_ []int, during time.Duration) {
	for n := range b.system.NodeCount() {
		b.net.Pause(nodeIP(n))
	}
	time.Sleep(during)
	for n := range b.system.NodeCount() {
		b.net.Resume(nodeIP(n))
	}
}

func nodeIP(n int) string { return fmt.Sprintf("127.1.1.%d", n+1) }

func engineIP(i int) string { return fmt.Sprintf("127.1.2.%d", i+1) }

// TestStreamsOutlastStalls lets engines stand still for seconds and go on, as those of an overloaded machine or failure domain do:
// nothing died, so that every stream must come whole.
func TestStreamsOutlastStalls(t *testing.T) {
	const callers = 24
	// deadline is that of the policy.
	const deadline = 8 * time.Second
	reference := make([]string, callers)
	for _, test := range []struct {
		name    string
		fault   func(b *bench, engines []int, during time.Duration)
		engines []int
	}{
		{"one stalls", (*bench).stall, []int{3}},
		{"two stall", (*bench).stall, []int{0, 3}},
		{"four stall", (*bench).stall, []int{0, 1, 3, 4}},
		{"all stall", (*bench).stall, []int{0, 1, 2, 3, 4, 5}},
		{"two can't be reached", (*bench).lose, []int{0, 3}},
		{"all can't be reached", (*bench).lose, []int{0, 1, 2, 3, 4, 5}},
		{"nodes stall", (*bench).stallNodes, nil},
	} {
		for _, during := range []time.Duration{2 * time.Second, 5 * time.Second, 10 * time.Second} {
			t.Run(fmt.Sprintf("%s for %s", test.name, during), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newBench(t, nil)
					defer b.close()
					results := b.streams(callers, func() {
						time.Sleep(midway)
						test.fault(b, test.engines, during)
					})
					told := deadline
					if test.engines == nil {
						// What a node says reaches nobody before its connections go on.
						told = max(deadline, midway+during)
					}
					cut, refused := 0, 0
					for i, result := range results {
						name := qt.Commentf("caller %d after %s: %s", i, result.took, tail(result.body))
						switch {
						case result.status == http.StatusOK && !result.whole():
							cut++
							t.Error(name)
						case result.status != http.StatusOK:
							// Its first token had not come, and may not before the deadline: that must then be told at once.
							refused++
							qt.Check(t, during > deadline, qt.IsTrue, name)
							qt.Check(t, result.status, qt.Equals, http.StatusGatewayTimeout, name)
							qt.Check(t, result.body, qt.Contains, string(api.OutcomeMayHaveRun), name)
							qt.Check(t, result.took <= told+100*time.Millisecond, qt.IsTrue, name)
						case reference[i] == "":
							reference[i] = result.contents()
						default:
							qt.Check(t, result.contents(), qt.Equals, reference[i], name)
						}
					}
					t.Logf("%d cut, %d refused, slowest answer after %s, %d runs", cut, refused, longest(results), b.runs())
				})
			})
		}
	}
}
