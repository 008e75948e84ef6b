package load

import (
	"time"

	"github.com/monsoonrail/monsoonrail/internal/trace"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Text tells what a caller made of an answer's text.
type Text string

const (
	// TextWhole means that the text is all of the caller's own answer.
	TextWhole Text = "Whole"
	// TextCut means that the text ends early although the answer was called whole, or that a stream broke for good.
	TextCut Text = "Cut"
	// TextRepeated means that the text goes on after its end or holds a part twice.
	TextRepeated Text = "Repeated"
	// TextWrong means that the text is another one than the caller's own.
	TextWrong Text = "Wrong"
)

// Result is what one caller saw of its call.
type Result struct {
	Entry trace.Entry
	// Call names the call in prompts and bodies.
	Call string
	// Due is when the call should have been made, counted from the start. Latency and FirstToken count from then,
	// so that a generator or a system that falls behind shows in them.
	Due        time.Duration
	Latency    time.Duration
	FirstToken time.Duration
	// Intervals are the times between tokens of a stream.
	Intervals []time.Duration
	// Answered tells that the call ended with an answer that was called whole.
	Answered bool
	// Text is empty for plain calls and for calls without any text.
	Text Text
	// Outcome and Reason are those of the refusal; empty for an answered call and for one that was lost.
	Outcome api.Outcome
	Reason  api.Reason
	// Err describes why the call was not answered.
	Err string
	// RequestIDs are all under which the call was answered in part or whole.
	RequestIDs []api.RequestID
	Node       api.NodeID
	Version    api.VersionID
	// Pinned is the version of the session token that the call carried; Repinned tells that the caller was told
	// of its session's move to another version.
	Pinned   api.VersionID
	Repinned bool
	Tries    int
	Resumes  int
	Restarts int
	Quality  api.Quality
	Tokens   int
}

// IsLost reports whether the call ended with neither an answer nor a refusal.
func (r *Result) IsLost() bool { return !r.Answered && r.Reason == "" }
