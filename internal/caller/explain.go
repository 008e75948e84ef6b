package caller

import (
	"net/http"

	"github.com/apex/log"
	"github.com/google/uuid"

	"github.com/monsoonrail/monsoonrail/internal/answer"
	"github.com/monsoonrail/monsoonrail/internal/eventlog"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// What the caller API decides about a request leaves one line under these messages; docs/OPERATIONS.md reads them.
const (
	msgProblem   = "caller told of a problem"
	msgForwarded = "request forwarded"
	msgAttached  = "caller attached again"
	msgLeft      = "caller left before the answer's end"
)

func (s *Server) log() log.Interface { return eventlog.OrDiscard(s.opts.Log) }

// newInstance names a refusal of a request that got no id. It is random, so that it tells nothing of other callers.
func newInstance() string { return "urn:uuid:" + uuid.NewString() }

// explainProblem tells what a caller was refused; the request's id is empty where it got none, the instance where it got one.
func (s *Server) explainProblem(problem *api.Problem) {
	s.log().WithFields(log.Fields{
		"request": string(problem.RequestID), "instance": problem.Instance, "reason": string(problem.Reason),
		"outcome": string(problem.Outcome), "status": problem.Status, "retry_after": problem.RetryAfter.String(),
		"detail": problem.Detail,
	}).Info(msgProblem)
}

// abort ends the connection of a caller that left before the answer's end, and logs how far it had read. Returning instead
// would send an empty answer with status 200, which a caller that still reads takes for a whole one.
func (s *Server) abort(ans *answer.Answer, offset int) {
	s.log().WithFields(log.Fields{
		"request": string(ans.ID), "offset": offset, "chunks": ans.Len(),
	}).Info(msgLeft)
	panic(http.ErrAbortHandler)
}
