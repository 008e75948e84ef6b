package enginefake

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/monsoonrail/monsoonrail/internal/fake/script"
	"github.com/monsoonrail/monsoonrail/pkg/api"
	"github.com/monsoonrail/monsoonrail/pkg/sse"
)

// Headers of the engine's API.
const (
	headerRequestID    = "X-Request-Id"
	headerPriority     = "X-Priority"
	headerResumeOffset = "X-Resume-Offset"
	headerRefused      = "X-Refused"
)

// Values of headerRefused.
const (
	refusedLeaving   = "Leaving"
	refusedNotLoaded = "NotLoaded"
	refusedFull      = "Full"
)

// maxBody bounds the body of a request.
const maxBody = 16 << 20

// refusal is why a request didn't run.
type refusal struct {
	status  int
	refused string
	message string
}

func (f *refusal) write(w http.ResponseWriter) {
	if f.refused != "" {
		w.Header().Set(headerRefused, f.refused)
	}
	writeJSON(w, f.status, map[string]any{"error": map[string]string{"message": f.message}})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// serveChat runs a request, or resumes the stream of one.
func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	id := api.RequestID(r.Header.Get(headerRequestID))
	if offset := r.Header.Get(headerResumeOffset); offset != "" {
		e.serveResume(w, r, id, offset)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	e.mu.Lock()
	e.noteArrival(id, body)
	e.mu.Unlock()
	var request api.ChatRequest
	if err != nil || json.Unmarshal(body, &request) != nil {
		(&refusal{status: http.StatusBadRequest, message: "bad body"}).write(w)
		return
	}
	g, refused := e.accept(id, request, r.Header.Get(headerPriority))
	if refused != nil {
		refused.write(w)
		return
	}
	if !e.opts.IgnoreCrashMarker && script.ParsePrompt(promptText(request.Messages)).Crash {
		e.crash()
		return
	}
	switch {
	case e.fails():
		e.awaitWhole(r, g)
		(&refusal{status: http.StatusInternalServerError, message: "internal error"}).write(w)
	case request.Stream:
		e.stream(w, r, g, 0)
	default:
		e.writeWhole(w, r, g)
	}
}

// fails draws whether a request fails.
func (e *Engine) fails() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.roll(e.faults.errors)
}

// accept begins a generation unless the engine refuses the work.
func (e *Engine) accept(id api.RequestID, request api.ChatRequest, priority string) (*generation, *refusal) {
	version := api.ParseVersionID(request.Model)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.down:
		panic(http.ErrAbortHandler)
	case id == "":
		return nil, &refusal{status: http.StatusBadRequest, message: "no " + headerRequestID}
	case e.faults.leaving:
		return nil, &refusal{status: http.StatusServiceUnavailable, refused: refusedLeaving, message: "leaving"}
	case e.loaded[version] != StatusLoaded:
		return nil, &refusal{status: http.StatusNotFound, refused: refusedNotLoaded, message: "not loaded: " + request.Model}
	case e.slots.isFull():
		return nil, &refusal{status: http.StatusTooManyRequests, refused: refusedFull, message: "full"}
	}
	run := &e.runs[e.lastRun(id)]
	run.Began, run.Version = true, version
	return e.start(id, request, e.versions[version], parsePriority(priority)), nil
}

func parsePriority(text string) api.Priority {
	switch text {
	case "high":
		return api.PriorityHigh
	case "low":
		return api.PriorityLow
	default:
		return api.PriorityNormal
	}
}

// serveResume sends the chunks of a running or finished generation from an offset.
func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request, id api.RequestID, text string) {
	offset, err := strconv.Atoi(text)
	e.mu.Lock()
	g, ok := e.generations[id]
	e.mu.Unlock()
	if err != nil || offset < 0 || !ok || offset > g.answer.chunks() {
		(&refusal{status: http.StatusNotFound, message: "no such generation or offset"}).write(w)
		return
	}
	e.stream(w, r, g, offset)
}

// serveCancel ends a generation.
func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	g, ok := e.generations[api.RequestID(r.PathValue("id"))]
	e.mu.Unlock()
	if !ok {
		(&refusal{status: http.StatusNotFound, message: "no such generation"}).write(w)
		return
	}
	g.cancel()
	w.WriteHeader(http.StatusNoContent)
}

// writeWhole answers once the generation is whole.
func (e *Engine) writeWhole(w http.ResponseWriter, r *http.Request, g *generation) {
	e.awaitWhole(r, g)
	writeJSON(w, http.StatusOK, api.ChatCompletion{
		ID:      g.id,
		Object:  "chat.completion",
		Created: g.began.Unix(),
		Model:   g.version.ID.String(),
		Choices: []api.ChatChoice{{
			Message:      api.ChatMessage{Role: "assistant", Content: g.answer.text()},
			FinishReason: g.answer.finish,
		}},
		Usage: g.usage(),
	})
}

