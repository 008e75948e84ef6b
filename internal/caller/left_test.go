package caller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/answer"
	"github.com/monsoonrail/monsoonrail/internal/metric"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// TestDisconnectedCallerGetsNoEmptyAnswer checks that the connection is aborted if a caller disconnects before its answer ends:
// net/http sends an empty answer with status 200 for a handler that just returns.
func TestDisconnectedCallerGetsNoEmptyAnswer(t *testing.T) {
	for _, test := range []struct {
		name string
		kind answer.Kind
		call func(s *Server, w http.ResponseWriter, req *http.Request, ans *answer.Answer)
	}{
		{"plain", answer.KindPlain, func(s *Server, w http.ResponseWriter, req *http.Request, ans *answer.Answer) {
			s.sendPlain(w, req, ans, 0)
		}},
		{"whole chat", answer.KindChat, (*Server).sendChat},
		{"streamed chat", answer.KindChat, func(s *Server, w http.ResponseWriter, req *http.Request, ans *answer.Answer) {
			s.streamChat(w, req, ans, ans.Attach(0))
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			store := answer.NewStore(answer.StoreOptions{MaxAnswers: 1, MaxBytes: 1000, MaxAnswerBytes: 1000, Retention: time.Hour})
			server := &Server{opts: Options{Answers: store, Metrics: metric.New()}}
			ans, err := store.Open(answer.OpenOptions{ID: "n.i.1", Team: api.Team("lessons"), Kind: test.kind})
			qt.Assert(t, err, qt.IsNil)
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			request := httptest.NewRequest(http.MethodPost, "/", nil).WithContext(ctx)
			qt.Assert(t, func() { test.call(server, httptest.NewRecorder(), request, ans) }, qt.PanicMatches, http.ErrAbortHandler.Error())
		})
	}
}
