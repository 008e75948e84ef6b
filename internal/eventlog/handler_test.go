package eventlog

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	qt "github.com/frankban/quicktest"
)

// stuckOutput is a writer that blocks until unblock is closed.
type stuckOutput struct {
	unblock chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (o *stuckOutput) Write(line []byte) (int, error) {
	<-o.unblock
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(line)
}

func (o *stuckOutput) lines() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Split(strings.TrimSpace(o.text.String()), "\n")
}

func TestLinesAreWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var text bytes.Buffer
		h := New(Options{Output: &text, Format: FormatJSON})
		logger := &log.Logger{Handler: h}
		logger.WithField("request", "n.i.1").Info("request answered")
		h.Close()
		var line struct {
			Level, Message string
			Fields         map[string]string
		}
		qt.Assert(t, json.Unmarshal(text.Bytes(), &line), qt.IsNil)
		qt.Check(t, line.Level, qt.Equals, "info")
		qt.Check(t, line.Message, qt.Equals, "request answered")
		qt.Check(t, line.Fields, qt.DeepEquals, map[string]string{"request": "n.i.1"})
	})
}

// TestStuckOutputDoesNotBlockCallers logs twice the queue's capacity to a blocked output. No call may block, dropped lines are counted,
// and their counts are logged once the output accepts lines again.
func TestStuckOutputDoesNotBlockCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := &stuckOutput{unblock: make(chan struct{})}
		h := New(Options{Output: output, LinesPerSecond: 10 * queueLines})
		logger := &log.Logger{Handler: h}
		began := time.Now()
		for range 2 * queueLines {
			logger.Info("routine")
		}
		qt.Check(t, time.Since(began), qt.Equals, time.Duration(0))
		synctest.Wait()
		dropped := h.Dropped()
		qt.Check(t, dropped.RoutineOverflow >= queueLines-1, qt.IsTrue, qt.Commentf("%+v", dropped))
		qt.Check(t, dropped.RoutineOverRate, qt.Equals, int64(0))
		close(output.unblock)
		h.Close()
		lines := output.lines()
		qt.Check(t, lines[len(lines)-1], qt.Contains, "log lines left out")
	})
}

// TestCloseTimesOutOnStuckOutput checks that Close returns after closeTimeout while the output is blocked.
func TestCloseTimesOutOnStuckOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := &stuckOutput{unblock: make(chan struct{})}
		h := New(Options{Output: output})
		(&log.Logger{Handler: h}).Info("never written")
		began := time.Now()
		h.Close()
		qt.Check(t, time.Since(began), qt.Equals, closeTimeout)
		close(output.unblock)
	})
}

// TestRoutineLinesDoNotCrowdOutErrors logs more routine lines than the rate limit allows and then an error, which must be written.
func TestRoutineLinesDoNotCrowdOutErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var text bytes.Buffer
		h := New(Options{Output: &text, LinesPerSecond: 100})
		logger := &log.Logger{Handler: h}
		for range 5000 {
			logger.Info("routine")
		}
		logger.Error("broken")
		h.Close()
		qt.Check(t, strings.Count(text.String(), "message=routine"), qt.Equals, 101)
		qt.Check(t, strings.Count(text.String(), "message=broken"), qt.Equals, 1)
		qt.Check(t, h.Dropped(), qt.Equals, Dropped{RoutineOverRate: 4899})
	})
}

func TestDependencyIsLoggedOncePerTransition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lines := memory.New()
		d := Dependency{Name: "vm-list", Log: &log.Logger{Handler: lines}}
		d.Record(nil)
		for range 3 {
			d.Record(errors.New("refused"))
			time.Sleep(time.Second)
		}
		d.Record(nil)
		d.Record(nil)
		qt.Assert(t, lines.Entries, qt.HasLen, 2)
		qt.Check(t, lines.Entries[0].Message, qt.Equals, "dependency lost")
		qt.Check(t, lines.Entries[1].Message, qt.Equals, "dependency back")
		qt.Check(t, lines.Entries[1].Fields, qt.DeepEquals, log.Fields{"dependency": "vm-list", "out_for": "3s", "failures": 3})
	})
}

// BenchmarkLine logs a line with the fields of an attempt's line.
func BenchmarkLine(b *testing.B) {
	h := New(Options{Output: io.Discard, LinesPerSecond: 1e9})
	defer h.Close()
	logger := (&log.Logger{Handler: h}).WithFields(log.Fields{"node": "node-1", "incarnation": "6e248ef06b24de04"})
	b.ReportAllocs()
	for b.Loop() {
		logger.WithField("request", "node-1.6e248ef06b24de04.1").WithFields(log.Fields{
			"attempt": 1, "version": "scholar@2.0", "server": "tutor-llm-4", "reason": "Cheapest", "revision": 1,
			"report_age": "1.139s", "in_flight": 1, "guarded": false, "tried": 0,
		}).Info("attempt begun")
	}
}

// TestStandardLoggerKeepsLines checks the level, message and detail of a line written through the standard library's logger.
func TestStandardLoggerKeepsLines(t *testing.T) {
	lines := memory.New()
	StandardLogger(&log.Logger{Handler: lines, Level: log.DebugLevel}, "connection failed").Printf("accept: %s", "too many open files")
	qt.Assert(t, lines.Entries, qt.HasLen, 1)
	qt.Assert(t, lines.Entries[0].Level, qt.Equals, log.WarnLevel)
	qt.Assert(t, lines.Entries[0].Message, qt.Equals, "connection failed")
	qt.Assert(t, lines.Entries[0].Fields.Get("detail"), qt.Equals, "accept: too many open files")
}
