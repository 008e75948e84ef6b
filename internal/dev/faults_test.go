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

// longQuestion asks for an answer long enough that faults come in its middle.
const longQuestion = `{"model":"scholar@2.0","stream":true,"max_tokens":400,"messages":[{"role":"user","content":"Explain this long commit %d"}]}`

// streamResult is what one caller saw of a stream.
type streamResult struct {
	status int
	body   string
	took   time.Duration
}

// whole reports whether the stream ended with its marker.
func (r streamResult) whole() bool { return strings.HasSuffix(r.body, "data: [DONE]\n\n") }

// contents returns the texts of all chunks, joined.
func (r streamResult) contents() string {
	var text strings.Builder
	for _, line := range strings.Split(r.body, "\n") {
		if _, rest, ok := strings.Cut(line, `"content":"`); ok {
			content, _, _ := strings.Cut(rest, `"}`)
			text.WriteString(content)
		}
	}
	return text.String()
}

// streams asks for streams through all nodes and brings about a fault meanwhile.
func (b *bench) streams(count int, during func()) []streamResult {
	return b.streamsThrough(b.system.NodeCount(), count, during)
}

// streamsThrough asks for streams through the first of the nodes.
func (b *bench) streamsThrough(nodes, count int, during func()) []streamResult {
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
	during()
	callers.Wait()
	return results
}

// TestStreamsStayWhole brings about each fault while streams flow; every caller must get the same whole answer as without it.
func TestStreamsStayWhole(t *testing.T) {
	const callers = 24
	reference := make([]string, callers)
	slowest := time.Duration(0)
	for _, test := range []struct {
		name  string
		fault func(b *bench)
		// longer is how much later than without the fault an answer may come.
		longer time.Duration
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
				if test.longer > 0 {
					qt.Check(t, longest(results) <= slowest+test.longer, qt.IsTrue)
				}
				for i, result := range results {
					name := qt.Commentf("caller %d after %s: %s", i, result.took, tail(result.body))
					qt.Check(t, result.status, qt.Equals, http.StatusOK, name)
					qt.Check(t, result.whole(), qt.IsTrue, name)
					if reference[i] == "" {
						reference[i] = result.contents()
					}
					qt.Check(t, result.contents(), qt.Equals, reference[i], name)
				}
			})
		})
	}
}

// midway is when all streams have begun and none has ended.
const midway = 250 * time.Millisecond

// noFault names the run that the others are compared with.
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

// TestLeavingServerGetsNoNewWork lets a server leave under load and looks at what reached it a few seconds later.
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

// TestOnceOnlyCallIsNotSentAgain loses the answer of a call that must run at most once.
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

// TestRepeatableCallGoesToAnotherServer kills a server while its calls may be repeated.
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

// TestDrainCutsNothing stops every node in turn while streams run on them.
func TestDrainCutsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, nil)
		defer b.close()
		results := b.streams(24, func() {
			time.Sleep(midway)
			b.system.DrainNode(0)
		})
		for i, result := range results {
			qt.Check(t, result.whole(), qt.IsTrue, qt.Commentf("caller %d: %s", i, tail(result.body)))
		}
	})
}
