package caller

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/answer"
	"github.com/monsoonrail/monsoonrail/internal/framing"
	"github.com/monsoonrail/monsoonrail/internal/metric"
)

// TestAnswerWithoutFramingGetsNoLength sends the answers of two services: one that ended with its connection must not get a length, which would
// claim that it is complete.
func TestAnswerWithoutFramingGetsNoLength(t *testing.T) {
	for _, test := range []struct {
		endsWithConnection bool
		want               framing.Framing
	}{{false, framing.Length}, {true, framing.Close}} {
		store := answer.NewStore(answer.StoreOptions{MaxAnswers: 1, MaxBytes: 1000, MaxAnswerBytes: 1000, Retention: time.Hour})
		ans, err := store.Open(answer.OpenOptions{ID: "n.i.1", Team: "lessons", Kind: answer.KindPlain})
		qt.Assert(t, err, qt.IsNil)
		ans.SetHead(answer.Head{Status: http.StatusOK, EndsWithConnection: test.endsWithConnection})
		qt.Assert(t, ans.Append([]byte("body")), qt.IsNil)
		ans.Finish(answer.Tail{})
		server := &Server{opts: Options{Answers: store, Metrics: metric.New()}}
		node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { server.sendPlain(w, req, ans, 0) }))
		resp, err := http.Get(node.URL)
		qt.Assert(t, err, qt.IsNil)
		body, err := io.ReadAll(resp.Body)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, string(body), qt.Equals, "body")
		qt.Check(t, framing.OfResponse(resp), qt.Equals, test.want)
		qt.Assert(t, resp.Body.Close(), qt.IsNil)
		node.Close()
	}
}

// TestForwardedAnswerKeepsItsFraming forwards the answers of a peer: one that ends with its connection must not end by a last chunk.
func TestForwardedAnswerKeepsItsFraming(t *testing.T) {
	for _, want := range []framing.Framing{framing.Length, framing.Chunked, framing.Close} {
		peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			switch want {
			case framing.Chunked:
				w.WriteHeader(http.StatusOK)
				qt.Check(t, http.NewResponseController(w).Flush(), qt.IsNil)
			case framing.Close:
				framing.EndWithConnection(w.Header())
			}
			_, _ = w.Write([]byte("body"))
		}))
		node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			resp, err := http.Get(peer.URL)
			if qt.Check(t, err, qt.IsNil) {
				forwardResponse(w, resp)
				qt.Check(t, resp.Body.Close(), qt.IsNil)
			}
		}))
		resp, err := http.Get(node.URL)
		qt.Assert(t, err, qt.IsNil)
		body, err := io.ReadAll(resp.Body)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, string(body), qt.Equals, "body")
		qt.Check(t, framing.OfResponse(resp), qt.Equals, want)
		qt.Assert(t, resp.Body.Close(), qt.IsNil)
		node.Close()
		peer.Close()
	}
}
