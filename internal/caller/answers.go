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

// answerPathValue names the part of a path that holds the id of a request whose answer is asked for.
const answerPathValue = "request"

// idParts is how many parts a request id has: node, incarnation and number.
const idParts = 3

// answers attaches a caller to an answer of its own again.
func (s *Server) answers(w http.ResponseWriter, req *http.Request, team api.Team) {
	offset, problem := readCount(req.URL.Query(), "offset")
	if problem != nil {
		s.refuseEarly(w, req, problem)
		return
	}
	restarts, problem := readCount(req.URL.Query(), "restarts")
	if problem != nil {
		s.refuseEarly(w, req, problem)
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
		s.refuse(w, api.NewProblem(api.ReasonBadOffset, http.StatusRequestedRangeNotSatisfiable, api.OutcomeRan,
			"offset is beyond the answer's end"))
		return
	}
	if ans.Kind == answer.KindPlain {
		s.wholePlain(w, req, ans, offset)
		return
	}
	s.streamChat(w, req, ans, ans.AttachAfter(restarts, offset))
}

// forwardAnswer asks the node that an id names; what is refused tells nothing of other teams' requests.
func (s *Server) forwardAnswer(w http.ResponseWriter, req *http.Request, id api.RequestID) {
	parts := strings.Split(string(id), ".")
	if len(parts) == idParts && parts[1] != string(s.opts.Incarnation) {
		s.refuseOrForward(w, req, nil, &router.ErrHeldByPeer{
			Node: api.NodeID(parts[0]), Incarnation: api.Incarnation(parts[1]), RequestID: id,
		})
		return
	}
	s.refuse(w, api.NewProblem(api.ReasonUnknownAnswer, http.StatusNotFound, api.OutcomeMayHaveRun,
		"no answer of this team has this id, or it is no longer kept"))
}

// readCount reads a number of the query; one that is missing is 0.
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

// keys issues idempotency keys that only this incarnation runs.
func (s *Server) keys(w http.ResponseWriter, req *http.Request, team api.Team) {
	count := 1
	if text := req.URL.Query().Get("count"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxKeysPerCall {
			s.refuse(w, badRequest("count must be from 1 to %d", maxKeysPerCall))
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
