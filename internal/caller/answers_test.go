package caller

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/answer"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/metric"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// fixedConfig implements Configs with one configuration; nil means that the node has none yet.
type fixedConfig struct{ config *fleet.Config }

// Current implements Configs.
func (c fixedConfig) Current() *fleet.Config { return c.config }

// TestRejectedAnswerLookupReportsMayHaveRun checks that a rejected lookup of an answer has the outcome MayHaveRun: the request was
// sent before, and the node that rejects the lookup can't exclude that it ran.
func TestRejectedAnswerLookupReportsMayHaveRun(t *testing.T) {
	for _, test := range []struct {
		name, target string
		config       *fleet.Config
		want         api.Reason
	}{
		{"no configuration yet", "/v1/answers/n.i.1", nil, api.ReasonConfigurationStale},
		{"unknown key", "/v1/answers/n.i.1", &fleet.Config{}, api.ReasonUnauthenticated},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := &Server{opts: Options{Configs: fixedConfig{test.config}, Metrics: metric.New()}}
			recorder := httptest.NewRecorder()
			server.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, test.target, nil))
			checkMayHaveRun(t, recorder, test.want)
		})
	}
	t.Run("bad offset", func(t *testing.T) {
		store := answer.NewStore(answer.StoreOptions{MaxAnswers: 1, MaxBytes: 1, MaxAnswerBytes: 1})
		server := &Server{opts: Options{Answers: store, Metrics: metric.New()}}
		request := httptest.NewRequest(http.MethodGet, "/v1/answers/n.i.1?offset=-1", nil)
		request.SetPathValue(answerPathValue, "n.i.1")
		recorder := httptest.NewRecorder()
		server.answers(recorder, request, "lessons")
		checkMayHaveRun(t, recorder, api.ReasonBadRequest)
	})
}

func checkMayHaveRun(t *testing.T, recorder *httptest.ResponseRecorder, want api.Reason) {
	t.Helper()
	var problem api.Problem
	qt.Assert(t, json.NewDecoder(recorder.Body).Decode(&problem), qt.IsNil)
	qt.Assert(t, problem.Reason, qt.Equals, want)
	qt.Assert(t, problem.Outcome, qt.Equals, api.OutcomeMayHaveRun)
}
