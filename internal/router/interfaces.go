package router

import (
	"context"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/poison"
	"github.com/monsoonrail/monsoonrail/internal/registry"
	"github.com/monsoonrail/monsoonrail/internal/suspect"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Configs provides the newest configuration that the node has; nil before the first.
type Configs interface {
	Current() *fleet.Config
}

// Bill is the charge to a team for one request.
type Bill struct {
	RequestID api.RequestID
	// Key is the request's idempotency key; two runs under one key count as one request.
	Key     api.IdempotencyKey
	Team    api.Team
	Service api.Service
	Version api.VersionID
	Usage   api.Usage
	Cost    api.MicroUSD
	At      time.Time
	// IsWhole means that the caller receives nothing of the answer before it is complete.
	IsWhole bool
}

// Biller accepts bills. An error means that the bill was not accepted and that the request must not be reported as complete.
type Biller interface {
	Add(ctx context.Context, bill Bill) error
}

// VersionChooser chooses the version of a request among the eligible ones.
type VersionChooser interface {
	// ChooseVersion returns false if no eligible version may be chosen.
	ChooseVersion(req VersionRequest) (VersionChoice, bool)
	// ObserveLatency records how long a version took to complete an answer.
	ObserveLatency(v api.VersionID, took time.Duration)
}

// VersionChoice is a version or a cascade: a first version whose answer is replaced by that of a second if it is rated too low.
type VersionChoice struct {
	First api.VersionID
	// EscalateTo is the second version of a cascade, zero without a cascade. EscalateBelow is the rating below which the
	// request is escalated.
	EscalateTo    api.VersionID
	EscalateBelow api.Quality
	// Reason names why the choice was made.
	Reason string
}

// RatedAnswer is an answer that is submitted for rating.
type RatedAnswer struct {
	RequestID api.RequestID
	Service   api.Service
	Class     api.Class
	Choice    VersionChoice
	// Version generated the answer: Choice.First, or Choice.EscalateTo after an escalation.
	Version api.VersionID
	Prompt  []api.ChatMessage
	Answer  string
}

// Rater submits answers to the rating service.
type Rater interface {
	// Offer queues an answer for rating. It never blocks and drops the answer if the queue is full.
	Offer(rated RatedAnswer)
	// Rate waits a short time for a rating; ok is false if none arrived.
	Rate(ctx context.Context, rated RatedAnswer) (quality api.Quality, ok bool)
}

// ServerChooser chooses a server among those that may run a request.
type ServerChooser interface {
	// ChooseServer returns an index into candidates, which is never empty.
	ChooseServer(req ServerRequest, candidates []*registry.Server) int
	// RelativeSpeed returns how fast a version generates, relative to the usual speed of the service's servers; above 0.
	RelativeSpeed(service api.Service, version api.VersionID) float64
	// Dispatched records that a request is sent to a server; the caller must finish the run that it returns.
	Dispatched(server *registry.Server, d Dispatch) ServerRun
}

// Dispatch describes a request that is sent to a server.
type Dispatch struct {
	// Prefix is a hash of the beginning of the prompt, PrefixTokens the length of that beginning and PromptTokens the length of
	// the prompt; all are 0 for a plain service.
	Prefix       uint64
	PrefixTokens api.Tokens
	PromptTokens api.Tokens
	// Version is zero for a plain service.
	Version api.VersionID
	At      time.Time
}

// ServerRun receives the progress of a request at a server, so that slow servers are detected before their answers end.
type ServerRun interface {
	// LateAfter returns the time from dispatch after which the first token is later than expected of the server; 0 without an
	// expectation.
	LateAfter() time.Duration
	// Progressed records the number of chunks received so far.
	Progressed(chunks int, now time.Time)
	// Resumed records that the answer continues on a new connection to the same server.
	Resumed(now time.Time)
	// Finished records that the request has left the server; done is nil if the server did not complete the answer.
	Finished(done *Completed, now time.Time)
}

// Completed describes a request that a server completed.
type Completed struct {
	// Version is zero for a plain service.
	Version      api.VersionID
	PromptTokens api.Tokens
	AnswerTokens api.Tokens
	// FirstToken and Total are measured from the dispatch; FirstToken is 0 if there was no token.
	FirstToken time.Duration
	Total      time.Duration
}

// Trials counts the outcomes of the attempts of each version and holds this node's share of the candidates' exposure.
type Trials interface {
	// IsCandidate reports whether a version is the candidate of a roll-out, which decides the requests that the version receives.
	IsCandidate(service api.Service, version api.VersionID) bool
	// IsDrainedLocally reports whether this node temporarily assigns no new sessions to a version that is serving.
	IsDrainedLocally(service api.Service, version api.VersionID) bool
	// ReserveExposure reports whether a request goes to a candidate version; if so, the request is deducted from the node's share.
	// draw is a random number from 0 to 1.
	ReserveExposure(service api.Service, version api.VersionID, draw float64) bool
	// Dispatched begins a run, which Answered, Failed or Discarded ends. Discarded ends it without evidence for or against the
	// version.
	Dispatched(request api.RequestID, key suspect.Key)
	Answered(request api.RequestID, version api.VersionID, took time.Duration)
	Failed(request api.RequestID, version api.VersionID)
	Discarded(request api.RequestID, version api.VersionID)
}

// AnsweredRequest is a request that a version has answered successfully.
type AnsweredRequest struct {
	ID      api.RequestID
	Team    api.Team
	Service api.Service
	Class   api.Class
	// Version is the version that generated the answer.
	Version     api.VersionID
	Request     api.ChatRequest
	Fingerprint poison.Fingerprint
}

// Copier may send a copy of an answered request to a candidate version. The answer to the copy is rated and discarded.
type Copier interface {
	// Offer queues a request to be copied; it does not block.
	Offer(answered AnsweredRequest)
}

// Admission admits requests as far as limits and capacity allow.
type Admission interface {
	// Admit waits until the request is admitted. It returns a problem with outcome NotRun if that can't happen in time.
	Admit(ctx context.Context, req AdmissionRequest) (Admitted, error)
}

// Admitted is the slot of an admitted request.
type Admitted struct {
	// RecordTokens reports the length of a complete answer, in tokens of a version of usual speed; it must be called before
	// Release.
	RecordTokens func(tokens float64)
	// Release releases the slot; it may be called repeatedly.
	Release func()
	// Boosted means that the request has PriorityHigh at the server, since its team stays within its share while other teams
	// wait.
	Boosted bool
}

// priority returns the request's priority at the servers, given the one that the caller requested.
func (a Admitted) priority(requested api.Priority) api.Priority {
	if a.Boosted {
		return api.PriorityHigh
	}
	return requested
}
