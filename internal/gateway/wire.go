// Package gateway answers callers' requests with the answers of backend servers. It decides for each request which team it is of,
// where it goes, when it is sent again and when it is given up; what is spoken on the wire is behind Wire.
package gateway

import (
	"net/http"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/route"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// HeaderCodec translates the headers of requests and answers.
type HeaderCodec interface {
	ReadRequest(header http.Header) RequestInfo
	// SetForward changes a caller's header, free of those that concern one connection, into the one for a server.
	SetForward(header http.Header, f ForwardInfo)
	ReadAnswer(header http.Header) AnswerInfo
}

// PromptPart is a part of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// RequestInfo is what a caller's header says.
type RequestInfo struct {
	ID  api.RequestID
	Key route.Key
	// Timeout is how long the caller waits; it holds if HasDeadline.
	Timeout    time.Duration
	HasTimeout bool
	// Model is the one that the caller names; ChoosesModel leaves the choice to the router.
	Model     route.Model
	AutoModel bool
	// PromptTokens is the size of the prompt, MaxAnswerTokens the most tokens of the answer, and ExpectedAnswerTokens the caller's guess of them; 0
	// if unknown.
	PromptTokens, MaxAnswerTokens, ExpectedAnswerTokens int
	// Parts are those of the prompt in order; the last belongs to the request or its session alone.
	Parts []PromptPart
	// Session groups requests that belong together; empty if the request is of none.
	Session string
	// LastEventID is the id of the event after which a stream goes on; empty for its start.
	LastEventID string
}

// ForwardInfo is what a server is told of a request.
type ForwardInfo struct {
	ID       api.RequestID
	Team     route.Team
	Server   api.ServerID
	TimeLeft time.Duration
	// Model is empty where the caller named it.
	Model       route.Model
	LastEventID string
	// Urgency ranks the request at the server, 0 first; it holds if HasUrgency.
	Urgency    int
	HasUrgency bool
}

// ServerLoad is what a server tells of its requests.
type ServerLoad struct {
	Running, Waiting, Slots int
}

// AnswerInfo is what a server's header says.
type AnswerInfo struct {
	// IsNotRun tells that the server has not run the request and never will.
	IsNotRun bool
	// IsSigned tells that the answer is the server's own.
	IsSigned bool
	// ServerID is the id of the server that refused a request for another one.
	ServerID api.ServerID
	// IsClosing tells that the server closes the connection.
	IsClosing bool
	// Confidence is the model's opinion of its answer, from 0 to 100; it holds if HasConfidence.
	Confidence    int
	HasConfidence bool
	Load          ServerLoad
	HasLoad       bool
}
