// Package oracle holds what callers, servers and bills saw of a run against the promises. It knows nothing of the router.
package oracle

import (
	"fmt"
	"strings"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/load"
	"github.com/monsoonrail/monsoonrail/internal/poison"
	"github.com/monsoonrail/monsoonrail/internal/trace"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Run is a run of a call on a backend server.
type Run struct {
	Server    api.ServerID
	RequestID api.RequestID
	// Call is the name of the caller's call.
	Call string
	At   time.Time
	// Version is zero for a plain service.
	Version api.VersionID
	// Began tells that the server took the work on; a run that was refused didn't begin.
	Began bool
	// Died tells that the server died before the run's end.
	Died bool
}

// Billed is what a team was billed for a service.
type Billed struct {
	Team     api.Team
	Service  api.Service
	Requests int
}

// Seen is all that was seen of a run.
type Seen struct {
	Results []load.Result
	Runs    []Run
	// NoRuns tells that servers were not watched, so that nothing is known of runs.
	NoRuns bool
	// Billed holds the folded totals; HasBills tells that they are known at all.
	Billed   []Billed
	HasBills bool
}

// maxExamples bounds the broken calls that a verdict describes.
const maxExamples = 10

// Verdict counts what became of the calls. The fields from Lost on but for Unbilled are promises: each must be 0.
type Verdict struct {
	Requests int
	Answered int
	// RefusedNotRun, RefusedMayHaveRun and RefusedRan count refusals by what they say.
	RefusedNotRun     int
	RefusedMayHaveRun int
	RefusedRan        int
	// HasRuns tells that runs on servers are known; Repeated, DoubleRuns and FalseNotRun are 0 without them.
	HasRuns bool
	// Repeated counts repeatable calls that ran more than once, which costs but does no harm.
	Repeated int
	// HasBills tells that bills are known; Unbilled and DoubleBills are 0 without them.
	HasBills bool
	// Unbilled counts the answered calls beyond those that were billed.
	Unbilled int
	// Lost counts calls that ended with neither an answer nor a refusal.
	Lost int
	// Cut counts answers that ended early, RepeatedText those that held a part twice, Wrong those of another call.
	Cut int
	// Barred counts those that ended early since two servers had died while they ran the call, which may have been its doing; they
	// are not among Cut.
	Barred       int
	RepeatedText int
	Wrong        int
	// DoubleRuns counts calls that may run once only and ran more often.
	DoubleRuns int
	// FalseNotRun counts calls refused as NotRun that a server took on.
	FalseNotRun int
	// DoubleBills counts the billed requests beyond those that servers ran.
	DoubleBills int
	// MovedSessions counts calls that another version than that of their session token answered without saying so.
	MovedSessions int
	// Examples describes some of the broken calls.
	Examples []string `json:",omitempty"`
}

// Judge holds what was seen against the promises.
func Judge(seen Seen) Verdict {
	j := &judge{runs: make(map[string][]Run), verdict: Verdict{
		Requests: len(seen.Results), HasRuns: !seen.NoRuns, HasBills: seen.HasBills,
	}}
	for _, run := range seen.Runs {
		if run.Began {
			j.runs[run.Call] = append(j.runs[run.Call], run)
		}
	}
	for i := range seen.Results {
		j.call(&seen.Results[i])
	}
	if seen.HasBills {
		j.bills(seen)
	}
	return j.verdict
}

type judge struct {
	runs    map[string][]Run
	verdict Verdict
}

func (j *judge) call(result *load.Result) {
	v := &j.verdict
	switch {
	case result.Answered:
		v.Answered++
	case result.IsLost():
		j.broken(&v.Lost, "lost", result)
	case result.Outcome == api.OutcomeNotRun:
		v.RefusedNotRun++
	case result.Outcome == api.OutcomeRan:
		v.RefusedRan++
	default:
		v.RefusedMayHaveRun++
	}
	switch result.Text {
	case load.TextCut:
		if j.isBarred(result) {
			v.Barred++
		} else {
			j.broken(&v.Cut, "cut", result)
		}
	case load.TextRepeated:
		j.broken(&v.RepeatedText, "repeated text", result)
	case load.TextWrong:
		j.broken(&v.Wrong, "wrong text", result)
	}
	j.callRuns(result)
	j.session(result)
}

// isBarred reports whether as many servers died while they ran a call as one request may crash.
func (j *judge) isBarred(result *load.Result) bool {
	died := make(map[api.ServerID]bool)
	for _, run := range j.runs[result.Call] {
		if run.Died {
			died[run.Server] = true
		}
	}
	return result.Reason == api.ReasonPoison && len(died) >= poison.MaxCrashes
}

// callRuns judges a call by its runs on the servers.
func (j *judge) callRuns(result *load.Result) {
	runs := j.runs[result.Call]
	if len(runs) > 1 && result.Entry.OnceOnly {
		j.broken(&j.verdict.DoubleRuns, "double run", result)
	} else if len(runs) > 1 {
		j.verdict.Repeated++
	}
	if result.Outcome == api.OutcomeNotRun && len(runs) > 0 {
		j.broken(&j.verdict.FalseNotRun, "false NotRun", result)
	}
}

// session judges that a call with a session token was answered by the token's version, unless its caller was told otherwise.
// Calls of one session that begin together, before there is a token, may get one each.
func (j *judge) session(result *load.Result) {
	if result.Answered && !result.Pinned.IsZero() && result.Version != result.Pinned && !result.Repinned {
		j.broken(&j.verdict.MovedSessions, "moved session", result)
	}
}

// account is what bills are summed by.
type account struct {
	team    api.Team
	service api.Service
}

// bills judges totals: an account is billed for each call that was answered, and at most for each request that servers ran.
func (j *judge) bills(seen Seen) {
	answered := make(map[account]int)
	ran := make(map[account]int)
	for i := range seen.Results {
		result := &seen.Results[i]
		owner := account{team: result.Entry.Team, service: result.Entry.Service}
		if result.Answered {
			answered[owner]++
		}
		ran[owner] += max(j.requestsOf(result), boolToInt(result.Answered))
	}
	billed := make(map[account]int)
	for _, total := range seen.Billed {
		billed[account{team: total.Team, service: total.Service}] += total.Requests
	}
	for owner := range answered {
		j.verdict.Unbilled += max(answered[owner]-billed[owner], 0)
	}
	for owner, count := range billed {
		if over := count - ran[owner]; over > 0 {
			j.verdict.DoubleBills += over
			j.example(fmt.Sprintf("double bill: team %s was billed for %d requests to %s, of which %d ran",
				owner.team, count, owner.service, ran[owner]))
		}
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// requestsOf counts the requests under which servers ran a call.
func (j *judge) requestsOf(result *load.Result) int {
	ids := make(map[api.RequestID]bool)
	for _, run := range j.runs[result.Call] {
		ids[requestOf(run.RequestID)] = true
	}
	return len(ids)
}

// requestOf returns the request of an attempt: nodes send servers the request's id, a hyphen and a number.
func requestOf(attempt api.RequestID) api.RequestID {
	if end := strings.LastIndexByte(string(attempt), '-'); end >= 0 {
		return attempt[:end]
	}
	return attempt
}

func (j *judge) broken(count *int, what string, result *load.Result) {
	*count++
	var where []string
	for _, run := range j.runs[result.Call] {
		where = append(where, fmt.Sprintf("%s at %s as %s", run.Server, run.At.Format("15:04:05.000"), run.RequestID))
	}
	j.example(fmt.Sprintf("%s: call %s of team %s, due after %s, requests %v, node %s, tries %d, resumes %d, error %q, runs [%s]",
		what, result.Call, result.Entry.Team, result.Due.Round(time.Millisecond), result.RequestIDs, result.Node,
		result.Tries, result.Resumes, result.Err, strings.Join(where, ", ")))
}

func (j *judge) example(text string) {
	if len(j.verdict.Examples) < maxExamples {
		j.verdict.Examples = append(j.verdict.Examples, text)
	}
}

// Bounds returns the promises that a verdict breaks, each as "name: count, at most bound".
func (v Verdict) Bounds(bounds trace.Outcome) []string {
	var broken []string
	check := func(name string, count, bound int) {
		if count > bound {
			broken = append(broken, fmt.Sprintf("%s: %d, at most %d", name, count, bound))
		}
	}
	check("Lost", v.Lost, bounds.Lost)
	check("Cut", v.Cut, bounds.Cut)
	check("RepeatedText", v.RepeatedText, 0)
	check("Wrong", v.Wrong, 0)
	check("DoubleRuns", v.DoubleRuns, bounds.DoubleRuns)
	check("FalseNotRun", v.FalseNotRun, bounds.FalseNotRun)
	check("DoubleBills", v.DoubleBills, bounds.DoubleBills)
	check("MovedSessions", v.MovedSessions, 0)
	if refused := v.Refused(); float64(refused) > bounds.RefusedShare*float64(v.Requests) {
		broken = append(broken, fmt.Sprintf("Refused: %d of %d, at most a part of %g", refused, v.Requests, bounds.RefusedShare))
	}
	return broken
}

// Refused counts all refusals.
func (v Verdict) Refused() int { return v.RefusedNotRun + v.RefusedMayHaveRun + v.RefusedRan }
