package caller

import (
	"net/http"

	"github.com/apex/log"
	"github.com/google/uuid"

	"github.com/monsoonrail/monsoonrail/internal/answer"
	"github.com/monsoonrail/monsoonrail/internal/eventlog"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Log messages for the caller API's decisions, one line per decision; docs/OPERATIONS.md explains them.
const (
	msgProblem      = "caller told of a problem"
	msgForwarded    = "request forwarded"
	msgAttached     = "caller attached again"
	msgDisconnected = "caller left before the answer's end"
)

func (s *Server) log() log.Interface { return eventlog.OrDiscard(s.opts.Log) }

// newInstance returns an identifier for the rejection of a request that got no id. It is random, so that it reveals nothing about
// other callers.
func newInstance() string { return "urn:uuid:" + uuid.NewString() }

// logProblem logs a rejection. The field request is empty if the request got no id; instance is empty if it got one.
func (s *Server) logProblem(problem *api.Problem) {
	s.log().WithFields(log.Fields{
		"request": string(problem.RequestID), "instance": problem.Instance, "reason": string(problem.Reason),
		"outcome": string(problem.Outcome), "status": problem.Status, "retry_after": problem.RetryAfter.String(),
		"detail": problem.Detail,
	}).Info(msgProblem)
}

// abort closes the connection of a caller that disconnected before the answer's end, and logs the offset that it had reached.
// Returning from the handler instead would send an empty answer with status 200, which a caller that still reads would take for
// a complete one.
func (s *Server) abort(ans *answer.Answer, offset int) {
	s.log().WithFields(log.Fields{
		"request": string(ans.ID), "offset": offset, "chunks": ans.Len(),
	}).Info(msgDisconnected)
	panic(http.ErrAbortHandler)
}
