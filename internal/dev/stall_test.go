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

// stall pauses the engines for a duration: connections can be opened but carry no data.
func (b *bench) stall(engines []int, duration time.Duration) {
	for _, i := range engines {
		b.net.Pause(engineIP(i))
	}
	time.Sleep(duration)
	for _, i := range engines {
		b.net.Resume(engineIP(i))
	}
}

// losePackets drops all packets between nodes and engines for a duration: dials time out, and open connections stay silent afterwards.
func (b *bench) losePackets(engines []int, duration time.Duration) {
	b.eachLink(engines, b.net.Blackhole)
	time.Sleep(duration)
	b.eachLink(engines, b.net.Heal)
}

func (b *bench) eachLink(engines []int, change func(a, b string)) {
	for n := range b.system.NodeCount() {
		for _, i := range engines {
			change(nodeIP(n), engineIP(i))
		}
	}
}

// stallNodes pauses all connections of all nodes for a duration, also those to callers and peers.
func (b *bench) stallNodes(_ []int, duration time.Duration) {
	for n := range b.system.NodeCount() {
		b.net.Pause(nodeIP(n))
	}
	time.Sleep(duration)
	for n := range b.system.NodeCount() {
		b.net.Resume(nodeIP(n))
	}
}

func nodeIP(n int) string { return fmt.Sprintf("127.1.1.%d", n+1) }

func engineIP(i int) string { return fmt.Sprintf("127.1.2.%d", i+1) }

// TestStreamsSurviveStalls pauses engines for seconds, as happens on an overloaded machine or in an overloaded failure domain. No process
// crashes, so that every stream must be complete.
func TestStreamsSurviveStalls(t *testing.T) {
	const callers = 24
	// deadline is the policy's deadline.
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
		{"two can't be reached", (*bench).losePackets, []int{0, 3}},
		{"all can't be reached", (*bench).losePackets, []int{0, 1, 2, 3, 4, 5}},
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
					rejectBy := deadline
					if test.engines == nil {
						// Answers of a paused node arrive only after its connections resume.
						rejectBy = max(deadline, midway+during)
					}
					cut, rejected := 0, 0
					for i, result := range results {
						name := qt.Commentf("caller %d after %s: %s", i, result.took, tail(result.body))
						switch {
						case result.status == http.StatusOK && !result.isComplete():
							cut++
							t.Error(name)
						case result.status != http.StatusOK:
							// No first token arrived before the deadline; the caller must then get the rejection at once.
							rejected++
							qt.Check(t, during > deadline, qt.IsTrue, name)
							qt.Check(t, result.status, qt.Equals, http.StatusGatewayTimeout, name)
							qt.Check(t, result.body, qt.Contains, string(api.OutcomeMayHaveRun), name)
							qt.Check(t, result.took <= rejectBy+100*time.Millisecond, qt.IsTrue, name)
						case reference[i] == "":
							reference[i] = result.text()
						default:
							qt.Check(t, result.text(), qt.Equals, reference[i], name)
						}
					}
					t.Logf("%d cut, %d refused, slowest answer after %s, %d runs", cut, rejected, longest(results), b.runs())
				})
			})
		}
	}
}
