package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/answer"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// maxPooledBytes bounds the buffers that are kept for later parts.
	maxPooledBytes = 64 << 10
	// deadlineStep is the time after which the deadline of a stream's writes is set anew.
	deadlineStep = time.Second
)

// eventBuffers holds buffers between parts, so that an idle stream holds none.
var eventBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// eventWriter gathers the events of one part and writes them at once, within writeTimeout.
type eventWriter struct {
	control *http.ResponseController
	w       http.ResponseWriter
	// buf is nil between parts.
	buf *bytes.Buffer
	// form is that of the answer's chunks.
	form chunkForm
	// deadlineSet is when the deadline of writes was set last.
	deadlineSet time.Time
}

func newEventWriter(w http.ResponseWriter) *eventWriter {
	return &eventWriter{control: http.NewResponseController(w), w: w}
}

func (e *eventWriter) start() {
	header := e.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	e.w.WriteHeader(http.StatusOK)
}

func (e *eventWriter) buffer() *bytes.Buffer {
	if e.buf == nil {
		e.buf = eventBuffers.Get().(*bytes.Buffer)
	}
	return e.buf
}

// event adds an event without an id; name may be empty.
func (e *eventWriter) event(name string, data []byte) {
	buf := e.buffer()
	if name != "" {
		buf.WriteString("event: " + name + "\n")
	}
	buf.WriteString("data: ")
	buf.Write(data)
	buf.WriteString("\n\n")
}

// restartEvent is the data of an event that tells a caller to drop the text that it has.
type restartEvent struct {
	Restarts int
}

func (e *eventWriter) restart(restarts int) {
	data, err := json.Marshal(restartEvent{Restarts: restarts})
	if err != nil {
		return
	}
	e.event("restart", data)
}

func (e *eventWriter) heartbeat() error {
	e.buffer().WriteString(":\n\n")
	return e.flush()
}

func (e *eventWriter) flush() error {
	defer e.release()
	e.setDeadline(time.Now())
	if e.buf != nil {
		if _, err := e.w.Write(e.buf.Bytes()); err != nil {
			return err
		}
	}
	return e.control.Flush()
}

// setDeadline bounds the next write by writeTimeout, and by deadlineStep less if the deadline was set for a write shortly
// before: that takes longer than the rest of an event.
func (e *eventWriter) setDeadline(now time.Time) {
	if now.Sub(e.deadlineSet) < deadlineStep {
		return
	}
	e.deadlineSet = now
	_ = e.control.SetWriteDeadline(now.Add(writeTimeout))
}

func (e *eventWriter) release() {
	if e.buf == nil {
		return
	}
	if e.buf.Cap() <= maxPooledBytes {
		e.buf.Reset()
		eventBuffers.Put(e.buf)
	}
	e.buf = nil
}

// position is how much of an answer its caller has.
type position struct {
	offset int
	// restarts counts how often the text of which the caller has a part had been begun anew.
	restarts int
}

// streamParts sends a first part and all that follow it.
func (s *Server) streamParts(ctx context.Context, events *eventWriter, ans *answer.Answer, reader *answer.Reader, part answer.Part, at position) {
	for {
		if part.Restarts != at.restarts {
			at = position{restarts: part.Restarts}
			events.restart(at.restarts)
		}
		at.offset = writeChunks(events, ans, part, at.offset)
		if part.Done {
			writeEnd(events, ans, part)
			_ = events.flush()
			return
		}
		if events.flush() != nil {
			s.abort(ans, at.offset)
		}
		var ok bool
		if part, ok = nextPart(ctx, events, reader); !ok {
			s.abort(ans, at.offset)
		}
	}
}

// nextPart waits for something new and sends heartbeats meanwhile.
func nextPart(ctx context.Context, events *eventWriter, reader *answer.Reader) (answer.Part, bool) {
	for {
		part, ok, err := reader.NextWithin(ctx, heartbeatInterval)
		if err != nil {
			return answer.Part{}, false
		}
		if ok {
			return part, true
		}
		if events.heartbeat() != nil {
			return answer.Part{}, false
		}
	}
}

func writeChunks(events *eventWriter, ans *answer.Answer, part answer.Part, offset int) int {
	if len(part.Chunks) == 0 {
		return offset
	}
	events.form.setHead(ans, part.Head)
	for _, text := range part.Chunks {
		buf := events.buffer()
		buf.Write(events.form.append(buf.AvailableBuffer(), offset, text))
		offset++
	}
	return offset
}

func writeEnd(events *eventWriter, ans *answer.Answer, part answer.Part) {
	if problem := partProblem(ans, part); problem != nil {
		data, err := json.Marshal(problem)
		if err != nil {
			return
		}
		events.event("error", data)
		return
	}
	choice := api.ChatChunkChoice{FinishReason: &part.Tail.FinishReason}
	events.event("", chunkOf(ans, part.Head, choice, &part.Tail.Usage))
	events.event("", []byte(api.StreamDone))
}

// partProblem returns the problem with which an answer ended, if it ended short or is no longer held.
func partProblem(ans *answer.Answer, part answer.Part) *api.Problem {
	if part.Problem != nil {
		return part.Problem
	}
	if part.Dropped {
		problem := api.NewProblem(api.ReasonUnknownAnswer, http.StatusGone, api.OutcomeRan,
			"the request ran, but its answer is no longer kept")
		problem.RequestID = ans.ID
		return problem
	}
	return nil
}
