package dev_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/dev"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// longQuestion requests an answer that is long enough for faults to be injected midway.
const longQuestion = `{"model":"scholar@2.0","stream":true,"max_tokens":400,"messages":[{"role":"user","content":"Explain this long commit %d"}]}`

// streamResult is the response that one caller received.
type streamResult struct {
	status int
	body   string
	took   time.Duration
}

// isComplete reports whether the stream ended with its end marker.
func (r streamResult) isComplete() bool { return strings.HasSuffix(r.body, "data: [DONE]\n\n") }

// text returns the concatenated text of all chunks.
func (r streamResult) text() string {
	var text strings.Builder
	for _, line := range strings.Split(r.body, "\n") {
		if _, rest, ok := strings.Cut(line, `"content":"`); ok {
			content, _, _ := strings.Cut(rest, `"}`)
			text.WriteString(content)
		}
	}
	return text.String()
}

// streams requests count streams through all nodes and calls inject meanwhile.
func (b *bench) streams(count int, inject func()) []streamResult {
	return b.streamsThrough(b.system.NodeCount(), count, inject)
}

// streamsThrough is like streams, but uses only the given number of nodes, from the first on.
func (b *bench) streamsThrough(nodes, count int, inject func()) []streamResult {
	results := make([]streamResult, count)
	var callers sync.WaitGroup
	for i := range count {
		callers.Go(func() {
			began := time.Now()
			resp, raw := b.do(http.MethodPost, b.system.NodeURL(i%nodes)+"/v1/chat/completions", nil,
				fmt.Sprintf(longQuestion, i))
			results[i] = streamResult{status: resp.StatusCode, body: string(raw), took: time.Since(began)}
		})
	}
	inject()
	callers.Wait()
	return results
}

// TestStreamsStayComplete injects each fault during streams; every caller must get the same complete answer as without the fault.
func TestStreamsStayComplete(t *testing.T) {
	const callers = 24
	reference := make([]string, callers)
	slowest := time.Duration(0)
	for _, test := range []struct {
		name  string
		fault func(b *bench)
		// maxDelay is how much later than without the fault the slowest answer may complete; 0 means no bound.
		maxDelay time.Duration
	}{
		{noFault, func(*bench) {}, 0},
		{"open connections go silent", func(b *bench) {
			for _, engine := range b.system.Engines() {
				engine.StallStreams()
			}
		}, 3 * time.Second},
		{"packets of open connections vanish", func(b *bench) {
			for i := range 6 {
				for n := range 3 {
					b.net.Silence(fmt.Sprintf("127.1.1.%d", n+1), fmt.Sprintf("127.1.2.%d", i+1))
				}
			}
		}, 3 * time.Second},
		{"late and crossed", func(b *bench) {
			for _, engine := range b.system.Engines() {
				engine.MixStreams(0.3)
			}
		}, 2 * time.Second},
		{"streams cut", func(b *bench) {
			for _, engine := range b.system.Engines() {
				engine.CutStreams(0.02)
			}
		}, 10 * time.Second},
		{"a server dies", func(b *bench) { b.system.KillServer("tutor-llm-1") }, 10 * time.Second},
		{"two servers die at once", func(b *bench) {
			b.net.Kill("127.1.2.1")
			b.net.Kill("127.1.2.4")
		}, 12 * time.Second},
		{"a server leaves", func(b *bench) { b.system.LeaveServer("tutor-llm-2") }, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, nil)
				defer b.close()
				results := b.streams(callers, func() {
					time.Sleep(midway)
					test.fault(b)
				})
				if test.name == noFault {
					slowest = longest(results)
				}
				t.Logf("slowest answer after %s, without a fault %s", longest(results), slowest)
				if test.maxDelay > 0 {
					qt.Check(t, longest(results) <= slowest+test.maxDelay, qt.IsTrue)
				}
				for i, result := range results {
					name := qt.Commentf("caller %d after %s: %s", i, result.took, tail(result.body))
					qt.Check(t, result.status, qt.Equals, http.StatusOK, name)
					qt.Check(t, result.isComplete(), qt.IsTrue, name)
					if reference[i] == "" {
						reference[i] = result.text()
					}
					qt.Check(t, result.text(), qt.Equals, reference[i], name)
				}
			})
		})
	}
}

// midway is the time after which all streams have begun and none has ended.
const midway = 250 * time.Millisecond

// noFault names the reference run.
const noFault = "no fault"

func longest(results []streamResult) time.Duration {
	slowest := time.Duration(0)
	for _, result := range results {
		slowest = max(slowest, result.took)
	}
	return slowest
}

func tail(text string) string {
	if len(text) > 300 {
		return text[len(text)-300:]
	}
	return text
}

// TestLeavingServerGetsNoNewWork has a server leave and checks that no request sent 5 s later runs on it.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, nil)
		defer b.close()
		b.system.LeaveServer("tutor-llm-1")
		time.Sleep(5 * time.Second)
		left := time.Now()
		b.streams(24, func() {})
		for _, run := range b.system.Engines()[0].Runs() {
			qt.Check(t, run.At.Before(left), qt.IsTrue, qt.Commentf("run %s began after the server left", run.RequestID))
		}
	})
}

// TestOnceOnlyCallIsNotSentAgain loses the answer of a call that must run at most once: the caller gets an error, not a retry.
func TestOnceOnlyCallIsNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, func(o *dev.Options) { o.PlainServers = 3 })
		defer b.close()
		for _, plain := range b.system.PlainServers() {
			plain.LoseAnswers(1)
		}
		resp, raw := b.do(http.MethodPost, b.system.NodeURL(0)+"/v1/services/forge-app/push", nil, "commit 1")
		qt.Check(t, resp.StatusCode, qt.Equals, http.StatusBadGateway)
		qt.Check(t, string(raw), qt.Contains, string(api.OutcomeMayHaveRun))
		qt.Check(t, resp.Header.Get("Retry-After"), qt.Equals, "")
		runs := 0
		for _, plain := range b.system.PlainServers() {
			runs += len(plain.Runs())
		}
		qt.Check(t, runs, qt.Equals, 1)
	})
}

// TestRepeatableCallGoesToAnotherServer kills a server and checks that repeatable calls are answered by another one.
func TestRepeatableCallGoesToAnotherServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, nil)
		defer b.close()
		b.system.KillServer("forge-app-1")
		for range 8 {
			resp, raw := b.do(http.MethodGet, b.system.NodeURL(0)+"/v1/services/forge-app/status", nil, "")
			qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", raw))
		}
	})
}

// TestDrainInterruptsNoStream drains a node while streams run on every node.
func TestDrainInterruptsNoStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, nil)
		defer b.close()
		results := b.streams(24, func() {
			time.Sleep(midway)
			b.system.DrainNode(0)
		})
		for i, result := range results {
			qt.Check(t, result.isComplete(), qt.IsTrue, qt.Commentf("caller %d: %s", i, tail(result.body)))
		}
	})
}
