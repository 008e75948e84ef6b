// Package promises runs a whole system on a network in memory under drawn actions and faults, and holds what callers,
// backend servers, bills and operators saw against the promises of the product.
package promises

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// StepKind names an action or a fault.
type StepKind int

// Kinds of steps.
const (
	StepChat StepKind = iota
	StepStream
	StepPlain
	StepOnce
	StepKillNode
	StepDrainNode
	StepKillServer
	StepLeaveServer
	StepPauseNode
	StepSilence
	StepCrossed
	StepSwapped
	StepSlow
	StepCutNodes
	StepStoreOut
	StepStoreSlow
	StepStoreLoses
	StepStoreCompacts
	StepStoreSkips
	StepStoreDropsWatches
	StepStoreOlder
	StepWithdraw
	StepRace
	StepRollOut
	StepCommand
	stepKinds
)

var stepNames = [...]string{
	"Chat", "Stream", "Plain", "Once", "KillNode", "DrainNode", "KillServer", "LeaveServer", "PauseNode", "Silence", "Crossed",
	"Swapped", "Slow", "CutNodes", "StoreOut", "StoreSlow", "StoreLoses", "StoreCompacts", "StoreSkips", "StoreDropsWatches",
	"StoreOlder", "Withdraw", "Race", "RollOut", "Command",
}

// String returns the step's name.
func (k StepKind) String() string { return stepNames[k] }

// KeyKind tells which idempotency key a request carries.
type KeyKind int

// Kinds of keys.
const (
	KeyNone KeyKind = iota
	KeyOwn
	KeyIssued
	keyKinds
)

// Step is one action or fault of a plan.
type Step struct {
	At   time.Duration
	Kind StepKind
	// Node and Other pick nodes, Server a backend server.
	Node   int
	Other  int
	Server int
	// For is how long a fault lasts.
	For time.Duration
	// Key is the kind of key of a request, Session its session from 1, or 0 for none.
	Key     KeyKind
	Session int
	// HangUp ends the caller's connection after a time, Resend sends the request again through Other after a time; 0 for neither.
	HangUp time.Duration
	Resend time.Duration
	// Attach asks Other for the rest of the answer, from chunk Offset on, a time after the answer began; 0 for never.
	Attach time.Duration
	Offset int
}

// String describes the step on one line.
func (s Step) String() string {
	return fmt.Sprintf("%6dms %s node=%d other=%d server=%d for=%s key=%d session=%d hangup=%s resend=%s attach=%s offset=%d",
		s.At.Milliseconds(), s.Kind, s.Node, s.Other, s.Server, s.For, s.Key, s.Session, s.HangUp, s.Resend, s.Attach, s.Offset)
}

const (
	// planLength is the virtual time in which steps happen.
	planLength = 20 * time.Second
	// maxFault bounds how long a fault lasts.
	maxFault = 12 * time.Second
	// maxSteps bounds the steps of a plan.
	maxSteps = 40
	// planNodes, planEngines and planPlains are the system's size.
	planNodes   = 3
	planEngines = 3
	planPlains  = 2
	// planSessions is how many sessions the callers have.
	planSessions = 2
)

// drawPlan draws the steps of a run, ordered by time.
func drawPlan(t *rapid.T) []Step {
	steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, maxSteps).Draw(t, "steps")
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps
}

func drawStep(t *rapid.T) Step {
	return Step{
		Kind:    drawKind(t),
		At:      drawMillis(t, "at", planLength),
		Node:    rapid.IntRange(0, planNodes-1).Draw(t, "node"),
		Other:   rapid.IntRange(0, planNodes-1).Draw(t, "other"),
		Server:  rapid.IntRange(0, planEngines+planPlains-1).Draw(t, "server"),
		For:     drawMillis(t, "for", maxFault),
		Key:     KeyKind(rapid.IntRange(0, int(keyKinds)-1).Draw(t, "key")),
		Session: rapid.IntRange(0, planSessions).Draw(t, "session"),
		HangUp:  drawSometimes(t, "hangup"),
		Resend:  drawSometimes(t, "resend"),
		Attach:  drawSometimes(t, "attach"),
		Offset:  rapid.IntRange(0, answerTokens+1).Draw(t, "offset"),
	}
}

// drawKind draws requests in half of the cases.
func drawKind(t *rapid.T) StepKind {
	if rapid.Bool().Draw(t, "isRequest") {
		return StepKind(rapid.IntRange(0, int(StepOnce)).Draw(t, "request"))
	}
	return StepKind(rapid.IntRange(int(StepKillNode), int(stepKinds)-1).Draw(t, "fault"))
}

func drawMillis(t *rapid.T, name string, limit time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(1, limit.Milliseconds()).Draw(t, name)) * time.Millisecond
}

// drawSometimes draws a time up to three seconds, or none in two of three cases.
func drawSometimes(t *rapid.T, name string) time.Duration {
	const limit = 3 * time.Second
	if rapid.IntRange(0, 2).Draw(t, name+"Chance") > 0 {
		return 0
	}
	return drawMillis(t, name, limit)
}
