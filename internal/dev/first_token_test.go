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

// firstTokens asks many callers' questions at once and returns the times to their first tokens, in order.
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

// runs counts the runs of requests at the engines.
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

// silenceServers lets every open connection between nodes and engines go silent for good.
func (b *bench) silenceServers() {
	for n := range b.system.NodeCount() {
		for i := range b.system.Engines() {
			b.net.Silence(fmt.Sprintf("127.1.1.%d", n+1), fmt.Sprintf("127.1.2.%d", i+1))
		}
	}
}

const callersAtOnce = 24

// warm lets the nodes learn the usual time to the first token, and keep connections to every engine.
func (b *bench) warm() {
	for round := range 10 {
		b.firstTokens(callersAtOnce, fmt.Sprintf("warm %d", round))
	}
}

// TestFirstTokenOverSilentConnections lets the connections that nodes keep to engines go silent and asks then. The target is a
// first token within 1.1 s for 95 in 100 calls.
func TestFirstTokenOverSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, nil)
		defer b.close()
		b.warm()
		usual := b.firstTokens(callersAtOnce, "usual")
		b.silenceServers()
		before := b.runs()
		hit := b.firstTokens(callersAtOnce, "hit")
		t.Logf("first token usually after %s, of the calls hit after %s to %s", usual[callersAtOnce-1], hit[0], hit[callersAtOnce-1])
		qt.Check(t, hit[0] > 0, qt.IsTrue)
		qt.Check(t, hit[callersAtOnce*95/100] <= 1100*time.Millisecond, qt.IsTrue)
		qt.Check(t, b.runs()-before, qt.Equals, callersAtOnce)
	})
}

// TestSlowServersAreNotAskedTwice lets every engine turn a hundred times slower: the connections that are tried meanwhile blame
// none and run nothing twice. Hedging, which moves late requests, is off.
func TestSlowServersAreNotAskedTwice(t *testing.T) {
	const callers = 6
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, func(o *dev.Options) { o.Config = setHedge(o.Config, false) })
		defer b.close()
		b.warm()
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
