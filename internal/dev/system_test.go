package dev_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/dev"
	"github.com/monsoonrail/monsoonrail/internal/fake/memnet"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// callerIP is the address of the tests' client.
const callerIP = "127.1.9.1"

// bench is a system on an in-memory network with one client.
type bench struct {
	t      *testing.T
	net    *memnet.Network
	system *dev.System
	client *http.Client
}

func loadCommons(t *testing.T) *fleet.Config {
	config, err := fleet.Load("../../examples/commons")
	qt.Assert(t, err, qt.IsNil)
	return config
}

func newBench(t *testing.T, change func(*dev.Options)) *bench {
	config := loadCommons(t)
	network := memnet.New()
	opts := dev.Options{
		Config:   config,
		Networks: func(ip string) tcp.Network { return network.Host(ip) },
		Seed:     1,
	}
	if change != nil {
		change(&opts)
	}
	system, err := dev.Start(context.Background(), opts)
	qt.Assert(t, err, qt.IsNil)
	transport := tcp.NewTransport(network.Host(callerIP))
	b := &bench{t: t, net: network, system: system, client: &http.Client{Transport: transport}}
	// The nodes learn from load reports which versions the engines have loaded.
	time.Sleep(3 * time.Second)
	return b
}

func (b *bench) close() {
	b.client.CloseIdleConnections()
	b.system.Close()
}

func (b *bench) do(method, url string, header map[string]string, body string) (*http.Response, []byte) {
	req, err := http.NewRequest(method, url, bytes.NewBufferString(body))
	qt.Assert(b.t, err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer key-lessons")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := b.client.Do(req)
	qt.Assert(b.t, err, qt.IsNil)
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	qt.Assert(b.t, err, qt.IsNil)
	return resp, raw
}

const question = `{"model":"auto","messages":[{"role":"user","content":"Explain this commit"}]}`

func TestEveryNodeAnswersAndKeepsTheSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, nil)
		defer b.close()
		resp, raw := b.do(http.MethodPost, b.system.NodeURL(0)+"/v1/chat/completions", nil, question)
		qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", raw))
		session := resp.Header.Get(api.HeaderSession)
		version := resp.Header.Get(api.HeaderVersion)
		for i := range 3 {
			resp, raw := b.do(http.MethodPost, b.system.NodeURL(i)+"/v1/chat/completions",
				map[string]string{api.HeaderSession: session}, question)
			qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", raw))
			qt.Check(t, resp.Header.Get(api.HeaderVersion), qt.Equals, version)
			var completion api.ChatCompletion
			qt.Assert(t, json.Unmarshal(raw, &completion), qt.IsNil)
			qt.Check(t, completion.Choices[0].Message.Content, qt.Not(qt.Equals), "")
		}
	})
}

func TestPlainCallReachesItsServiceOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, nil)
		defer b.close()
		resp, raw := b.do(http.MethodPost, b.system.NodeURL(1)+"/v1/services/forge-app/push", nil, "commit 1")
		qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", raw))
		qt.Check(t, resp.Header.Get(api.HeaderConfigRevision), qt.Equals, "1")
		runs := 0
		for _, plain := range b.system.PlainServers() {
			runs += len(plain.Runs())
		}
		qt.Check(t, runs, qt.Equals, 1)
	})
}

func TestRejectionsHaveReasonAndOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, nil)
		defer b.close()
		chat := "/v1/chat/completions"
		for _, test := range []struct {
			name   string
			method string
			path   string
			header map[string]string
			body   string
			status int
			reason api.Reason
		}{
			{"wrong key", "POST", chat, map[string]string{"Authorization": "Bearer wrong"}, question, 401, api.ReasonUnauthenticated},
			{"truncated", "POST", chat, nil, `{"model":`, 400, api.ReasonBadRequest},
			{"wrong type", "POST", chat, nil, `{"model":1,"messages":[]}`, 400, api.ReasonBadRequest},
			{"unknown model", "POST", chat, nil, `{"model":"nope","messages":[{"role":"user","content":"x"}]}`, 403, api.ReasonNotAllowed},
			{"forged session", "POST", chat, map[string]string{api.HeaderSession: "AAAA"}, question, 400, api.ReasonBadSession},
			{"bad deadline", "POST", chat, map[string]string{api.HeaderDeadline: "soon"}, question, 400, api.ReasonBadRequest},
			{"oversized", "POST", chat, nil, `{"model":"` + string(make([]byte, 2<<20)) + `"}`, 413, api.ReasonTooLarge},
			{"unknown service", "GET", "/v1/services/nope/status", nil, "", 404, api.ReasonUnknownService},
			{"escaped path", "POST", "/v1/services/forge-app/%70ush", nil, "x", 400, api.ReasonBadRequest},
			{"bad offset", "GET", "/v1/answers/a.b.c?offset=-1", nil, "", 400, api.ReasonBadRequest},
		} {
			outcome := api.OutcomeNotRun
			if test.name == "bad offset" {
				// A malformed request for an earlier request's answer does not imply that the earlier request did not run.
				outcome = api.OutcomeMayHaveRun
			}
			resp, raw := b.do(test.method, b.system.NodeURL(0)+test.path, test.header, test.body)
			name := qt.Commentf("%s: %s", test.name, raw)
			var problem api.Problem
			qt.Assert(t, json.Unmarshal(raw, &problem), qt.IsNil, name)
			qt.Check(t, resp.StatusCode, qt.Equals, test.status, name)
			qt.Check(t, problem.Reason, qt.Equals, test.reason, name)
			qt.Check(t, problem.Outcome, qt.Equals, outcome, name)
			qt.Check(t, resp.Header.Get("Content-Type"), qt.Equals, api.ProblemContentType, name)
		}
	})
}

// TestMetricsRequireOperatorKey checks that the metrics, which contain team names, are served to operators only.
func TestMetricsRequireOperatorKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, nil)
		defer b.close()
		resp, raw := b.do(http.MethodPost, b.system.NodeURL(0)+"/v1/chat/completions", nil, question)
		qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", raw))
		url := b.system.NodeURL(0) + "/metrics"
		resp, raw = b.do(http.MethodGet, url, nil, "")
		qt.Check(t, resp.StatusCode, qt.Equals, http.StatusUnauthorized)
		qt.Check(t, string(raw), qt.Not(qt.Contains), "lessons")
		resp, raw = b.do(http.MethodGet, url, map[string]string{"Authorization": "Bearer " + dev.OperatorKey}, "")
		qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK)
		qt.Check(t, string(raw), qt.Contains, `latency_microseconds_count{team="lessons"} 1`)
	})
}

// TestAnsweredCallIsInTheMetrics reads the metrics right after each of many answers: a caller that has its answer must find it counted.
func TestAnsweredCallIsInTheMetrics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, nil)
		defer b.close()
		for i := range 300 {
			resp, raw := b.do(http.MethodPost, b.system.NodeURL(0)+"/v1/chat/completions", nil, question)
			qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", raw))
			_, raw = b.do(http.MethodGet, b.system.NodeURL(0)+"/metrics", map[string]string{"Authorization": "Bearer " + dev.OperatorKey}, "")
			qt.Check(t, string(raw), qt.Contains, fmt.Sprintf("latency_microseconds_count{team=\"lessons\"} %d\n", i+1))
		}
	})
}
