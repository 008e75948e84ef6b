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

// maxBody is the maximum size of a request body in bytes.
const maxBody = 16 << 20

// rejection is the error response to a request that the engine doesn't run.
type rejection struct {
	status  int
	reason  string
	message string
}

func (f *rejection) write(w http.ResponseWriter) {
	if f.reason != "" {
		w.Header().Set(headerRefused, f.reason)
	}
	writeJSON(w, f.status, map[string]any{"error": map[string]string{"message": f.message}})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// serveChat runs a request, or resumes the stream of a running or finished one.
func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	id := api.RequestID(r.Header.Get(headerRequestID))
	if offset := r.Header.Get(headerResumeOffset); offset != "" {
		e.serveResume(w, r, id, offset)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	e.mu.Lock()
	e.recordRun(id, body)
	e.mu.Unlock()
	var request api.ChatRequest
	if err != nil || json.Unmarshal(body, &request) != nil {
		(&rejection{status: http.StatusBadRequest, message: "bad body"}).write(w)
		return
	}
	g, rejected := e.accept(id, request, r.Header.Get(headerPriority))
	if rejected != nil {
		rejected.write(w)
		return
	}
	if !e.opts.IgnoreCrashMarker && script.ParsePrompt(promptText(request.Messages)).Crash {
		e.crash()
		return
	}
	switch {
	case e.drawFailure():
		e.awaitCompletion(r, g)
		(&rejection{status: http.StatusInternalServerError, message: "internal error"}).write(w)
	case request.Stream:
		e.stream(w, r, g, 0)
	default:
		e.writeCompletion(w, r, g)
	}
}

// drawFailure decides at random whether a request fails.
func (e *Engine) drawFailure() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.chance(e.faults.failRequests)
}

// accept starts a generation unless the engine rejects the request.
func (e *Engine) accept(id api.RequestID, request api.ChatRequest, priority string) (*generation, *rejection) {
	version := api.ParseVersionID(request.Model)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.down:
		panic(http.ErrAbortHandler)
	case id == "":
		return nil, &rejection{status: http.StatusBadRequest, message: "no " + headerRequestID}
	case e.faults.leaving:
		return nil, &rejection{status: http.StatusServiceUnavailable, reason: refusedLeaving, message: "leaving"}
	case e.loaded[version] != StatusLoaded:
		return nil, &rejection{status: http.StatusNotFound, reason: refusedNotLoaded, message: "not loaded: " + request.Model}
	case e.slots.isFull():
		return nil, &rejection{status: http.StatusTooManyRequests, reason: refusedFull, message: "full"}
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
		(&rejection{status: http.StatusNotFound, message: "no such generation or offset"}).write(w)
		return
	}
	e.stream(w, r, g, offset)
}

// serveCancel cancels a generation.
func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	g, ok := e.generations[api.RequestID(r.PathValue("id"))]
	e.mu.Unlock()
	if !ok {
		(&rejection{status: http.StatusNotFound, message: "no such generation"}).write(w)
		return
	}
	g.cancel()
	w.WriteHeader(http.StatusNoContent)
}

// writeCompletion writes the response once the generation is complete.
func (e *Engine) writeCompletion(w http.ResponseWriter, r *http.Request, g *generation) {
	e.awaitCompletion(r, g)
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

// awaitCompletion waits until the generation is complete, and breaks the connection if it ends early.
func (e *Engine) awaitCompletion(r *http.Request, g *generation) {
	for ready, total := 0, 1; ready < total; {
		var ok bool
		if ready, ok = e.await(r, g, total); !ok {
			panic(http.ErrAbortHandler)
		}
		total = g.answer.chunks()
	}
}

// await waits for at least atLeast chunks and returns the number of existing ones; false if the generation or the request ended
// before.
func (e *Engine) await(r *http.Request, g *generation, atLeast int) (int, bool) {
	for {
		e.mu.Lock()
		ready, ended, changed := g.ready, g.ended, g.changeNotification()
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

// stream sends the chunks from an offset on, each as soon as it exists, then the end of the stream.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, g *generation, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	flusher.Flush()
	e.mu.Lock()
	stalls := g.stalls
	if other := e.otherGeneration(g); other != nil {
		g, offset = other, 0
	}
	e.mu.Unlock()
	for next := offset; next < g.answer.chunks(); {
		ready, ok := e.await(r, g, next+1)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		e.injectStreamFaults(w, r, g, stalls)
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

// injectStreamFaults applies the faults of streams: it stalls or cuts the stream, or sends a chunk of another request.
func (e *Engine) injectStreamFaults(w http.ResponseWriter, r *http.Request, g *generation, stalls int) {
	e.mu.Lock()
	stalled := g.stalls != stalls
	cut := e.chance(e.faults.cutStreams)
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

// otherChunk returns a chunk of another recent generation with the probability of MixStreams, and nil otherwise.
func (e *Engine) otherChunk(g *generation) []byte {
	if !e.chance(e.faults.mixStreams) {
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

// otherGeneration returns a complete generation of another request with the probability of SwapAnswers, and nil otherwise.
func (e *Engine) otherGeneration(g *generation) *generation {
	if !e.chance(e.faults.swapAnswers) {
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

// lastRun returns the index of the latest run of a request, or -1.
func (e *Engine) lastRun(id api.RequestID) int {
	for i := len(e.runs) - 1; i >= 0; i-- {
		if e.runs[i].RequestID == id {
			return i
		}
	}
	return -1
}
