package enginefake

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fake/script"
	"github.com/monsoonrail/monsoonrail/pkg/api"
	"github.com/monsoonrail/monsoonrail/pkg/sse"
)

var small = api.VersionID{Model: "small", Version: "1"}

func start(t *testing.T, opts Options) (*Engine, *httptest.Server) {
	t.Helper()
	if opts.Versions == nil {
		opts.Versions = []Version{{ID: small, Strength: 0.6}}
	}
	engine := New(opts)
	server := httptest.NewServer(engine)
	t.Cleanup(func() {
		engine.Close()
		server.Close()
	})
	return engine, server
}

func post(t *testing.T, server *httptest.Server, path string, body any, headers ...string) *http.Response {
	t.Helper()
	response, err := tryPost(t, server, path, body, headers...)
	qt.Assert(t, err, qt.IsNil)
	return response
}

func tryPost(t *testing.T, server *httptest.Server, path string, body any, headers ...string) (*http.Response, error) {
	t.Helper()
	data, err := json.Marshal(body)
	qt.Assert(t, err, qt.IsNil)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+path, strings.NewReader(string(data)))
	qt.Assert(t, err, qt.IsNil)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := server.Client().Do(request)
	if err == nil {
		t.Cleanup(func() { _ = response.Body.Close() })
	}
	return response, err
}

func chat(prompt string, stream bool) api.ChatRequest {
	return api.ChatRequest{Model: small.String(), Stream: stream, Messages: []api.ChatMessage{{Role: "user", Content: prompt}}}
}

// readStream returns the text of the chunks that belong to a request, the ids of their events and whether the stream is complete.
func readStream(t *testing.T, id api.RequestID, body io.Reader) (text string, offsets []string, complete bool) {
	t.Helper()
	reader := sse.NewReader(body, 1<<16)
	for {
		event, err := reader.Next()
		if err != nil {
			return text, offsets, false
		}
		if string(event.Data) == api.StreamDone {
			return text, offsets, true
		}
		var chunk api.ChatChunk
		qt.Assert(t, json.Unmarshal(event.Data, &chunk), qt.IsNil)
		if chunk.ID != id {
			continue
		}
		text += chunk.Choices[0].Delta.Content
		offsets = append(offsets, event.ID)
	}
}

func completionText(t *testing.T, response *http.Response) string {
	t.Helper()
	var completion api.ChatCompletion
	qt.Assert(t, json.NewDecoder(response.Body).Decode(&completion), qt.IsNil)
	return completion.Choices[0].Message.Content
}

func TestStreamMatchesCompletion(t *testing.T) {
	engine, server := start(t, Options{})
	completion := completionText(t, post(t, server, "/v1/chat/completions", chat("hello tokens=20 call=c1", false), headerRequestID, "r1"))
	qt.Assert(t, strings.Fields(completion), qt.HasLen, 20)
	text, offsets, ok := readStream(t, "r2", post(t, server, "/v1/chat/completions", chat("hello tokens=20 call=c1", true), headerRequestID, "r2").Body)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, text, qt.Equals, completion)
	qt.Assert(t, offsets, qt.HasLen, 21)
	qt.Assert(t, offsets[20], qt.Equals, "20")
	qt.Assert(t, ExpectedText(chat("hello tokens=20 call=c1", false), small), qt.Equals, strings.TrimPrefix(completion, strings.Fields(completion)[0]))
	runs := engine.Runs()
	qt.Assert(t, runs, qt.HasLen, 2)
	qt.Assert(t, runs[1].Began && runs[1].BodyArrived, qt.IsTrue)
	qt.Assert(t, runs[1].Call, qt.Equals, "c1")
}

