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

// Configs yields the newest configuration that the node holds; nil before the first.
type Configs interface {
	Current() *fleet.Config
}

// Bill is what one request costs its team.
type Bill struct {
	RequestID api.RequestID
	// Key is the request's idempotency key; two runs under one key are one request.
	Key     api.IdempotencyKey
	Team    api.Team
	Service api.Service
	Version api.VersionID
	Usage   api.Usage
	Cost    api.MicroUSD
	At      time.Time
	// IsWhole tells that the caller has none of the answer before its end.
	IsWhole bool
}

// Biller takes bills; an error means that the bill was not taken and that the request must not be called whole.
type Biller interface {
	Add(ctx context.Context, bill Bill) error
}

// VersionChooser picks the version of a request among those that may run it.
type VersionChooser interface {
	// ChooseVersion returns false if no candidate may be taken.
	ChooseVersion(req VersionRequest) (VersionChoice, bool)
	// ObserveLatency learns from the time to a version's whole answer.
	ObserveLatency(v api.VersionID, took time.Duration)
}

// VersionChoice is a version, or a first one whose answer is replaced by that of a second if it is rated too low.
type VersionChoice struct {
	First api.VersionID
	// EscalateTo is zero where nothing follows; EscalateBelow is the rating under which it does.
	EscalateTo    api.VersionID
	EscalateBelow api.Quality
	// Reason tells why the choice was made.
	Reason string
}

// RatedAnswer is an answer that the rating service may rate.
type RatedAnswer struct {
	RequestID api.RequestID
	Service   api.Service
	Class     api.Class
	Choice    VersionChoice
	// Version is the one that gave the answer: Choice.First, or Choice.Then after an escalation.
	Version api.VersionID
	Prompt  []api.ChatMessage
	Answer  string
}

// Rater has answers rated.
type Rater interface {
	// Offer hands an answer over to be rated some time; it never blocks, and drops the answer where too many wait.
	Offer(rated RatedAnswer)
	// Rate waits a short time for a rating; ok is false if none came.
	Rate(ctx context.Context, rated RatedAnswer) (quality api.Quality, ok bool)
}

// ServerChooser picks a server among those that may run a request.
type ServerChooser interface {
	// ChooseServer returns an index of candidates, which is never empty.
	ChooseServer(req ServerRequest, candidates []*registry.Server) int
	// Speed returns how fast a version generates, relative to what is usual of the service's servers; above 0.
	Speed(service api.Service, version api.VersionID) float64
	// Dispatched tells that a request is handed to a server; the run that it returns must be finished.
	Dispatched(server *registry.Server, d Dispatch) ServerRun
}

// Dispatch describes a request that is handed to a server.
type Dispatch struct {
	// Prefix is a hash of the prompt's beginning, PrefixTokens its length, Prompt the length of all; 0 for a plain service.
	Prefix       uint64
	PrefixTokens api.Tokens
	PromptTokens api.Tokens
	// Version is zero for a plain service.
	Version api.VersionID
	At      time.Time
}

// ServerRun is told how a request gets on at a server, so that slow servers are found before answers end.
type ServerRun interface {
	// LateAfter returns the time from dispatch after which the first token is later than is expected of the server; 0 if
	// nothing is expected of it.
	LateAfter() time.Duration
	// Progressed tells how many chunks of the answer have come.
	Progressed(chunks int, now time.Time)
	// Resumed tells that the answer goes on over a new connection to the same server.
	Resumed(now time.Time)
	// Finished tells that the request left the server; done is nil if its answer didn't become whole there.
	Finished(done *Completed, now time.Time)
}

// Completed describes a request that a server finished.
type Completed struct {
	// Version is zero for a plain service.
	Version      api.VersionID
	PromptTokens api.Tokens
	AnswerTokens api.Tokens
	// FirstToken and Total are counted from the dispatch; FirstToken is 0 if there was none.
	FirstToken time.Duration
	Total      time.Duration
}

// Trials counts what the answers of versions are like and holds this node's part of the candidates' exposure.
type Trials interface {
	// IsOnTrial reports whether a roll-out decides which requests a version gets.
	IsOnTrial(service api.Service, version api.VersionID) bool
	// IsHeld reports whether a version that serves gets no new sessions from this node for a while.
	IsHeld(service api.Service, version api.VersionID) bool
	// Take reports whether a request goes to a candidate, and takes it out of the node's part.
	Take(service api.Service, version api.VersionID, draw float64) bool
	// Dispatched begins a run, which one of the others ends.
	Dispatched(request api.RequestID, key suspect.Key)
	Answered(request api.RequestID, version api.VersionID, took time.Duration)
	Failed(request api.RequestID, version api.VersionID)
	Dropped(request api.RequestID, version api.VersionID)
}

// AnsweredRequest is a request that a version has answered well.
type AnsweredRequest struct {
	ID      api.RequestID
	Team    api.Team
	Service api.Service
	Class   api.Class
	// Version is the one that answered.
	Version     api.VersionID
	Request     api.ChatRequest
	Fingerprint poison.Fingerprint
}

// Copier may send an answered request to a candidate too, whose answer is rated and shown to nobody.
type Copier interface {
	// Offer does not block.
	Offer(answered AnsweredRequest)
}

// Admission lets requests in as far as limits and capacity allow.
type Admission interface {
	// Admit waits for the request's turn. It returns a problem with outcome NotRun if the turn can't come in time.
	Admit(ctx context.Context, req AdmissionRequest) (Admitted, error)
}

// Admitted is the place of a request that was let in.
type Admitted struct {
	// RecordTokens tells the length of a whole answer, in tokens of a version of usual speed, before the place is given back.
	RecordTokens func(tokens float64)
	// Release gives the place back; it may be called many times.
	Release func()
	// Boosted tells that the request goes to the server at PriorityHigh: its team keeps within its share while others wait.
	Boosted bool
}

// priority returns the priority at the servers of a request that asked for another.
func (a Admitted) priority(requested api.Priority) api.Priority {
	if a.Boosted {
		return api.PriorityHigh
	}
	return requested
}
