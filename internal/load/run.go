// Package load is an open-loop load generator that replays a trace: it makes each call at its time, whether earlier ones were
// answered or not, and measures latencies from the time at which the call was due.
package load

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/fake/script"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/internal/trace"
	"github.com/monsoonrail/monsoonrail/pkg/api"
	"github.com/monsoonrail/monsoonrail/pkg/client"
)

const (
	// defaultDeadline is the deadline of entries that have none.
	defaultDeadline = time.Minute
	// answerGrace is the time after the deadline for which a caller waits to receive the rejection.
	answerGrace = 5 * time.Second
	// defaultMaxInFlight bounds the calls in flight. At the limit the generator waits, and the wait is part of the latency.
	defaultMaxInFlight = 20_000
)

// Options configures a run.
type Options struct {
	Entries []trace.Entry
	// Speed is the factor by which the trace is accelerated; 0 means 1.
	Speed float64
	// ClientFor returns the client with which a team's calls are made.
	ClientFor func(team api.Team) *client.Client
	// MaxInFlight bounds the calls in flight; 0 means 20,000.
	MaxInFlight int
	// CallPrefix is the prefix of the names of the calls.
	CallPrefix string
	// OnDone, if set, is called after each call, by several goroutines concurrently.
	OnDone func(result *Result)
	// SkipTextCheck disables the check of answer texts, since only those of fake engines are predictable.
	SkipTextCheck bool
	// KeepIntervals enables Result.Intervals.
	KeepIntervals bool
}

// runner is the state of a run.
type runner struct {
	opts    Options
	start   time.Time
	results []Result

	mu       sync.Mutex
	sessions map[string]*client.Session
}

// Run makes every call at its time and returns the results in the order of the entries. If ctx ends, it returns early,
// without results for the calls that were not due yet.
func Run(ctx context.Context, opts Options) []Result {
	if opts.Speed <= 0 {
		opts.Speed = 1
	}
	if opts.MaxInFlight <= 0 {
		opts.MaxInFlight = defaultMaxInFlight
	}
	r := &runner{
		opts:     opts,
		start:    time.Now(),
		results:  make([]Result, len(opts.Entries)),
		sessions: make(map[string]*client.Session),
	}
	return r.results[:r.run(ctx)]
}

// run makes the calls and returns how many were started.
func (r *runner) run(ctx context.Context) int {
	var calls sync.WaitGroup
	defer calls.Wait()
	slots := make(chan struct{}, r.opts.MaxInFlight)
	for i, entry := range r.opts.Entries {
		due := time.Duration(float64(entry.At) / r.opts.Speed)
		if !sleepUntil(ctx, r.start.Add(due)) {
			return i
		}
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			r.call(ctx, i, entry, due)
		})
	}
	return len(r.opts.Entries)
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	return sleep.For(ctx, wait)
}

// call makes one call and records its result.
func (r *runner) call(ctx context.Context, i int, entry trace.Entry, due time.Duration) {
	result := &r.results[i]
	*result = Result{Entry: entry, Call: fmt.Sprintf("%s%d", r.opts.CallPrefix, i), Due: due}
	deadline := entry.Deadline
	if deadline == 0 {
		deadline = defaultDeadline
	}
	ctx, cancel := context.WithDeadline(ctx, r.start.Add(due+deadline+answerGrace))
	defer cancel()
	caller := r.opts.ClientFor(entry.Team)
	var err error
	switch {
	case entry.Kind == trace.KindPlain:
		err = r.plainCall(ctx, caller, result)
	case entry.Stream:
		err = r.chatStream(ctx, caller, result)
	default:
		err = r.chat(ctx, caller, result)
	}
	result.Latency = r.sinceDue(due)
	result.recordError(err)
	if r.opts.OnDone != nil {
		r.opts.OnDone(result)
	}
}

func (r *runner) sinceDue(due time.Duration) time.Duration { return time.Since(r.start) - due }

func (r *runner) plainCall(ctx context.Context, caller *client.Client, result *Result) error {
	entry := result.Entry
	answer, err := caller.Call(ctx, client.PlainCall{
		Service:    entry.Service,
		Method:     entry.Method,
		Path:       plainPath(entry, result.Call),
		Body:       plainBody(entry, result.Call),
		Repeatable: !entry.OnceOnly,
		Priority:   &entry.Priority,
	})
	if err != nil {
		return err
	}
	result.recordInfo(answer.Info)
	result.Answered = true
	if !r.opts.SkipTextCheck && len(plainBody(entry, result.Call)) > 0 && !isOwnAnswer(answer.Body, result.Call) {
		result.Text = TextWrong
	}
	return nil
}

