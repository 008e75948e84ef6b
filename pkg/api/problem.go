package api

import (
	"encoding/json"
	"fmt"
	"math"
	"time"
)

// Outcome states what is known about the execution of a request that was rejected or failed.
type Outcome string

const (
	// OutcomeNotRun means that no node sent any byte of the request to a backend server.
	OutcomeNotRun Outcome = "NotRun"
	// OutcomeMayHaveRun means that a backend server may have run the request.
	OutcomeMayHaveRun Outcome = "MayHaveRun"
	// OutcomeRan means that a backend server ran the request.
	OutcomeRan Outcome = "Ran"
)

// Reason is the machine-readable cause of a problem; nodes also use it as a label of the counter of problems.
type Reason string

// Reasons of problems; docs/API.md lists status and outcome of each.
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
	// Type is a URI that identifies the reason.
	Type string `json:"type"`
	// Title is a short text for the reason.
	Title string `json:"title"`
	// Status is the HTTP status code.
	Status int `json:"status"`
	// Detail describes the problem of this request.
	Detail string `json:"detail,omitempty"`
	// Reason is the machine-readable cause.
	Reason Reason `json:"Reason"`
	// Outcome is NotRun only if no byte of the request was ever sent to a backend server.
	Outcome Outcome `json:"Outcome"`
	// RequestID is the request's id; empty if the request was rejected before it got one.
	RequestID RequestID `json:"RequestID,omitempty"`
	// Instance identifies the rejection of a request that got no id, also in the node's log.
	Instance string `json:"instance,omitempty"`
	// RetryAfter is how long the caller should wait before a retry; 0 means that a retry won't help. It is encoded in whole seconds as
	// RetryAfterSeconds, since an error within a stream has no Retry-After header.
	RetryAfter time.Duration `json:"-"`
}

// maxRetryAfterSeconds is the most whole seconds that a time.Duration can represent.
const maxRetryAfterSeconds = int64(math.MaxInt64 / time.Second)

// problemAlias is Problem without its JSON methods.
type problemAlias Problem

// problemDocument is the JSON form of a Problem.
type problemDocument struct {
	*problemAlias
	RetryAfterSeconds int64 `json:"RetryAfterSeconds,omitempty"`
}

// RetryAfterSeconds returns RetryAfter in whole seconds, rounded up.
func (p *Problem) RetryAfterSeconds() int64 { return int64(math.Ceil(p.RetryAfter.Seconds())) }

// MarshalJSON implements json.Marshaler.
func (p *Problem) MarshalJSON() ([]byte, error) {
	return json.Marshal(problemDocument{problemAlias: (*problemAlias)(p), RetryAfterSeconds: p.RetryAfterSeconds()})
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *Problem) UnmarshalJSON(data []byte) error {
	document := problemDocument{problemAlias: (*problemAlias)(p)}
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
