package api

import (
	"encoding/json"
	"fmt"
	"math"
	"time"
)

// Outcome says what is known about the execution of a request that was refused or failed.
type Outcome string

const (
	// OutcomeNotRun means that no byte of the request was handed to any backend server by any node.
	OutcomeNotRun Outcome = "NotRun"
	// OutcomeMayHaveRun means that a backend server may have run the request.
	OutcomeMayHaveRun Outcome = "MayHaveRun"
	// OutcomeRan means that a backend server ran the request.
	OutcomeRan Outcome = "Ran"
)

// Reason is the machine-readable cause of a refusal; it also names the counter of such refusals.
type Reason string

// Reasons of refusals; docs/API.md lists status and outcome of each.
const (
	ReasonUnauthenticated    Reason = "Unauthenticated"
	ReasonBadRequest         Reason = "BadRequest"
	ReasonTooLarge           Reason = "TooLarge"
	ReasonNotAllowed         Reason = "NotAllowed"
	ReasonUnknownService     Reason = "UnknownService"
	ReasonWithdrawn          Reason = "Withdrawn"
	ReasonBadSession         Reason = "BadSession"
	ReasonNoServer           Reason = "NoServer"
	ReasonOverloaded         Reason = "Overloaded"
	ReasonOverLimit          Reason = "OverLimit"
	ReasonDeadline           Reason = "Deadline"
	ReasonDraining           Reason = "Draining"
	ReasonPoison             Reason = "Poison"
	ReasonClaimUnavailable   Reason = "ClaimUnavailable"
	ReasonKeyReused          Reason = "KeyReused"
	ReasonKeyExpired         Reason = "KeyExpired"
	ReasonIncarnationGone    Reason = "IncarnationGone"
	ReasonServerFailed       Reason = "ServerFailed"
	ReasonUnknownAnswer      Reason = "UnknownAnswer"
	ReasonBadOffset          Reason = "BadOffset"
	ReasonConfigurationStale Reason = "ConfigurationStale"
	ReasonInternal           Reason = "Internal"
)

// ProblemContentType is the media type of a Problem (RFC 9457).
const ProblemContentType = "application/problem+json"

// Problem is an RFC 9457 problem document; it is also the error that pkg/client returns.
type Problem struct {
	// Type is a URI reference that names the reason.
	Type string `json:"type"`
	// Title is a short sentence for the reason.
	Title string `json:"title"`
	// Status is the HTTP status code.
	Status int `json:"status"`
	// Detail says what is wrong with this request.
	Detail string `json:"detail,omitempty"`
	// Reason is the machine-readable cause.
	Reason Reason `json:"Reason"`
	// Outcome is NotRun only if no backend server was ever handed a byte of the request.
	Outcome Outcome `json:"Outcome"`
	// RequestID names the request, if it got that far.
	RequestID RequestID `json:"RequestID,omitempty"`
	// Instance names a refusal of a request that got no id, as the node's log does.
	Instance string `json:"instance,omitempty"`
	// RetryAfter is how long the caller should wait before another try; 0 means that another try won't help. JSON has it
	// in whole seconds, as RetryAfterSeconds, since an error within a stream has no headers.
	RetryAfter time.Duration `json:"-"`
}

// maxRetryAfterSeconds bounds what a problem document may ask for to what a duration holds.
const maxRetryAfterSeconds = int64(math.MaxInt64 / time.Second)

// problemFields are the members of a problem that JSON has as they are.
type problemFields Problem

// problemDocument is a problem as JSON has it.
type problemDocument struct {
	*problemFields
	RetryAfterSeconds int64 `json:"RetryAfterSeconds,omitempty"`
}

// RetryAfterSeconds returns RetryAfter in whole seconds, rounded up.
func (p *Problem) RetryAfterSeconds() int64 { return int64(math.Ceil(p.RetryAfter.Seconds())) }

// MarshalJSON implements json.Marshaler.
func (p *Problem) MarshalJSON() ([]byte, error) {
	return json.Marshal(problemDocument{problemFields: (*problemFields)(p), RetryAfterSeconds: p.RetryAfterSeconds()})
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *Problem) UnmarshalJSON(data []byte) error {
	document := problemDocument{problemFields: (*problemFields)(p)}
	if err := json.Unmarshal(data, &document); err != nil {
		return err
	}
	p.RetryAfter = time.Duration(min(max(document.RetryAfterSeconds, 0), maxRetryAfterSeconds)) * time.Second
	return nil
}

// NewProblem returns the problem for a reason, its HTTP status and its outcome.
func NewProblem(reason Reason, status int, outcome Outcome, detail string) *Problem {
	return &Problem{
		Type:    "urn:monsoonrail:problem:" + string(reason),
		Title:   string(reason),
		Status:  status,
		Detail:  detail,
		Reason:  reason,
		Outcome: outcome,
	}
}

// Error describes the problem on one line.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s (%d, %s): %s", p.Reason, p.Status, p.Outcome, p.Detail)
}
