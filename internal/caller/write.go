package caller

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/monsoonrail/monsoonrail/internal/answer"
	"github.com/monsoonrail/monsoonrail/internal/metric"
	"github.com/monsoonrail/monsoonrail/internal/router"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// reject answers with a problem document, counts it and logs it.
func (s *Server) reject(w http.ResponseWriter, problem *api.Problem) {
	s.opts.Metrics.Counter("caller_problems", metric.Label{Name: "reason", Value: string(problem.Reason)}).Inc(1)
	if problem.RequestID == "" {
		problem.Instance = newInstance()
	}
	s.logProblem(problem)
	header := w.Header()
	header.Set("Content-Type", api.ProblemContentType)
	if problem.RequestID != "" {
		header.Set(api.HeaderRequestID, string(problem.RequestID))
	}
	if problem.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatInt(problem.RetryAfterSeconds(), 10))
	}
	w.WriteHeader(problem.Status)
	_ = json.NewEncoder(w).Encode(problem)
}

// rejectBeforeKeyCheck answers with a problem of a request whose idempotency key has not been resolved; see router.AdjustOutcome.
func (s *Server) rejectBeforeKeyCheck(w http.ResponseWriter, req *http.Request, problem *api.Problem) {
	if req.PathValue(answerPathValue) != "" {
		// The request whose answer is requested was sent before and may have run; a rejected lookup doesn't exclude that.
		problem.Outcome = api.OutcomeMayHaveRun
		s.reject(w, problem)
		return
	}
	key := api.IdempotencyKey(req.Header.Get(api.HeaderIdempotencyKey))
	s.reject(w, router.AdjustOutcome(problem, key, isFirstUse(req.Header)))
}

func setResponseHeaders(header http.Header, ans *answer.Answer, head answer.Head) {
	header.Set(api.HeaderRequestID, string(ans.ID))
	header.Set(api.HeaderConfigRevision, strconv.FormatInt(int64(head.Revision), 10))
	if !head.Version.IsZero() {
		header.Set(api.HeaderVersion, head.Version.String())
	}
	if head.Session != "" {
		header.Set(api.HeaderSession, string(head.Session))
	}
	if !head.RepinnedFrom.IsZero() {
		header.Set(api.HeaderRepinned, head.RepinnedFrom.String())
	}
}