// awaitWhole waits until the generation is whole, and breaks the connection if it never will be.
func (e *Engine) awaitWhole(r *http.Request, g *generation) {
	for ready, total := 0, 1; ready < total; {
		var ok bool
		if ready, ok = e.await(r, g, total); !ok {
			panic(http.ErrAbortHandler)
		}
		total = g.answer.chunks()
	}
}

// await returns the chunks that exist once there are at least atLeast; false if no more will come.
func (e *Engine) await(r *http.Request, g *generation, atLeast int) (int, bool) {
	for {
		e.mu.Lock()
		ready, ended, changed := g.ready, g.ended, g.next()
		e.mu.Unlock()
		if ready >= atLeast {
			return ready, true
		}
		if ended {
			return ready, false
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return ready, false
		}
	}
}

// stream sends the chunks from an offset, each at once, then the end of the stream.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, g *generation, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	flusher.Flush()
	e.mu.Lock()
	stalls := g.stalls
	if other := e.otherWhole(g); other != nil {
		g, offset = other, 0
	}
	e.mu.Unlock()
	for next := offset; next < g.answer.chunks(); {
		ready, ok := e.await(r, g, next+1)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		e.disturb(w, r, g, stalls)
		var out []byte
		for ; next < ready; next++ {
			out = appendChunk(out, g, next)
		}
		if _, err := w.Write(out); err != nil {
			return
		}
		flusher.Flush()
	}
	_, _ = w.Write(sse.Append(nil, sse.Event{Data: []byte(api.StreamDone)}))
}

// disturb carries out the faults of streams: it stalls, cuts, or sends another request's chunk.
func (e *Engine) disturb(w http.ResponseWriter, r *http.Request, g *generation, stalls int) {
	e.mu.Lock()
	stalled := g.stalls != stalls
	cut := e.roll(e.faults.cutStreams)
	other := e.otherChunk(g)
	life := e.life
	e.mu.Unlock()
	if stalled {
		select {
		case <-r.Context().Done():
		case <-life.Done():
		}
	}
	if stalled || cut {
		panic(http.ErrAbortHandler)
	}
	if other != nil {
		_, _ = w.Write(other)
	}
}

// otherChunk returns a chunk of another generation now and then.
func (e *Engine) otherChunk(g *generation) []byte {
	if !e.roll(e.faults.crossed) {
		return nil
	}
	for i := len(e.runs) - 1; i >= 0 && i >= len(e.runs)-8; i-- {
		other, ok := e.generations[e.runs[i].RequestID]
		if ok && other != g && other.ready > 0 {
			return appendChunk(nil, other, e.rng.IntN(other.ready))
		}
	}
	return nil
}

// otherWhole returns a whole generation of another request now and then, and nil else.
func (e *Engine) otherWhole(g *generation) *generation {
	if !e.roll(e.faults.swapped) {
		return nil
	}
	for i := len(e.runs) - 1; i >= 0; i-- {
		other, ok := e.generations[e.runs[i].RequestID]
		if ok && other != g && other.ready == other.answer.chunks() {
			return other
		}
	}
	return nil
}

// appendChunk appends the event of one chunk.
func appendChunk(out []byte, g *generation, index int) []byte {
	chunk := api.ChatChunk{
		ID:      g.id,
		Object:  "chat.completion.chunk",
		Created: g.began.Unix(),
		Model:   g.version.ID.String(),
		Choices: []api.ChatChunkChoice{{Delta: api.ChatDelta{Content: g.answer.word(index)}}},
	}
	if index == 0 {
		chunk.Choices[0].Delta.Role = "assistant"
	}
	if index == g.answer.tokens {
		usage := g.usage()
		chunk.Usage = &usage
		chunk.Choices[0].FinishReason = &g.answer.finish
	}
	data, err := json.Marshal(chunk)
	if err != nil {
		panic(err)
	}
	return sse.Append(out, sse.Event{ID: strconv.Itoa(index), Data: data})
}

func (g *generation) usage() api.Usage {
	tokens := api.Tokens(g.answer.tokens)
	return api.Usage{PromptTokens: g.prompt, CompletionTokens: tokens, TotalTokens: g.prompt + tokens}
}

// lastRun returns the number of the latest record of a request.
func (e *Engine) lastRun(id api.RequestID) int {
	for i := len(e.runs) - 1; i >= 0; i-- {
		if e.runs[i].RequestID == id {
			return i
		}
	}
	return -1
}
