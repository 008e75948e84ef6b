package client

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/pkg/api"
	"github.com/monsoonrail/monsoonrail/pkg/sse"
)

const chatPath = "POST /v1/chat/completions"

// fakeStream serves words as the chunks of an answer, from the offset in the query on.
type fakeStream struct {
	id    api.RequestID
	words []string
	// cutAt breaks the connection before the chunk with this number, counted from 1; 0 means never.
	cutAt int
	// silentAt stops sending before the chunk with this number, counted from 1, and leaves the connection open; 0 means never.
	silentAt int
}

func (f fakeStream) serve(w http.ResponseWriter, r *http.Request) {
	offset, _ := strconv.Atoi(r.URL.Query().Get("offset"))
	w.Header().Set(api.HeaderRequestID, string(f.id))
	w.Header().Set(api.HeaderVersion, "small@1")
	w.Header().Set("Content-Type", "text/event-stream")
	w.(http.Flusher).Flush()
	for i := offset; i < len(f.words); i++ {
		switch i {
		case f.cutAt - 1:
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		case f.silentAt - 1:
			w.(http.Flusher).Flush()
			<-r.Context().Done()
			return
		}
		f.send(w, strconv.Itoa(i), api.ChatChunkChoice{Delta: api.ChatDelta{Content: f.words[i]}})
	}
	stop := "stop"
	f.send(w, "", api.ChatChunkChoice{FinishReason: &stop})
	_, _ = w.Write(sse.Append(nil, sse.Event{Data: []byte(api.StreamDone)}))
}

// sendAs sends a chunk that names its version.
func (f fakeStream) sendAs(w http.ResponseWriter, version string, choice api.ChatChunkChoice) {
	data, _ := json.Marshal(api.ChatChunk{ID: f.id, Model: version, Choices: []api.ChatChunkChoice{choice}})
	_, _ = w.Write(sse.Append(nil, sse.Event{Data: data}))
}

func (f fakeStream) send(w http.ResponseWriter, id string, choice api.ChatChunkChoice) {
	data, _ := json.Marshal(api.ChatChunk{ID: f.id, Choices: []api.ChatChunkChoice{choice}})
	_, _ = w.Write(sse.Append(nil, sse.Event{ID: id, Data: data}))
}

// collect reads a stream as ChatEvent documents; it returns the text's chunks, the last event and the error.
func collect(t *testing.T, client *Client) (words []string, last ChatEvent, err error) {
	t.Helper()
	for event, err := range client.ChatStream(t.Context(), ChatCall{Request: api.ChatRequest{Model: api.ModelAuto}}) {
		if err != nil {
			return words, event, err
		}
		last = event
		switch {
		case event.Restart:
			words = words[:event.Index]
		case !event.Done:
			qt.Assert(t, event.Index, qt.Equals, len(words))
			words = append(words, event.Text)
		}
	}
	return words, last, nil
}

var words = strings.Fields("one two three four five")

func TestStreamIsResumedAtItsOffset(t *testing.T) {
	for name, broken := range map[string]fakeStream{
		"cut":    {id: "r1", words: words, cutAt: 3},
		"silent": {id: "r1", words: words, silentAt: 3},
	} {
		t.Run(name, func(t *testing.T) {
			client, a, _ := newFleet(t, Options{StreamSilence: 100 * time.Millisecond})
			a.on(chatPath, broken.serve)
			a.on("GET /v1/answers/r1", fakeStream{id: "r1", words: words}.serve)
			got, last, err := collect(t, client)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, got, qt.DeepEquals, words)
			qt.Assert(t, last.Done && last.FinishReason == "stop", qt.IsTrue)
			qt.Assert(t, last.Info.Resumes, qt.Equals, 1)
			qt.Assert(t, a.calls(), qt.DeepEquals, []string{chatPath + " a-key", "GET /v1/answers/r1"})
		})
	}
}

func TestStreamIsResumedThroughAnotherNode(t *testing.T) {
	client, a, b := newFleet(t, Options{})
	a.on(chatPath, func(w http.ResponseWriter, r *http.Request) {
		a.server.Listener.Close()
		fakeStream{id: "r1", words: words, cutAt: 3}.serve(w, r)
	})
	b.on("GET /v1/answers/r1", fakeStream{id: "r1", words: words}.serve)
	got, _, err := collect(t, client)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, words)
	qt.Assert(t, b.calls(), qt.DeepEquals, []string{"GET /v1/answers/r1"})
}

