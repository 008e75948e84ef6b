package load

import (
	"time"

	"github.com/monsoonrail/monsoonrail/internal/trace"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Text is the result of the check of an answer's text. It is empty if the text was not checked.
type Text string

const (
	// TextWhole means that the text is complete and that of the call's own answer.
	TextWhole Text = "Whole"
	// TextCut means that the text is truncated although the answer was reported as complete, or that a stream broke off and wasn't resumed.
	TextCut Text = "Cut"
	// TextRepeated means that the text continues after its end or contains a part twice.
	TextRepeated Text = "Repeated"
	// TextWrong means that the text is not that of the call's own answer.
	TextWrong Text = "Wrong"
)

// Result is the result of one call from the caller's view.
type Result struct {
	Entry trace.Entry
	// Call is the unique name of the call, which is part of its prompt or body.
	Call string
	// Due is the time since the start of the run at which the call was to be made. Latency and FirstToken are measured from
	// then, so that they include the delay of a generator that falls behind.
	Due        time.Duration
	Latency    time.Duration
	FirstToken time.Duration
	// Intervals are the times between tokens of a stream.
	Intervals []time.Duration
	// Answered reports whether the call ended with an answer that was reported as complete.
	Answered bool
	// Text is empty for calls without any text, and for plain calls unless it is TextWrong.
	Text Text
	// Outcome and Reason are those of the problem that the call was rejected with. They are empty for answered and for lost calls.
	Outcome api.Outcome
	Reason  api.Reason
	// Err is the error message of a call that was not answered.
	Err string
	// RequestIDs are the ids of all requests that returned a part of the answer, a complete answer or a problem.
	RequestIDs []api.RequestID
	Node       api.NodeID
	Version    api.VersionID
	// Pinned is the version in the session token that the call was sent with. Repinned reports whether the response announced
	// that the session moved to another version.
	Pinned   api.VersionID
	Repinned bool
	Tries    int
	Resumes  int
	Restarts int
	Quality  api.Quality
	Tokens   int
}

// IsLost reports whether the call ended with neither an answer nor a problem from the system.
func (r *Result) IsLost() bool { return !r.Answered && r.Reason == "" }
