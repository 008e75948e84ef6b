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

// platformIP is the address of the platform's stand-ins.
const platformIP = "127.1.0.1"

// logBook holds what the nodes of a bench logged.
type logBook struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBook) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

// logLine is a line of the log as JSON.
type logLine struct {
	Message string
	Fields  map[string]any
}

// linesOf returns the lines that carry a value in a field, in their order.
func (b *logBook) linesOf(t *testing.T, field, value string) []logLine {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []logLine
	for _, text := range strings.Split(strings.TrimSpace(b.text.String()), "\n") {
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

// newLoggedBench returns a bench whose nodes log into a book.
func newLoggedBench(t *testing.T) (*bench, *logBook) {
	book := &logBook{}
	return newBench(t, func(o *dev.Options) {
		o.LogOutput = book
		o.Log = setting.Log{Level: "info", Format: "json"}
	}), book
}

// settle lets the logs' goroutines write.
func settle() { time.Sleep(time.Second) }

func problemOf(t *testing.T, raw []byte) api.Problem {
	var problem api.Problem
	qt.Assert(t, json.Unmarshal(raw, &problem), qt.IsNil, qt.Commentf("%s", raw))
	return problem
}

// TestLogExplainsACallWhoseAnswerWasLost follows a call that may not be repeated from its id to the server that lost it.
func TestLogExplainsACallWhoseAnswerWasLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, book := newLoggedBench(t)
		defer b.close()
		for _, plain := range b.system.PlainServers() {
			plain.LoseAnswers(1)
		}
		resp, raw := b.do(http.MethodPost, b.system.NodeURL(1)+"/v1/services/forge-app/push", nil, "commit 1")
		qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusBadGateway, qt.Commentf("%s", raw))
		problem := problemOf(t, raw)
		settle()
		lines := book.linesOf(t, "request", string(problem.RequestID))
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

// TestLogExplainsAMissedDeadline follows a chat from its id to the servers that were cut off from its node.
func TestLogExplainsAMissedDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, book := newLoggedBench(t)
		defer b.close()
		for i := range b.system.Engines() {
			b.net.Cut(nodeIP(0), engineIP(i))
		}
		time.Sleep(3 * time.Second)
		resp, raw := b.do(http.MethodPost, b.system.NodeURL(0)+"/v1/chat/completions",
			map[string]string{api.HeaderDeadline: "5s"}, question)
		qt.Assert(t, resp.StatusCode >= http.StatusInternalServerError, qt.IsTrue, qt.Commentf("%s", raw))
		problem := problemOf(t, raw)
		settle()
		lines := book.linesOf(t, "request", string(problem.RequestID))
		last := lines[len(lines)-2]
		qt.Check(t, last.Message, qt.Equals, "request refused")
		qt.Check(t, last.Fields["reason"], qt.Equals, string(problem.Reason))
		states := map[any]bool{}
		for i := range b.system.Engines() {
			for _, line := range book.linesOf(t, "server", string(b.system.Engines()[i].ID())) {
				states[line.Fields["state"]] = true
			}
		}
		qt.Check(t, states["unresponsive"] || states["failed"], qt.IsTrue, qt.Commentf("%v, %v", states, messages(lines)))
	})
}

// TestLogExplainsARefusalWithoutARequestID follows a refusal of a request that got no id by its instance.
func TestLogExplainsARefusalWithoutARequestID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, book := newLoggedBench(t)
		defer b.close()
		resp, raw := b.do(http.MethodPost, b.system.NodeURL(0)+"/v1/chat/completions", nil,
			`{"model":"unheard-of","messages":[{"role":"user","content":"x"}]}`)
		qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusForbidden)
		problem := problemOf(t, raw)
		settle()
		lines := book.linesOf(t, "instance", problem.Instance)
		qt.Assert(t, messages(lines), qt.DeepEquals, []string{"caller told of a problem"})
		qt.Check(t, lines[0].Fields["reason"], qt.Equals, string(api.ReasonNotAllowed))
		qt.Check(t, lines[0].Fields["detail"], qt.Contains, "unheard-of")
	})
}

// TestLogTellsOfALostDependency takes the VM list and the key-value service away for a while.
func TestLogTellsOfALostDependency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, book := newLoggedBench(t)
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
			lines := book.linesOf(t, "dependency", dependency)
			nodes := b.system.NodeCount()
			qt.Assert(t, messages(lines), qt.HasLen, 2*nodes, qt.Commentf("%s", dependency))
			qt.Check(t, lines[0].Message, qt.Equals, "dependency lost")
			qt.Check(t, lines[2*nodes-1].Message, qt.Equals, "dependency back")
		}
	})
}