func TestLostAnswerIsRegenerated(t *testing.T) {
	for name, second := range map[string][]string{
		"same":      words,
		"different": strings.Fields("one 2 3 4 5 6"),
		"shorter":   strings.Fields("one"),
	} {
		t.Run(name, func(t *testing.T) {
			client, a, _ := newFleet(t, Options{})
			runs := 0
			var models []string
			a.on(chatPath, func(w http.ResponseWriter, r *http.Request) {
				var request api.ChatRequest
				_ = json.NewDecoder(r.Body).Decode(&request)
				models = append(models, request.Model)
				runs++
				if runs == 1 {
					fakeStream{id: "r1", words: words, cutAt: 4}.serve(w, r)
				}
				fakeStream{id: "r2", words: second}.serve(w, r)
			})
			a.on("GET /v1/answers/r2", fakeStream{id: "r2", words: second}.serve)
			got, _, err := collect(t, client)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, got, qt.DeepEquals, second)
			qt.Assert(t, models, qt.DeepEquals, []string{api.ModelAuto, "small@1"})
		})
	}
}

// TestRejectedSecondRunIsNotReportedNotRun checks the outcome if an answer that had begun is lost and every node rejects the call when
// it is sent anew: NotRun would be false for the call as a whole.
func TestRejectedSecondRunIsNotReportedNotRun(t *testing.T) {
	client, a, b := newFleet(t, Options{})
	sent := 0
	refuse := func(w http.ResponseWriter, r *http.Request) {
		sent++
		if sent == 1 {
			fakeStream{id: "r1", words: words, cutAt: 4}.serve(w, r)
		}
		writeProblem(w, api.NewProblem(api.ReasonNoServer, http.StatusServiceUnavailable, api.OutcomeNotRun, "no place"))
	}
	a.on(chatPath, refuse)
	b.on(chatPath, refuse)
	_, _, err := collect(t, client)
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, sent > 1, qt.IsTrue)
	qt.Assert(t, OutcomeOf(err), qt.Equals, api.OutcomeMayHaveRun)
}

// TestRestartMayMoveToAnotherVersion checks that a text that restarts on another version is reported with that version.
func TestRestartMayMoveToAnotherVersion(t *testing.T) {
	client, a, _ := newFleet(t, Options{})
	a.on(chatPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(api.HeaderVersion, "small@1")
		w.Header().Set("Content-Type", "text/event-stream")
		stream := fakeStream{id: "r1"}
		stream.sendAs(w, "small@1", api.ChatChunkChoice{Delta: api.ChatDelta{Content: "old"}})
		_, _ = w.Write(sse.Append(nil, sse.Event{Event: eventRestart, Data: []byte("{}")}))
		stream.sendAs(w, "large@2", api.ChatChunkChoice{Delta: api.ChatDelta{Content: "new"}})
		stop := "stop"
		stream.sendAs(w, "large@2", api.ChatChunkChoice{FinishReason: &stop})
		_, _ = w.Write(sse.Append(nil, sse.Event{Data: []byte(api.StreamDone)}))
	})
	got, last, err := collect(t, client)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, []string{"new"})
	qt.Assert(t, last.Info.Version.String(), qt.Equals, "large@2")
}

func TestRestartEventDiscardsText(t *testing.T) {
	client, a, _ := newFleet(t, Options{})
	a.on(chatPath, func(w http.ResponseWriter, r *http.Request) {
		old := fakeStream{id: "r1"}
		old.send(w, "0", api.ChatChunkChoice{Delta: api.ChatDelta{Content: "old"}})
		_, _ = w.Write(sse.Append(nil, sse.Event{Event: eventRestart, Data: []byte("{}")}))
		fakeStream{id: "r1", words: words}.serve(w, r)
	})
	got, _, err := collect(t, client)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, words)
}

