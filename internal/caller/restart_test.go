package caller

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/answer"
	"github.com/monsoonrail/monsoonrail/internal/metric"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// TestReattachAfterARestart checks that a caller that missed a restart gets a restart event, which voids the old text, and the whole
// new text, and that a caller that names the restart gets the chunks from its offset on.
func TestReattachAfterARestart(t *testing.T) {
	store := answer.NewStore(answer.StoreOptions{MaxAnswers: 10, MaxBytes: 1000, MaxAnswerBytes: 1000, Retention: time.Hour})
	server := &Server{opts: Options{Answers: store, Metrics: metric.New()}}
	ans, err := store.Open(answer.OpenOptions{ID: "n.i.1", Team: "lessons", Kind: answer.KindChat})
	qt.Assert(t, err, qt.IsNil)
	for _, text := range []string{"old", "old", "old"} {
		qt.Assert(t, ans.Append([]byte(text)), qt.IsNil)
	}
	ans.Restart()
	for _, text := range []string{"new0", "new1"} {
		qt.Assert(t, ans.Append([]byte(text)), qt.IsNil)
	}
	ans.Finish(answer.Tail{FinishReason: "stop"})
	for _, test := range []struct {
		name, query   string
		status        int
		want, wantNot string
	}{
		{"missed it", "?offset=3&restarts=0", http.StatusOK, `(?s).*event: restart\ndata: {"Restarts":1}\n\nid: 0\n.*new0.*id: 1\n.*new1.*`, "old"},
		{"knows of it", "?offset=1&restarts=1", http.StatusOK, `(?s)id: 1\n.*new1.*`, "restart"},
		{"does not say", "?offset=1", http.StatusOK, `(?s)id: 1\n.*new1.*`, "restart"},
		{"beyond the end", "?offset=3&restarts=1", http.StatusRequestedRangeNotSatisfiable, `(?s).*BadOffset.*`, "new"},
		{"no number", "?restarts=x", http.StatusBadRequest, `(?s).*restarts must be.*`, "new"},
	} {
		t.Run(test.name, func(t *testing.T) {
			request := httptest.NewRequest(http.MethodGet, "/v1/answers/n.i.1"+test.query, nil)
			request.SetPathValue("request", "n.i.1")
			recorder := httptest.NewRecorder()
			server.answers(recorder, request, api.Team("lessons"))
			body, err := io.ReadAll(recorder.Body)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, recorder.Code, qt.Equals, test.status)
			qt.Assert(t, string(body), qt.Matches, test.want)
			qt.Assert(t, string(body), qt.Not(qt.Contains), test.wantNot)
		})
	}
}
