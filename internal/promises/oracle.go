package promises

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/billfold"
	"github.com/monsoonrail/monsoonrail/internal/billing"
	"github.com/monsoonrail/monsoonrail/internal/fake/plainfake"
	"github.com/monsoonrail/monsoonrail/internal/fake/script"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// leavingGrace is the time after which a leaving server receives no new work.
	leavingGrace = 5 * time.Second
	// withdrawnGrace is the time after which an accepted withdrawal is in force everywhere.
	withdrawnGrace = 11 * time.Second
)

// forbidden is a version that the callers' team is not allowed.
var forbidden = api.VersionID{Model: "professor", Version: "1.4"}

// forbid adds the exception that keeps the team from it.
func forbid(config fleet.Config) *fleet.Config {
	allowed := []string{"swift", "scholar"}
	config.Exceptions = append(slices.Clone(config.Exceptions), fleet.Exception{
		ID: "promise-allowed", Scope: fleet.Scope{Team: callerTeam}, Set: fleet.PolicyPatch{Allowed: &allowed},
		Reason: "the team's models", Author: "test",
	})
	slices.SortFunc(config.Exceptions, func(a, b fleet.Exception) int { return strings.Compare(a.ID, b.ID) })
	return &config
}

// judge returns every breach of a promise in what was seen.
func judge(w *world) []string {
	h := w.history
	runs := w.runs()
	breaches := append([]string(nil), h.notes...)
	byCall := make(map[string][]run)
	for _, r := range runs {
		byCall[r.call] = append(byCall[r.call], r)
	}
	for _, c := range h.calls {
		breaches = append(breaches, judgeAnswers(w, c)...)
		breaches = append(breaches, judgeOnce(c, byCall[c.name])...)
		breaches = append(breaches, judgeNotRun(c, byCall[c.name])...)
		breaches = append(breaches, judgeSession(c)...)
		breaches = append(breaches, judgeEnds(w, c)...)
		breaches = append(breaches, judgeStop(c)...)
	}
	breaches = append(breaches, judgeLeaving(h, runs)...)
	breaches = append(breaches, judgeWithdrawn(h, runs)...)
	breaches = append(breaches, judgeAllowed(runs)...)
	breaches = append(breaches, judgeConfig(w)...)
	breaches = append(breaches, judgeRollOuts(w, runs)...)
	return append(breaches, judgeBills(w, byCall)...)
}

// runs gathers what reached the backend servers.
func (w *world) runs() []run {
	var runs []run
	for _, engine := range w.system.Engines() {
		for _, r := range engine.Runs() {
			if r.BodyArrived {
				runs = append(runs, run{call: r.Call, server: r.Server, request: r.RequestID, at: r.At, version: r.Version, began: r.Began})
			}
		}
	}
	for _, plain := range w.system.PlainServers() {
		for _, r := range plain.Runs() {
			runs = append(runs, run{call: script.ParseCall(r.Body), server: r.Server, request: r.RequestID, at: r.At, began: r.Whole})
		}
	}
	return runs
}

func describe(c *call, t *try) string {
	problem := "none"
	if t.problem != nil {
		problem = t.problem.Error()
	}
	return fmt.Sprintf("%s [%s] node %d status %d whole %t broken %t hung up %t problem %s request %s",
		c.name, c.step, t.node, t.status, t.whole, t.broken, t.hungUp, problem, t.request)
}

// judgeAnswers: every caller receives the whole answer to its own request; a part of one is its beginning.
func judgeAnswers(w *world, c *call) []string {
	var breaches []string
	for _, t := range c.tries {
		if t.status != 200 || c.step.Kind == StepPlain || c.step.Kind == StepOnce {
			if t.whole && t.status == 200 && echoed(t.text) != c.name {
				breaches = append(breaches, "answer of another request: "+describe(c, t))
			}
			continue
		}
		want, ok := w.system.Engines()[0].ExpectedFrom(c.chat, t.version, t.offset)
		if !ok {
			breaches = append(breaches, "answer names no version: "+describe(c, t))
			continue
		}
		if t.whole && t.text != want || !strings.HasPrefix(want, t.text) {
			breaches = append(breaches, fmt.Sprintf("wrong answer: %s: got %q, want %q", describe(c, t), t.text, want))
		}
	}
	return breaches
}

// echoed returns the call that a plain service's answer names.
func echoed(text string) string {
	var answer plainfake.Answer
	if json.Unmarshal([]byte(text), &answer) != nil {
		return ""
	}
	return script.ParseCall(answer.Echo)
}

// judgeOnce: a request that may not be repeated runs at most once, however often its caller sends it with its key.
func judgeOnce(c *call, runs []run) []string {
	if !c.once || len(runs) <= 1 {
		return nil
	}
	return []string{fmt.Sprintf("once-only request ran %d times: %s [%s]: %v", len(runs), c.name, c.step, runs)}
}

// judgeNotRun: a refusal that says NotRun is true: nothing of the request had been handed to a server by then.
func judgeNotRun(c *call, runs []run) []string {
	var breaches []string
	for _, t := range c.tries {
		if t.problem == nil || t.problem.Outcome != api.OutcomeNotRun {
			continue
		}
		for _, r := range runs {
			if r.at.Before(t.ended) && (c.step.Key != KeyNone || isRunOf(r, t)) {
				breaches = append(breaches, fmt.Sprintf("NotRun but it ran: %s: %v", describe(c, t), r))
			}
		}
	}
	return breaches
}

func isRunOf(r run, t *try) bool {
	return t.problem.RequestID != "" && strings.HasPrefix(string(r.request), string(t.problem.RequestID)+"-")
}

