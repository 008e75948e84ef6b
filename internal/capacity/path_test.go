package capacity_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/capacity"
	"github.com/monsoonrail/monsoonrail/internal/dev"
	"github.com/monsoonrail/monsoonrail/internal/fake/enginefake"
	"github.com/monsoonrail/monsoonrail/internal/overhead"
	"github.com/monsoonrail/monsoonrail/internal/play"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// tokensOfRequest is the mean length of an answer at the size to come.
	tokensOfRequest = capacity.Tokens / capacity.Requests
	// streamsOfNode holds if an answer's tokens come 64 ms apart at most.
	streamsOfNode = capacity.RequestsPerNode * tokensOfRequest * 0.064
	// inFlight is how many requests are under way at once in the measurement.
	inFlight = 16
	// rounds is how often both ways are measured in turn: their difference is the median, so that other work on the machine,
	// which comes and goes, isn't taken for the node's.
	rounds = 7
)

// path is a node and an engine over the loopback interface.
type path struct {
	t      *testing.T
	client *http.Client
	next   int
}

// run asks for some streamed answers and returns the processor time of one in microseconds, of the whole process.
func (p *path) run(url string, requests, tokens int) float64 {
	body := fmt.Sprintf(`{"model":"model-0@1","stream":true,"messages":[{"role":"user","content":"%s tokens=%d"}]}`,
		strings.Repeat("line ", 40), tokens)
	before := processorTime(p.t)
	slots := make(chan struct{}, inFlight)
	var asking sync.WaitGroup
	for range requests {
		p.next++
		id := fmt.Sprint("request-", p.next)
		slots <- struct{}{}
		asking.Go(func() {
			defer func() { <-slots }()
			p.ask(url, id, "any", body)
		})
	}
	asking.Wait()
	return (processorTime(p.t) - before).Seconds() * 1e6 / float64(requests)
}

func (p *path) ask(url, id string, team api.Team, body string) {
	request, err := http.NewRequestWithContext(p.t.Context(), http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if !qt.Check(p.t, err, qt.IsNil) {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+play.KeyOf(team))
	request.Header.Set("X-Request-Id", id)
	response, err := p.client.Do(request)
	if !qt.Check(p.t, err, qt.IsNil) {
		return
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	qt.Check(p.t, err, qt.IsNil)
	qt.Check(p.t, strings.HasSuffix(string(text), "data: [DONE]\n\n"), qt.IsTrue, qt.Commentf("%d", response.StatusCode))
}

// measurePath returns the processor time that a node adds to a streamed answer, for each number of tokens.
func measurePath(t *testing.T, tokens []int) []float64 {
	system, err := dev.Start(t.Context(), dev.Options{
		Config: configOf(systemOptions{domains: 1, services: 1}), Nodes: 1, Engines: 1, Seed: 1,
	})
	qt.Assert(t, err, qt.IsNil)
	defer system.Close()
	for _, engine := range system.Engines() {
		engine.Reconfigure(func(opts *enginefake.Options) {
			opts.Slots, opts.TokensPerSecond, opts.PrefillTokensPerSecond = 64, 1000, 0
		})
	}
	p := &path{t: t, client: &http.Client{Transport: tcp.NewTransport(tcp.System{})}}
	defer p.client.CloseIdleConnections()
	time.Sleep(2 * time.Second)
	direct, through := "http://"+system.Servers()[0].Address, system.NodeURL(0)
	requests := 4 + repeat(60)
	added := make([]float64, len(tokens))
	for i, n := range tokens {
		p.run(through, inFlight, n)
		var differences [rounds]float64
		for round := range differences {
			differences[round] = p.run(through, requests, n) - p.run(direct, requests, n)
		}
		slices.Sort(differences[:])
		added[i] = differences[rounds/2]
	}
	return added
}

// TestMeasurePath varies the length of answers and the streams open at once.
func TestMeasurePath(t *testing.T) {
	tokens, streams := sizes(10, 60, 120, 230), sizes(50, 100, 200)
	if *out == "" {
		streams = nil
	}
	added := measurePath(t, tokens)
	all := []capacity.Series{series(capacity.Series{
		Quantity: "processor time that a node adds to streamed answers, in microseconds each", Unit: "cores", Over: "tokens of an answer",
		Target: tokensOfRequest, Times: capacity.RequestsPerNode / 1e6, Mechanism: "one pass over the engine's stream, an event a token (internal/router, internal/caller)",
	}, tokens, func(i int) float64 { return added[i] })}
	if len(streams) > 0 {
		memory := make([]float64, len(streams))
		for i, n := range streams {
			result, err := overhead.Measure(t.Context(), overhead.Options{Rate: 20, Streams: n, Duration: time.Second})
			qt.Assert(t, err, qt.IsNil)
			memory[i] = result.AddedStreamBytes * float64(n) / 1e6
		}
		all = append(all, series(capacity.Series{
			Quantity: "heap and stacks that a node adds for open streams", Unit: "MB", Over: "streams open at a node", Target: streamsOfNode,
			Mechanism: "bounded answers (internal/answer), goroutines of a request (internal/router)",
		}, streams, func(i int) float64 { return memory[i] }))
	}
	finish(t, "data-path", "TestMeasurePath", all)
}