// isOwnAnswer reports whether the answer of a fake server echoes the call's own body.
func isOwnAnswer(body []byte, call string) bool { return script.ParseCall(string(body)) == call }

func (r *runner) chatCall(result *Result) client.ChatCall {
	entry := result.Entry
	return client.ChatCall{
		Request:  chatRequest(entry, result.Call),
		Service:  entry.Service,
		Class:    entry.Class,
		Priority: &entry.Priority,
		Session:  r.session(entry.Session),
	}
}

func (r *runner) session(name string) *client.Session {
	if name == "" {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	session, ok := r.sessions[name]
	if !ok {
		session = &client.Session{}
		r.sessions[name] = session
	}
	return session
}

func (r *runner) chat(ctx context.Context, caller *client.Client, result *Result) error {
	call := r.chatCall(result)
	answer, err := caller.Chat(ctx, call)
	if err != nil {
		return err
	}
	result.recordInfo(answer.Info)
	result.Answered = true
	r.recordText(result, call.Request, answer.Text(), int(answer.Completion.Usage.CompletionTokens))
	return nil
}

func (r *runner) chatStream(ctx context.Context, caller *client.Client, result *Result) error {
	call := r.chatCall(result)
	var words []string
	var last time.Time
	for event, err := range caller.ChatStream(ctx, call) {
		result.recordInfo(event.Info)
		if err != nil {
			result.recordBrokenStream(len(words))
			return err
		}
		switch {
		case event.Restart:
			words = words[:event.Index]
			result.Restarts++
		case event.Done:
			result.Answered = true
			r.recordText(result, call.Request, joinWords(words), len(words))
		default:
			words = append(words, event.Text)
			last = r.recordToken(result, last)
		}
	}
	return nil
}

// recordToken records the arrival of a token and returns its time; last is the time of the token before, or zero.
func (r *runner) recordToken(result *Result, last time.Time) time.Time {
	now := time.Now()
	if result.FirstToken == 0 {
		result.FirstToken = r.sinceDue(result.Due)
	}
	if r.opts.KeepIntervals && !last.IsZero() {
		result.Intervals = append(result.Intervals, now.Sub(last))
	}
	return now
}

func joinWords(words []string) string {
	var text []byte
	for _, word := range words {
		text = append(text, word...)
	}
	return string(text)
}

func (r *runner) recordText(result *Result, request api.ChatRequest, text string, tokens int) {
	result.Tokens = tokens
	if r.opts.SkipTextCheck {
		return
	}
	result.Text = classifyText(request, result.Version, text)
	result.Quality, _ = script.ParseQuality(text)
}

// recordBrokenStream records that a stream broke off after a number of words and wasn't resumed.
func (r *Result) recordBrokenStream(words int) {
	r.Tokens = words
	if words > 0 {
		r.Text = TextCut
	}
}

func (r *Result) recordInfo(info client.Info) {
	if info.RequestID != "" && (len(r.RequestIDs) == 0 || r.RequestIDs[len(r.RequestIDs)-1] != info.RequestID) {
		r.RequestIDs = append(r.RequestIDs, info.RequestID)
	}
	r.Node = info.Node
	r.Version = info.Version
	r.Pinned = info.Pinned
	r.Repinned = r.Repinned || !info.RepinnedFrom.IsZero()
	r.Tries = info.Tries
	r.Resumes = info.Resumes
}

// recordError records why a call was not answered. Without a problem from the system in err the call counts as lost.
func (r *Result) recordError(err error) {
	if err == nil {
		return
	}
	r.Err = err.Error()
	var failed *client.ErrFailed
	if errors.As(err, &failed) {
		r.Tries = failed.Tries
	}
	var problem *api.Problem
	if errors.As(err, &problem) {
		r.Outcome = client.OutcomeOf(err)
		r.Reason = problem.Reason
		if problem.RequestID != "" {
			r.RequestIDs = append(r.RequestIDs, problem.RequestID)
		}
	}
}
