package dev_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/dev"
	"github.com/monsoonrail/monsoonrail/internal/setting"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// platformIP is the address of the fakes of the platform's services.
const platformIP = "127.1.0.1"

// logRecorder is an io.Writer that records the log of a bench's nodes.
type logRecorder struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (r *logRecorder) Write(line []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.Write(line)
}

// logLine is one line of the JSON log.
type logLine struct {
	Message string
	Fields  map[string]any
}

// linesWith returns the lines whose field has the given value, in log order.
func (r *logRecorder) linesWith(t *testing.T, field, value string) []logLine {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []logLine
	for _, text := range strings.Split(strings.TrimSpace(r.text.String()), "\n") {
		var line logLine
		qt.Assert(t, json.Unmarshal([]byte(text), &line), qt.IsNil, qt.Commentf("%s", text))
		if line.Fields[field] == value {
			found = append(found, line)
		}
	}
	return found
}

func messages(lines []logLine) []string {
	var texts []string
	for _, line := range lines {
		texts = append(texts, line.Message)
	}
	return texts
}

// newLoggedBench returns a bench and the recorder that its nodes log to.
func newLoggedBench(t *testing.T) (*bench, *logRecorder) {
	recorder := &logRecorder{}
	return newBench(t, func(o *dev.Options) {
		o.LogOutput = recorder
		o.Log = setting.Log{Level: "info", Format: "json"}
	}), recorder
}

// waitForLogs gives the logging goroutines time to write.
func waitForLogs() { time.Sleep(time.Second) }

func problemOf(t *testing.T, raw []byte) api.Problem {
	var problem api.Problem
	qt.Assert(t, json.Unmarshal(raw, &problem), qt.IsNil, qt.Commentf("%s", raw))
	return problem
}

// TestLogExplainsACallWhoseAnswerWasLost follows a non-repeatable call in the log from its request ID to the server that lost the answer.
func TestLogExplainsACallWhoseAnswerWasLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, recorder := newLoggedBench(t)
		defer b.close()
		for _, plain := range b.system.PlainServers() {
			plain.LoseAnswers(1)
		}
		resp, raw := b.do(http.MethodPost, b.system.NodeURL(1)+"/v1/services/forge-app/push", nil, "commit 1")
		qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusBadGateway, qt.Commentf("%s", raw))
		problem := problemOf(t, raw)
		waitForLogs()
		lines := recorder.linesWith(t, "request", string(problem.RequestID))
		qt.Assert(t, messages(lines), qt.DeepEquals,
			[]string{"request admitted", "attempt begun", "attempt failed", "request refused", "caller told of a problem"})
		qt.Check(t, lines[0].Fields["service"], qt.Equals, "forge-app")
		qt.Check(t, lines[1].Fields["once"], qt.Equals, true)
		qt.Check(t, lines[2].Fields["server"], qt.Equals, lines[1].Fields["server"])
		qt.Check(t, lines[2].Fields["handed"], qt.Equals, true)
		qt.Check(t, lines[2].Fields["error"], qt.Not(qt.Equals), "")
		qt.Check(t, lines[3].Fields["reason"], qt.Equals, string(api.ReasonServerFailed))
		qt.Check(t, lines[3].Fields["outcome"], qt.Equals, string(api.OutcomeMayHaveRun))
	})
}

// TestLogExplainsAMissedDeadline follows a chat request in the log from its ID to the servers that no node could reach.
func TestLogExplainsAMissedDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, recorder := newLoggedBench(t)
		defer b.close()
		for n := range b.system.NodeCount() {
			for i := range b.system.Engines() {
				b.net.Cut(nodeIP(n), engineIP(i))
			}
		}
		time.Sleep(3 * time.Second)
		resp, raw := b.do(http.MethodPost, b.system.NodeURL(0)+"/v1/chat/completions",
			map[string]string{api.HeaderDeadline: "5s"}, question)
		qt.Assert(t, resp.StatusCode >= http.StatusInternalServerError, qt.IsTrue, qt.Commentf("%s", raw))
		problem := problemOf(t, raw)
		waitForLogs()
		lines := recorder.linesWith(t, "request", string(problem.RequestID))
		last := lines[len(lines)-2]
		qt.Check(t, last.Message, qt.Equals, "request refused")
		qt.Check(t, last.Fields["reason"], qt.Equals, string(problem.Reason))
		states := map[any]bool{}
		for i := range b.system.Engines() {
			for _, line := range recorder.linesWith(t, "server", string(b.system.Engines()[i].ID())) {
				states[line.Fields["state"]] = true
			}
		}
		qt.Check(t, states["unresponsive"] || states["failed"], qt.IsTrue, qt.Commentf("%v, %v", states, messages(lines)))
	})
}

// TestLogExplainsARefusalWithoutARequestID finds the rejection of a request without an ID in the log by the problem's instance.
func TestLogExplainsARefusalWithoutARequestID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, recorder := newLoggedBench(t)
		defer b.close()
		resp, raw := b.do(http.MethodPost, b.system.NodeURL(0)+"/v1/chat/completions", nil,
			`{"model":"unheard-of","messages":[{"role":"user","content":"x"}]}`)
		qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusForbidden)
		problem := problemOf(t, raw)
		waitForLogs()
		lines := recorder.linesWith(t, "instance", problem.Instance)
		qt.Assert(t, messages(lines), qt.DeepEquals, []string{"caller told of a problem"})
		qt.Check(t, lines[0].Fields["reason"], qt.Equals, string(api.ReasonNotAllowed))
		qt.Check(t, lines[0].Fields["detail"], qt.Contains, "unheard-of")
	})
}

// TestLogReportsLostDependency makes the VM list and the key-value service unreachable for 20 s.
func TestLogReportsLostDependency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, recorder := newLoggedBench(t)
		defer b.close()
		for i := range b.system.NodeCount() {
			b.net.Cut(nodeIP(i), platformIP)
		}
		time.Sleep(20 * time.Second)
		for i := range b.system.NodeCount() {
			b.net.Heal(nodeIP(i), platformIP)
		}
		time.Sleep(20 * time.Second)
		for _, dependency := range []string{"vm-list", "key-value-service"} {
			lines := recorder.linesWith(t, "dependency", dependency)
			nodes := b.system.NodeCount()
			qt.Assert(t, messages(lines), qt.HasLen, 2*nodes, qt.Commentf("%s", dependency))
			qt.Check(t, lines[0].Message, qt.Equals, "dependency lost")
			qt.Check(t, lines[2*nodes-1].Message, qt.Equals, "dependency back")
		}
	})
}
