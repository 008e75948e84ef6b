package caller

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/monsoonrail/monsoonrail/internal/answer"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// TestChunkTemplateMatchesJSONEncoder compares chunkTemplate with encodeChunk, for texts with every kind of character that JSON
// escapes and for heads that change between chunks.
func TestChunkTemplateMatchesJSONEncoder(t *testing.T) {
	versions := []api.VersionID{{Model: "m", Version: "1"}, {Model: `"<`, Version: "\u2028"}, {}}
	odd := []string{"", " word", `"`, `\`, "<b>&", "\n\t\x00\x7f", "äé漢字", "\u2028", "\u2029", "\xff\xfe", "\ufffd"}
	rapid.Check(t, func(t *rapid.T) {
		ans := &answer.Answer{ID: api.RequestID(rapid.SampledFrom([]string{"n.i.1", `"`}).Draw(t, "id"))}
		var template chunkTemplate
		for offset := range 4 {
			head := answer.Head{
				Version: rapid.SampledFrom(versions).Draw(t, "version"),
				Created: time.Unix(rapid.Int64Range(0, 2).Draw(t, "created"), 0),
			}
			text := rapid.OneOf(rapid.SampledFrom(odd), rapid.String()).Draw(t, "text")
			delta := api.ChatDelta{Content: text}
			if offset == 0 {
				delta.Role = "assistant"
			}
			want := fmt.Sprintf("id: %d\ndata: %s\n\n", offset, encodeChunk(ans, head, api.ChatChunkChoice{Delta: delta}, nil))
			template.setHead(ans, head)
			if got := string(template.append(nil, offset, []byte(text))); got != want {
				t.Fatalf("got %q, want %q", got, want)
			}
		}
	})
}

// recordingResponse records write deadlines and counts writes and flushes.
type recordingResponse struct {
	*httptest.ResponseRecorder
	deadlines       []time.Time
	writes, flushed int
}

func (r *recordingResponse) Write(b []byte) (int, error) {
	r.writes++
	return r.ResponseRecorder.Write(b)
}

func (r *recordingResponse) FlushError() error { r.flushed++; return nil }

func (r *recordingResponse) SetWriteDeadline(at time.Time) error {
	r.deadlines = append(r.deadlines, at)
	return nil
}

// TestEachPartIsWrittenWithinTimeout checks that each part of an answer is flushed with a single write, whether it holds one token or
// several, and that no write's deadline is later than writeTimeout or earlier than writeTimeout-deadlineRefreshInterval.
func TestEachPartIsWrittenWithinTimeout(t *testing.T) {
	w := &recordingResponse{ResponseRecorder: httptest.NewRecorder()}
	events := newEventWriter(w)
	part := func(tokens int) answer.Part {
		return answer.Part{Chunks: make([][]byte, tokens)}
	}
	ans, offset := &answer.Answer{ID: "n.i.1"}, 0
	for parts, tokens := range []int{1, 1, 3, 1} {
		offset = writeChunks(events, ans, part(tokens), offset)
		qt.Assert(t, events.flush(), qt.IsNil)
		qt.Assert(t, w.writes, qt.Equals, parts+1)
		qt.Assert(t, w.flushed, qt.Equals, parts+1)
	}
	qt.Assert(t, offset, qt.Equals, 6)

	w.deadlines = nil
	events.deadlineSet = time.Time{}
	begin := time.Unix(1e9, 0)
	for i := range 10 {
		now := begin.Add(time.Duration(i) * deadlineRefreshInterval / 4)
		events.setDeadline(now)
		remaining := w.deadlines[len(w.deadlines)-1].Sub(now)
		qt.Assert(t, remaining <= writeTimeout && remaining > writeTimeout-deadlineRefreshInterval, qt.IsTrue)
	}
	qt.Assert(t, w.deadlines, qt.HasLen, 3)
}

// BenchmarkEvent measures writing the event of one token.
func BenchmarkEvent(b *testing.B) {
	events := newEventWriter(discardingResponse{})
	ans := &answer.Answer{ID: "node-0.0123456789ab.zzzz"}
	part := answer.Part{
		Head:   answer.Head{Version: api.VersionID{Model: "model-0", Version: "1"}, Created: time.Unix(1e9, 0)},
		Chunks: [][]byte{[]byte(" word")},
	}
	b.ReportAllocs()
	for b.Loop() {
		writeChunks(events, ans, part, 1)
		if err := events.flush(); err != nil {
			b.Fatal(err)
		}
	}
}

// discardingResponse discards all output.
type discardingResponse struct{}

func (discardingResponse) Header() http.Header                { return http.Header{} }
func (discardingResponse) Write(b []byte) (int, error)        { return len(b), nil }
func (discardingResponse) WriteHeader(int)                    {}
func (discardingResponse) FlushError() error                  { return nil }
func (discardingResponse) SetWriteDeadline(_ time.Time) error { return nil }
