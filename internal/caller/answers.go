package caller

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/answer"
	"github.com/monsoonrail/monsoonrail/internal/router"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// answerPathValue is the path wildcard for the id of the request whose answer is requested.
const answerPathValue = "request"

// requestIDParts is the number of parts of a request id: node, incarnation and number.
const requestIDParts = 3

// answers sends an answer of the caller's own team, from the offset of the query on.
func (s *Server) answers(w http.ResponseWriter, req *http.Request, team api.Team) {
	offset, problem := readCount(req.URL.Query(), "offset")
	if problem != nil {
		s.rejectBeforeKeyCheck(w, req, problem)
		return
	}
	restarts, problem := readCount(req.URL.Query(), "restarts")
	if problem != nil {
		s.rejectBeforeKeyCheck(w, req, problem)
		return
	}
	id := api.RequestID(req.PathValue(answerPathValue))
	ans, ok := s.opts.Answers.Find(team, id)
	if !ok {
		s.forwardAnswer(w, req, id)
		return
	}
	s.log().WithFields(log.Fields{
		"request": string(id), "offset": offset, "chunks": ans.Len(), "whole": ans.IsDone(),
	}).Info(msgAttached)
	if !req.URL.Query().Has("restarts") {
		restarts = ans.Restarts()
	}
	if ans.IsDone() && restarts == ans.Restarts() && offset > ans.Len() {
		s.reject(w, api.NewProblem(api.ReasonBadOffset, http.StatusRequestedRangeNotSatisfiable, api.OutcomeRan,
			"offset is beyond the answer's end"))
		return
	}
	if ans.Kind == answer.KindPlain {
		s.sendPlain(w, req, ans, offset)
		return
	}
	s.streamChat(w, req, ans, ans.AttachAfter(restarts, offset))
}

// forwardAnswer forwards the request to the node that the id names. An id of this incarnation is rejected as unknown, also if another
// team holds its answer, so that the response reveals nothing about other teams' requests.
func (s *Server) forwardAnswer(w http.ResponseWriter, req *http.Request, id api.RequestID) {
	parts := strings.Split(string(id), ".")
	if len(parts) == requestIDParts && parts[1] != string(s.opts.Incarnation) {
		s.rejectOrForward(w, req, nil, &router.ErrHeldByPeer{
			Node: api.NodeID(parts[0]), Incarnation: api.Incarnation(parts[1]), RequestID: id,
		})
		return
	}
	s.reject(w, api.NewProblem(api.ReasonUnknownAnswer, http.StatusNotFound, api.OutcomeMayHaveRun,
		"no answer of this team has this id, or it is no longer kept"))
}

// readCount parses a non-negative number of the query; 0 if it is missing.
func readCount(query url.Values, name string) (int, *api.Problem) {
	text := query.Get(name)
	if text == "" {
		return 0, nil
	}
	count, err := strconv.Atoi(text)
	if err != nil || count < 0 {
		return 0, badRequest("%s must be a whole number from 0 on", name)
	}
	return count, nil
}

// issuedKeys is the answer of POST /v1/keys.
type issuedKeys struct {
	Keys []api.IdempotencyKey `json:"Keys"`
}

// keys issues idempotency keys under which only this incarnation runs a request.
func (s *Server) keys(w http.ResponseWriter, req *http.Request, team api.Team) {
	count := 1
	if text := req.URL.Query().Get("count"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxKeysPerCall {
			s.reject(w, badRequest("count must be from 1 to %d", maxKeysPerCall))
			return
		}
		count = n
	}
	now := time.Now()
	issued := issuedKeys{}
	for range count {
		issued.Keys = append(issued.Keys, s.opts.Issuer.Issue(team, now))
	}
	writeJSON(w, http.StatusOK, issued)
}