func TestCutStreamIsResumed(t *testing.T) {
	engine, server := start(t, Options{Seed: 1, TokensPerSecond: 2000, NonDeterministic: true})
	engine.CutStreams(0.3)
	engine.MixStreams(0.3)
	body := chat("hello tokens=50", true)
	text, offsets, complete := readStream(t, "r1", post(t, server, "/v1/chat/completions", body, headerRequestID, "r1").Body)
	for tries := 0; !complete; tries++ {
		qt.Assert(t, tries < 200, qt.IsTrue)
		response, err := tryPost(t, server, "/v1/chat/completions", body, headerRequestID, "r1", headerResumeOffset, strconv.Itoa(len(offsets)))
		if err != nil {
			continue
		}
		qt.Assert(t, response.StatusCode, qt.Equals, http.StatusOK)
		var more string
		var next []string
		more, next, complete = readStream(t, "r1", response.Body)
		text, offsets = text+more, append(offsets, next...)
	}
	for i, offset := range offsets {
		qt.Assert(t, offset, qt.Equals, strconv.Itoa(i))
	}
	qt.Assert(t, strings.Fields(text), qt.HasLen, 50)
	qt.Assert(t, engine.Runs(), qt.HasLen, 1)
}

func TestRejections(t *testing.T) {
	engine, server := start(t, Options{Slots: 1, MaxQueue: -1, TokensPerSecond: 1})
	unknown := chat("x", false)
	unknown.Model = "none@1"
	qt.Assert(t, post(t, server, "/v1/chat/completions", unknown, headerRequestID, "r1").Header.Get(headerRefused), qt.Equals, refusedNotLoaded)
	running := post(t, server, "/v1/chat/completions", chat("x", true), headerRequestID, "r2")
	qt.Assert(t, running.StatusCode, qt.Equals, http.StatusOK)
	qt.Assert(t, post(t, server, "/v1/chat/completions", chat("x", true), headerRequestID, "r3").Header.Get(headerRefused), qt.Equals, refusedFull)
	engine.SetLeaving(true)
	qt.Assert(t, post(t, server, "/v1/chat/completions", chat("x", true), headerRequestID, "r4").Header.Get(headerRefused), qt.Equals, refusedLeaving)
}

func TestMarkedRequestCrashesTheEngine(t *testing.T) {
	var crashed atomic.Int32
	engine, server := start(t, Options{OnCrash: func() { crashed.Add(1) }})
	_, err := tryPost(t, server, "/v1/chat/completions", chat(script.CrashMarker, false), headerRequestID, "r1")
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, engine.IsDown(), qt.IsTrue)
	qt.Assert(t, crashed.Load(), qt.Equals, int32(1))
	engine.Restart()
	response := post(t, server, "/v1/chat/completions", chat("x", true), headerRequestID, "r1", headerResumeOffset, "0")
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusNotFound)
	qt.Assert(t, post(t, server, "/v1/chat/completions", chat("x", false), headerRequestID, "r2").StatusCode, qt.Equals, http.StatusOK)
}

func TestOrders(t *testing.T) {
	for _, checks := range []bool{true, false} {
		engine, server := start(t, Options{ChecksFencing: checks, Unloaded: []api.VersionID{small}})
		load := Order{ID: "o1", Fencing: 7, Action: ActionLoad, Version: small}
		qt.Assert(t, post(t, server, "/v1/orders", load).StatusCode, qt.Equals, http.StatusOK)
		old := post(t, server, "/v1/orders", Order{ID: "o2", Fencing: 6, Action: ActionUnload, Version: small})
		want := http.StatusOK
		if checks {
			want = http.StatusConflict
		}
		qt.Assert(t, old.StatusCode, qt.Equals, want)
		qt.Assert(t, engine.Orders(), qt.HasLen, 2)
		engine.LoseOrderAnswers(true)
		_, err := tryPost(t, server, "/v1/orders", load)
		qt.Assert(t, err, qt.IsNotNil)
		qt.Assert(t, errors.Is(err, io.EOF), qt.IsTrue)
		qt.Assert(t, engine.Orders()[2].Done, qt.IsTrue)
	}
}
