package dev_test

import (
	"bufio"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/dev"
)

// firstTokens sends one request for each caller at once and returns the times to first token, sorted.
func (b *bench) firstTokens(callers int, round string) []time.Duration {
	times := make([]time.Duration, callers)
	var asking sync.WaitGroup
	for i := range callers {
		asking.Go(func() { times[i] = b.firstToken(i, fmt.Sprintf("%s %d", round, i)) })
	}
	asking.Wait()
	slices.Sort(times)
	return times
}

func (b *bench) firstToken(caller int, question string) time.Duration {
	const body = `{"model":"scholar@2.0","stream":true,"max_tokens":2,"messages":[{"role":"user","content":"Explain commit %s"}]}`
	began := time.Now()
	req, err := http.NewRequest(http.MethodPost, b.system.NodeURL(caller%b.system.NodeCount())+"/v1/chat/completions",
		strings.NewReader(fmt.Sprintf(body, question)))
	qt.Assert(b.t, err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer key-lessons")
	resp, err := b.client.Do(req)
	qt.Assert(b.t, err, qt.IsNil)
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	first := time.Duration(0)
	for lines.Scan() {
		if strings.Contains(lines.Text(), "urn:monsoonrail:problem") {
			b.t.Errorf("%s after %s: %s", question, time.Since(began), lines.Text())
		}
		if first == 0 && strings.Contains(lines.Text(), `"content":"`) {
			first = time.Since(began)
		}
	}
	return first
}

// runs returns the number of runs that began on the engines.
func (b *bench) runs() int {
	count := 0
	for _, engine := range b.system.Engines() {
		for _, run := range engine.Runs() {
			if run.Began {
				count++
			}
		}
	}
	return count
}

// silenceServers makes every open connection between nodes and engines silent permanently.
func (b *bench) silenceServers() {
	for n := range b.system.NodeCount() {
		for i := range b.system.Engines() {
			b.net.Silence(fmt.Sprintf("127.1.1.%d", n+1), fmt.Sprintf("127.1.2.%d", i+1))
		}
	}
}

const callersAtOnce = 24

// warmUp sends requests until the nodes have learned the usual time to first token and keep connections to every engine.
func (b *bench) warmUp() {
	for round := range 10 {
		b.firstTokens(callersAtOnce, fmt.Sprintf("warm %d", round))
	}
}

// TestFirstTokenOverSilentConnections silences the connections that nodes keep open to engines and then sends requests. The target is
// a first token within 1.1 s for 95 of 100 calls.
func TestFirstTokenOverSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, nil)
		defer b.close()
		b.warmUp()
		usual := b.firstTokens(callersAtOnce, "usual")
		b.silenceServers()
		before := b.runs()
		affected := b.firstTokens(callersAtOnce, "hit")
		t.Logf("first token usually after %s, of the calls hit after %s to %s", usual[callersAtOnce-1], affected[0], affected[callersAtOnce-1])
		qt.Check(t, affected[0] > 0, qt.IsTrue)
		qt.Check(t, affected[callersAtOnce*95/100] <= 1100*time.Millisecond, qt.IsTrue)
		qt.Check(t, b.runs()-before, qt.Equals, callersAtOnce)
	})
}

// TestSlowServersAreNotAskedTwice slows every engine down by a factor of 100: connection probes must neither mark a server as failed nor
// run a request twice. Hedging is off because it would send late requests to a second server.
func TestSlowServersAreNotAskedTwice(t *testing.T) {
	const callers = 6
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, func(o *dev.Options) { o.Config = setHedge(o.Config, false) })
		defer b.close()
		b.warmUp()
		for _, engine := range b.system.Engines() {
			engine.SetSlowdown(100)
		}
		before := b.runs()
		slow := b.firstTokens(callers, "slow")
		t.Logf("first token after %s to %s", slow[0], slow[callers-1])
		qt.Check(t, slow[0] > 0, qt.IsTrue)
		qt.Check(t, b.runs()-before, qt.Equals, callers)
		for i := range b.system.NodeCount() {
			qt.Check(t, b.system.Node(i).Metrics().Get("server_deaths"), qt.IsNil)
		}
	})
}
