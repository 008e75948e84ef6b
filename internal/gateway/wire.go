// Package gateway is the HTTP handler that forwards callers' requests to backend servers. For each request it authenticates the team,
// chooses servers, retries attempts and enforces the deadline; HeaderCodec hides the header fields used on the wire.
package gateway

import (
	"net/http"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/route"
	"github.com/monsoonrail/monsoonrail/internal/selfreport"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// HeaderCodec reads and writes the header fields of requests and answers.
type HeaderCodec interface {
	ReadRequest(header http.Header) RequestInfo
	// SetForward turns a caller's header, already without hop-by-hop fields, into the header for a server.
	SetForward(header http.Header, f ForwardInfo)
	ReadAnswer(status int, header http.Header) AnswerInfo
}

// PromptPart is a part of a prompt that several requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// RequestInfo holds the values read from a caller's header.
type RequestInfo struct {
	ID  api.RequestID
	Key route.Key
	// Timeout is how long the caller waits for the answer; valid if HasTimeout.
	Timeout    time.Duration
	HasTimeout bool
	// Model is the model that the caller names. If AutoModel is set, the node chooses among the route's models instead.
	Model     route.Model
	AutoModel bool
	// PromptTokens is the size of the prompt, MaxAnswerTokens the maximum length of the answer, and ExpectedAnswerTokens the caller's
	// estimate of its length; 0 if unknown.
	PromptTokens, MaxAnswerTokens, ExpectedAnswerTokens int
	// Parts are the parts of the prompt in order; the last one belongs to this request or its session alone.
	Parts []PromptPart
	// Session identifies the session of the request; empty if it has none.
	Session string
	// LastEventID is the id of the event after which the caller resumes a stream; empty to start from the beginning.
	LastEventID string
}

// ForwardInfo holds the values written into the header of a request to a server.
type ForwardInfo struct {
	ID       api.RequestID
	Team     route.Team
	Server   api.ServerID
	TimeLeft time.Duration
	// Model is the model that the node chose; empty if the caller named one.
	Model       route.Model
	LastEventID string
	// Urgency ranks the request at the server, 0 being the most urgent; valid if HasUrgency.
	Urgency    int
	HasUrgency bool
}

// AnswerInfo holds the values read from the header of an answer.
type AnswerInfo struct {
	// IsNotRun means that the server has not run the request and never will.
	IsNotRun bool
	// IsSigned means that the answer comes from the server itself rather than from something in between.
	IsSigned bool
	// ServerID is the id of the server that rejected a request meant for another server.
	ServerID api.ServerID
	// IsClosing means that the server closes the connection after the answer.
	IsClosing bool
	// Confidence is the model's confidence in its answer, from 0 to 100; valid if HasConfidence.
	Confidence    int
	HasConfidence bool
	// Report is what the server reports about itself.
	Report selfreport.Report
	// Invalid lists the fields of the report that were ignored because their values are invalid.
	Invalid []string
}
