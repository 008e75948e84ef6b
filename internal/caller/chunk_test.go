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

// TestChunksAreWhatTheEncoderWrites draws texts with all that JSON escapes, and heads that change.
func TestChunksAreWhatTheEncoderWrites(t *testing.T) {
	versions := []api.VersionID{{Model: "m", Version: "1"}, {Model: `"<`, Version: "\u2028"}, {}}
	odd := []string{"", " word", `"`, `\`, "<b>&", "\n\t\x00\x7f", "äé漢字", "\u2028", "\u2029", "\xff\xfe", "\ufffd"}
	rapid.Check(t, func(t *rapid.T) {
		ans := &answer.Answer{ID: api.RequestID(rapid.SampledFrom([]string{"n.i.1", `"`}).Draw(t, "id"))}
		var form chunkForm
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
			want := fmt.Sprintf("id: %d\ndata: %s\n\n", offset, chunkOf(ans, head, api.ChatChunkChoice{Delta: delta}, nil))
			form.setHead(ans, head)
			if got := string(form.append(nil, offset, []byte(text))); got != want {
				t.Fatalf("got %q, want %q", got, want)
			}
		}
	})
}

// flushes is a response that notes deadlines and counts writes and flushes.
type flushes struct {
	*httptest.ResponseRecorder
	deadlines       []time.Time
	writes, flushed int
}

func (f *flushes) Write(b []byte) (int, error) { f.writes++; return f.ResponseRecorder.Write(b) }

func (f *flushes) FlushError() error { f.flushed++; return nil }

func (f *flushes) SetWriteDeadline(at time.Time) error {
	f.deadlines = append(f.deadlines, at)
	return nil
}

// TestEachPartIsWrittenAtOnce shows that a lone token is flushed by itself, that tokens which come together share a write,
// and that no write has more than writeTimeout.
func TestEachPartIsWrittenAtOnce(t *testing.T) {
	w := &flushes{ResponseRecorder: httptest.NewRecorder()}
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
		now := begin.Add(time.Duration(i) * deadlineStep / 4)
		events.setDeadline(now)
		left := w.deadlines[len(w.deadlines)-1].Sub(now)
		qt.Assert(t, left <= writeTimeout && left > writeTimeout-deadlineStep, qt.IsTrue)
	}
	qt.Assert(t, w.deadlines, qt.HasLen, 3)
}

// BenchmarkEvent writes the event of one token.
func BenchmarkEvent(b *testing.B) {
	events := newEventWriter(nothing{})
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

// nothing is a response that drops all.
type nothing struct{}

func (nothing) Header() http.Header                { return http.Header{} }
func (nothing) Write(b []byte) (int, error)        { return len(b), nil }
func (nothing) WriteHeader(int)                    {}
func (nothing) FlushError() error                  { return nil }
func (nothing) SetWriteDeadline(_ time.Time) error { return nil }
