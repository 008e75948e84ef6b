package engine

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

const wholeStream = `id: 0
data: {"id":"r-1","choices":[{"delta":{"content":"a"}}]}

id: 7
data: {"id":"other","choices":[{"delta":{"content":"z"}}]}

id: 1
data: {"id":"r-1","choices":[{"delta":{"content":"b"}}]}

data: {"id":"r-1","choices":[{"delta":{},"finish_reason":"stop"}],"usage":{"completion_tokens":2}}

data: [DONE]

`

// streamOf returns a stream of the generation "r-1" with the given body.
func streamOf(body io.ReadCloser, cancel context.CancelFunc) *Stream {
	stream := newStream("r-1", cancel, time.Minute)
	stream.receive(body)
	return stream
}

// readStream reads a stream to its end; it returns the joined text, the last chunk and the error.
func readStream(body string) (text string, last Chunk, err error) {
	stream := streamOf(io.NopCloser(strings.NewReader(body)), func() {})
	defer stream.Close()
	for {
		chunk, err := stream.Next(context.Background(), time.Minute)
		if err != nil || chunk.Done {
			return text, chunk, err
		}
		text += chunk.Text
	}
}

func TestStreamEndsCompleteOrWithError(t *testing.T) {
	text, last, err := readStream(wholeStream)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, text, qt.Equals, "ab")
	qt.Check(t, last.FinishReason, qt.Equals, "stop")
	qt.Check(t, int(last.Usage.CompletionTokens), qt.Equals, 2)
	for _, test := range []struct{ body, want string }{
		{wholeStream[:60], ".*connection broke.*EOF"},
		{"data: {\n\n", ".*bad stream.*"},
		{`data: {"id":"r-1","choices":[]}` + "\n\n", ".*a chunk needs one choice"},
		{`data: {"id":"r-1","choices":[{"delta":{}}]}` + "\n\n", ".*event id is no offset"},
		{`data: {"id":"other","choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n", ".*without its own last chunk"},
	} {
		_, _, err := readStream(test.body)
		qt.Check(t, err, qt.ErrorMatches, test.want)
	}
}

// TestSilentStreamTimesOut checks the timeout of Next, and that a stream with unread events can be closed.
func TestSilentStreamTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		body, writer := io.Pipe()
		stream := streamOf(body, func() { _ = writer.Close() })
		began := time.Now()
		_, err := stream.Next(t.Context(), 3*time.Second)
		qt.Check(t, IsErrTimeout(err), qt.IsTrue)
		qt.Check(t, time.Since(began), qt.Equals, 3*time.Second)
		stream.Close()

		event := "id: 0\n" + `data: {"id":"r-1","choices":[{"delta":{"content":"a"}}]}` + "\n\n"
		full := streamOf(io.NopCloser(strings.NewReader(strings.Repeat(event, 64))), func() {})
		_, err = full.Next(t.Context(), time.Second)
		qt.Check(t, err, qt.IsNil)
		full.Close()
	})
}

func FuzzStreamDecode(f *testing.F) {
	f.Add(wholeStream)
	f.Add("id: 99999999999999999999\ndata: {\"id\":\"r-1\",\"choices\":[{}]}\n\n")
	f.Add("data: [DONE]\r\n\r\n")
	f.Fuzz(func(t *testing.T, body string) {
		_, last, err := readStream(body)
		if err == nil && !last.Done {
			t.Fatal("a stream ended neither whole nor with an error")
		}
		if err != nil && !IsErrBroken(err) && !errors.As(err, new(*ErrBadStream)) {
			t.Fatalf("error of an unknown type: %v", err)
		}
	})
}

// staticResponse answers every request with one body.
type staticResponse string

func (r staticResponse) RoundTrip(*http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	_, _ = recorder.WriteString(string(r))
	return recorder.Result(), nil
}

func FuzzLoadReport(f *testing.F) {
	f.Add(`{"Running":1,"Queued":0,"Slots":16,"TokensPerSecond":80,"Versions":["m@v"],"MeasuredAt":"2026-01-01T00:00:00Z"}`)
	f.Add(`{"Running":-1,"Slots":-9,"TokensPerSecond":-1e300}`)
	f.Add(`{"Versions":["@"]}`)
	f.Fuzz(func(t *testing.T, body string) {
		client := &http.Client{Transport: staticResponse(body)}
		report, err := NewClient(client, client).Load(t.Context(), "engine:1")
		if err != nil {
			return
		}
		if report.Running < 0 || report.Queued < 0 || report.Slots < 0 || report.TokensPerSecond < 0 {
			t.Fatalf("negative load is taken in: %+v", report)
		}
	})
}