// judgeSession: a session keeps its version, unless the answer says that it was moved.
func judgeSession(c *call) []string {
	var breaches []string
	for _, t := range c.tries {
		if t.status == 200 && !c.session.IsZero() && t.version != c.session && !t.repinned {
			breaches = append(breaches, fmt.Sprintf("session on %s was answered by %s: %s", c.session, t.version, describe(c, t)))
		}
	}
	return breaches
}

// judgeEnds: every try ends in time, and no connection breaks but by the end of its node or by its caller.
func judgeEnds(w *world, c *call) []string {
	var breaches []string
	for _, t := range c.tries {
		if t.broken && !t.hungUp && !w.mayBreak(t) {
			breaches = append(breaches, "connection broke without cause: "+describe(c, t))
		}
	}
	return breaches
}

// judgeStop: a planned stop cuts no request.
func judgeStop(c *call) []string {
	var breaches []string
	for _, t := range c.tries {
		if t.problem != nil && t.problem.Reason == api.ReasonDraining && t.problem.Outcome != api.OutcomeNotRun {
			breaches = append(breaches, "a planned stop cut a request: "+describe(c, t))
		}
	}
	return breaches
}

// judgeAllowed: a request runs only on a version that its team is allowed.
func judgeAllowed(runs []run) []string {
	var breaches []string
	for _, r := range runs {
		if r.began && r.version == forbidden {
			breaches = append(breaches, fmt.Sprintf("team %s is not allowed %s but ran %v", callerTeam, forbidden, r))
		}
	}
	return breaches
}

// mayBreak reports whether any node was killed while a try was on its way; a forwarded one may pass through any node.
func (w *world) mayBreak(t *try) bool {
	for _, kill := range w.history.nodeKills {
		if !kill.at.After(t.ended) && kill.at.Add(maxFault+warmUp).After(t.began) {
			return true
		}
	}
	for _, pause := range w.history.pauses {
		if !pause.from.After(t.ended) && !pause.to.Before(t.began) {
			return true
		}
	}
	return w.wasDown(t) || w.wasCutOff(t)
}

// wasCutOff reports whether a try was answered through another node than the one that ran it, and the two were cut from
// each other meanwhile: the half of the answer that came must then not look whole.
func (w *world) wasCutOff(t *try) bool {
	for _, c := range w.history.cuts {
		overlaps := !c.from.After(t.ended) && !c.to.Before(t.began)
		if overlaps && (t.node == c.a && runsOn(t, c.b) || t.node == c.b && runsOn(t, c.a)) {
			return true
		}
	}
	return false
}

// runsOn reports whether a request id names a node.
func runsOn(t *try, node int) bool {
	return strings.HasPrefix(string(t.request), fmt.Sprintf("node-%d.", node+1))
}

// wasDown reports whether a try was sent to a node that was stopping or not yet started again.
func (w *world) wasDown(t *try) bool {
	for _, down := range w.history.downtimes {
		if down.node == t.node && !down.from.After(t.ended) && down.to.After(t.began) {
			return true
		}
	}
	return false
}

// judgeLeaving: a leaving server receives no new work after a few seconds.
func judgeLeaving(h *history, runs []run) []string {
	var breaches []string
	for _, left := range h.left {
		for _, r := range runs {
			if r.server == left.server && r.at.After(left.from.Add(leavingGrace)) && r.at.Before(left.to) {
				breaches = append(breaches, fmt.Sprintf("server %s leaves since %s but was handed %v", r.server, left.from, r))
			}
		}
	}
	return breaches
}

// judgeWithdrawn: a withdrawn version receives no new work once the change is in force everywhere.
func judgeWithdrawn(h *history, runs []run) []string {
	var breaches []string
	for _, gone := range h.withdrawals {
		for _, r := range runs {
			if r.began && r.version == gone.version && r.at.After(gone.at.Add(withdrawnGrace)) {
				breaches = append(breaches, fmt.Sprintf("%s was withdrawn at %s but ran %v", gone.version, gone.at, r))
			}
		}
	}
	return breaches
}

// judgeBills: each request is billed once. Totals name no request, so that their number is held between the requests
// that were answered whole and those that any server began.
func judgeBills(w *world, byCall map[string][]run) []string {
	billed, err := w.billedRequests()
	if err != nil {
		return []string{"bills can't be read: " + err.Error()}
	}
	answered := 0
	ran := 0
	for _, c := range w.history.calls {
		whole := slices.ContainsFunc(c.tries, func(t *try) bool { return t.whole && t.status == http.StatusOK })
		begun := slices.ContainsFunc(byCall[c.name], func(r run) bool { return r.began })
		if whole {
			answered++
		}
		if whole || begun {
			ran++
		}
	}
	// An older state of the key-value service takes bills with it that were folded: what lasts is kept there alone.
	// It never makes a request billed twice.
	if billed < answered && !w.hasGoneBack() || billed > ran {
		return []string{fmt.Sprintf("%d requests billed, %d answered whole, %d begun", billed, answered, ran)}
	}
	return nil
}

// billedRequests counts the requests in the folded totals of the days around now.
func (w *world) billedRequests() (int, error) {
	billed := int64(0)
	today := billing.DayOf(time.Now())
	for day := today - 1; day <= today; day++ {
		totals, err := billfold.Totals(context.Background(), w.system.KV.Store(), day)
		if err != nil {
			return 0, err
		}
		for _, total := range totals {
			billed += total.Requests
		}
	}
	return int(billed), nil
}
