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
	// maxPooledBytes bounds the capacity of buffers that are returned to eventBuffers.
	maxPooledBytes = 64 << 10
	// deadlineRefreshInterval is the minimum time between updates of a stream's write deadline.
	deadlineRefreshInterval = time.Second
)

// eventBuffers pools the buffers of events, so that an idle stream holds none.
var eventBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// eventWriter buffers the events of one part and writes them together, within writeTimeout.
type eventWriter struct {
	control *http.ResponseController
	w       http.ResponseWriter
	// buf is nil between parts.
	buf *bytes.Buffer
	// template encodes the answer's chunks.
	template chunkTemplate
	// deadlineSet is when the write deadline was last set.
	deadlineSet time.Time
}

func newEventWriter(w http.ResponseWriter) *eventWriter {
	return &eventWriter{control: http.NewResponseController(w), w: w}
}

func (e *eventWriter) writeHeader() {
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

// addEvent buffers an event without an id; an empty name omits the event field.
func (e *eventWriter) addEvent(name string, data []byte) {
	buf := e.buffer()
	if name != "" {
		buf.WriteString("event: " + name + "\n")
	}
	buf.WriteString("data: ")
	buf.Write(data)
	buf.WriteString("\n\n")
}

// restartEvent is the data of a restart event, upon which the caller discards the text so far.
type restartEvent struct {
	Restarts int
}

func (e *eventWriter) addRestart(restarts int) {
	data, err := json.Marshal(restartEvent{Restarts: restarts})
	if err != nil {
		return
	}
	e.addEvent("restart", data)
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

// setDeadline sets the write deadline to writeTimeout from now, unless it was set less than deadlineRefreshInterval ago: setting it
// takes longer than the rest of writing an event. A write thus has at least writeTimeout-deadlineRefreshInterval.
func (e *eventWriter) setDeadline(now time.Time) {
	if now.Sub(e.deadlineSet) < deadlineRefreshInterval {
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

// streamPosition is the position in an answer up to which its caller has it.
type streamPosition struct {
	offset int
	// restarts is the number of restarts before the text to which offset refers.
	restarts int
}

// streamParts sends the given part and all that follow it.
func (s *Server) streamParts(
	ctx context.Context, events *eventWriter, ans *answer.Answer, reader *answer.Reader, part answer.Part, pos streamPosition,
) {
	for {
		if part.Restarts != pos.restarts {
			pos = streamPosition{restarts: part.Restarts}
			events.addRestart(pos.restarts)
		}
		pos.offset = writeChunks(events, ans, part, pos.offset)
		if part.Done {
			writeEnd(events, ans, part)
			_ = events.flush()
			return
		}
		if events.flush() != nil {
			s.abort(ans, pos.offset)
		}
		var ok bool
		if part, ok = nextPart(ctx, events, reader); !ok {
			s.abort(ans, pos.offset)
		}
	}
}

// nextPart waits for the next part and sends heartbeats meanwhile; it returns false if the caller has disconnected.
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
	events.template.setHead(ans, part.Head)
	for _, text := range part.Chunks {
		buf := events.buffer()
		buf.Write(events.template.append(buf.AvailableBuffer(), offset, text))
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
		events.addEvent("error", data)
		return
	}
	choice := api.ChatChunkChoice{FinishReason: &part.Tail.FinishReason}
	events.addEvent("", encodeChunk(ans, part.Head, choice, &part.Tail.Usage))
	events.addEvent("", []byte(api.StreamDone))
}

// partProblem returns the problem of an answer that failed or is no longer kept; nil otherwise.
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
