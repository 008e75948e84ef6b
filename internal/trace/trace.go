// Package trace holds recorded requests of a deployment, the faults that happen meanwhile and the outcome that must come of it.
package trace

import (
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Header is the first line of a trace file.
type Header struct {
	// Fleet names the deployment whose configuration the trace is for.
	Fleet string
	// Seed is what the trace was made from.
	Seed uint64
	// Entries counts the lines that follow.
	Entries int
	// Faults are ordered by time.
	Faults []Fault `json:",omitempty"`
	// Outcome is what a replay must show.
	Outcome Outcome
}

// FaultKind names what fails.
type FaultKind string

// Kinds of faults.
const (
	FaultKillNode     FaultKind = "KillNode"
	FaultDrainNode    FaultKind = "DrainNode"
	FaultKillServer   FaultKind = "KillServer"
	FaultLeaveServer  FaultKind = "LeaveServer"
	FaultSilence      FaultKind = "Silence"
	FaultStoreOut     FaultKind = "StoreOut"
	FaultStoreLoses   FaultKind = "StoreLosesAnswers"
	FaultBadVersion   FaultKind = "BadVersion"
	FaultPoison       FaultKind = "Poison"
	FaultLateAndCross FaultKind = "LateAndCrossed"
	FaultCutNodes     FaultKind = "CutNodes"
	// FaultWithdraw is an operator who withdraws a version for good.
	FaultWithdraw FaultKind = "Withdraw"
	// FaultRollOut is an operator who begins to bring a candidate into service; no failure, but what others may meet.
	FaultRollOut FaultKind = "RollOut"
)

// Fault is one failure while a trace is played.
type Fault struct {
	At   time.Duration
	Kind FaultKind
	// Target names the node, server or version; empty lets the player pick one by the seed.
	Target string `json:",omitempty"`
	// For is how long the fault lasts; 0 means for good.
	For time.Duration `json:",omitempty"`
}

// Outcome bounds what a replay may show; every promise is at most its bound.
type Outcome struct {
	Lost        int
	Cut         int
	DoubleRuns  int
	FalseNotRun int
	DoubleBills int
	// RefusedShare is the largest part of the requests that may be refused.
	RefusedShare float64
	// Exposure is the largest number of calls that a version which turned bad may answer; 0 means that it isn't bounded.
	Exposure int `json:",omitempty"`
}

// EntryKind tells which part of the caller API an entry calls.
type EntryKind string

const (
	// KindChat is a chat completion.
	KindChat EntryKind = "Chat"
	// KindPlain is a call of a plain service.
	KindPlain EntryKind = "Plain"
)

// Entry is one recorded request.
type Entry struct {
	// At is the request's arrival, counted from the trace's start; entries are ordered by it.
	At      time.Duration
	Kind    EntryKind
	Team    api.Team
	Service api.Service
	Class   api.Class `json:",omitempty"`
	// Session groups requests that belong together; empty for none.
	Session string `json:",omitempty"`
	// Prefix names the prompt prefix that entries share; empty for none.
	Prefix string `json:",omitempty"`
	// PrefixTokens is the part of PromptTokens that the prefix covers.
	PrefixTokens api.Tokens `json:",omitempty"`
	PromptTokens api.Tokens `json:",omitempty"`
	AnswerTokens api.Tokens `json:",omitempty"`
	Stream       bool       `json:",omitempty"`
	// Difficulty, from 0 to 1, decides with a version's strength how good its answer is.
	Difficulty float64 `json:",omitempty"`
	// Method and Path are those of a plain call.
	Method string `json:",omitempty"`
	Path   string `json:",omitempty"`
	// OnceOnly marks a call that must run at most once.
	OnceOnly bool          `json:",omitempty"`
	Priority api.Priority  `json:",omitempty"`
	Deadline time.Duration `json:",omitempty"`
}