// TestRestartDuringDisconnectIsNotSpliced checks that a caller whose connection broke gets the restart that it missed, so that the old and
// the new text are not joined.
func TestRestartDuringDisconnectIsNotSpliced(t *testing.T) {
	client, a, _ := newFleet(t, Options{})
	a.on(chatPath, fakeStream{id: "r1", words: strings.Fields("old old old old"), cutAt: 3}.serve)
	a.on("GET /v1/answers/r1", func(w http.ResponseWriter, r *http.Request) {
		qt.Check(t, r.URL.Query().Get("restarts"), qt.Equals, "0")
		_, _ = w.Write(sse.Append(nil, sse.Event{Event: eventRestart, Data: []byte(`{"Restarts": 1}`)}))
		again := r.Clone(r.Context())
		again.URL.RawQuery = ""
		fakeStream{id: "r1", words: words}.serve(w, again)
	})
	got, _, err := collect(t, client)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, words)
}

func TestProblemEndsTheStream(t *testing.T) {
	client, a, _ := newFleet(t, Options{})
	a.on(chatPath, func(w http.ResponseWriter, _ *http.Request) {
		data, _ := json.Marshal(api.NewProblem(api.ReasonDeadline, 504, api.OutcomeMayHaveRun, "late"))
		fmt.Fprintf(w, "event: error\ndata: %s\n\n", data)
	})
	_, _, err := collect(t, client)
	qt.Assert(t, OutcomeOf(err), qt.Equals, api.OutcomeMayHaveRun)
	qt.Assert(t, a.calls(), qt.HasLen, 1)
}

func TestChatKeepsTheSessionToken(t *testing.T) {
	client, a, _ := newFleet(t, Options{})
	var sent []string
	a.on(chatPath, func(w http.ResponseWriter, r *http.Request) {
		sent = append(sent, r.Header.Get(api.HeaderSession))
		w.Header().Set(api.HeaderSession, "token-"+strconv.Itoa(len(sent)))
		w.Header().Set(api.HeaderVersion, "small@1")
		_ = json.NewEncoder(w).Encode(api.ChatCompletion{Choices: []api.ChatChoice{{Message: api.ChatMessage{Content: "hello"}}}})
	})
	var session Session
	for range 2 {
		answer, err := client.Chat(t.Context(), ChatCall{Request: api.ChatRequest{Model: api.ModelAuto}, Session: &session})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, answer.Text(), qt.Equals, "hello")
		qt.Assert(t, answer.Info.Version, qt.Equals, api.VersionID{Model: "small", Version: "1"})
		qt.Assert(t, answer.Info.Pinned.IsZero(), qt.Equals, len(sent) == 1)
	}
	qt.Assert(t, sent, qt.DeepEquals, []string{"", "token-1"})
	qt.Assert(t, session.Token(), qt.Equals, api.SessionToken("token-2"))
}

func TestWithdrawnVersionEndsSession(t *testing.T) {
	client, a, _ := newFleet(t, Options{})
	var sent []string
	a.on(chatPath, func(w http.ResponseWriter, r *http.Request) {
		sent = append(sent, r.Header.Get(api.HeaderSession))
		if len(sent) == 2 {
			writeProblem(w, api.NewProblem(api.ReasonWithdrawn, http.StatusConflict, api.OutcomeNotRun, ""))
			return
		}
		w.Header().Set(api.HeaderSession, "token-"+strconv.Itoa(len(sent)))
		_ = json.NewEncoder(w).Encode(api.ChatCompletion{Choices: []api.ChatChoice{{}}})
	})
	var session Session
	for i := range 3 {
		_, err := client.Chat(t.Context(), ChatCall{Request: api.ChatRequest{Model: api.ModelAuto}, Session: &session})
		qt.Assert(t, err != nil, qt.Equals, i == 1, qt.Commentf("the call that ends the session must fail"))
	}
	qt.Assert(t, sent, qt.DeepEquals, []string{"", "token-1", ""})
	qt.Assert(t, session.Token(), qt.Equals, api.SessionToken("token-3"))
}

func FuzzProblem(f *testing.F) {
	f.Add("1", []byte(`{"Outcome": "NotRun"}`))
	f.Fuzz(func(t *testing.T, after string, body []byte) {
		response := &http.Response{Header: http.Header{"Retry-After": {after}, "Content-Type": {api.ProblemContentType}}}
		response.Body = http.NoBody
		if len(body) > 0 {
			response.Body = &nopCloser{strings.NewReader(string(body))}
		}
		if readProblem(response) == nil {
			t.Fatal("no error")
		}
	})
}

type nopCloser struct{ *strings.Reader }

func (nopCloser) Close() error { return nil }
