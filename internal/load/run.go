// Package load makes the calls of a trace as an open loop: each at its time, whether earlier ones are answered or not,
// with latencies that count from the time when the call was due.
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
	// defaultDeadline is that of an entry that names none.
	defaultDeadline = time.Minute
	// answerGrace is how long a caller waits past its deadline for the refusal that tells it so.
	answerGrace = 5 * time.Second
	// defaultMaxInFlight bounds the open calls; at the bound the generator waits, which shows as latency.
	defaultMaxInFlight = 20_000
)

// Options describe a run.
type Options struct {
	Entries []trace.Entry
	// Speed divides the times between arrivals; 0 means 1.
	Speed float64
	// ClientFor returns the client that calls for a team.
	ClientFor func(team api.Team) *client.Client
	// MaxInFlight bounds the open calls; 0 means 20,000.
	MaxInFlight int
	// CallPrefix begins the names of the calls.
	CallPrefix string
	// OnDone, if set, is called after each call, by many goroutines.
	OnDone func(result *Result)
	// SkipTextCheck leaves answers unchecked: those of engines that are no stand-ins can't be foretold.
	SkipTextCheck bool
	// KeepIntervals keeps the times between tokens.
	KeepIntervals bool
}

// runner is a run under way.
type runner struct {
	opts    Options
	start   time.Time
	results []Result

	mu       sync.Mutex
	sessions map[string]*client.Session
}

// Run makes every call at its time and returns what their callers saw, in the order of the entries.
// It returns early, without the calls that were not due yet, if ctx ends.
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

// run returns how many calls were begun.
func (r *runner) run(ctx context.Context) int {
	var open sync.WaitGroup
	defer open.Wait()
	places := make(chan struct{}, r.opts.MaxInFlight)
	for i, entry := range r.opts.Entries {
		due := time.Duration(float64(entry.At) / r.opts.Speed)
		if !sleepUntil(ctx, r.start.Add(due)) {
			return i
		}
		places <- struct{}{}
		open.Go(func() {
			defer func() { <-places }()
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

// call makes one call and notes what its caller sees.
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
		err = r.plain(ctx, caller, result)
	case entry.Stream:
		err = r.stream(ctx, caller, result)
	default:
		err = r.whole(ctx, caller, result)
	}
	result.Latency = r.sinceDue(due)
	result.takeError(err)
	if r.opts.OnDone != nil {
		r.opts.OnDone(result)
	}
}

func (r *runner) sinceDue(due time.Duration) time.Duration { return time.Since(r.start) - due }

func (r *runner) plain(ctx context.Context, caller *client.Client, result *Result) error {
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
	result.takeInfo(answer.Info)
	result.Answered = true
	if !r.opts.SkipTextCheck && len(plainBody(entry, result.Call)) > 0 && !isOwnAnswer(answer.Body, result.Call) {
		result.Text = TextWrong
	}
	return nil
}

// isOwnAnswer reports whether the answer of a stand-in echoes the call's own body.
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

func (r *runner) whole(ctx context.Context, caller *client.Client, result *Result) error {
	call := r.chatCall(result)
	answer, err := caller.Chat(ctx, call)
	if err != nil {
		return err
	}
	result.takeInfo(answer.Info)
	result.Answered = true
	r.takeText(result, call.Request, answer.Text(), int(answer.Completion.Usage.CompletionTokens))
	return nil
}

func (r *runner) stream(ctx context.Context, caller *client.Client, result *Result) error {
	call := r.chatCall(result)
	var words []string
	var last time.Time
	for event, err := range caller.ChatStream(ctx, call) {
		result.takeInfo(event.Info)
		if err != nil {
			result.endShort(len(words))
			return err
		}
		switch {
		case event.Restart:
			words = words[:event.Index]
			result.Restarts++
		case event.Done:
			result.Answered = true
			r.takeText(result, call.Request, join(words), len(words))
		default:
			words = append(words, event.Text)
			last = r.noteToken(result, last)
		}
	}
	return nil
}

// noteToken notes the time of a token and returns it.
func (r *runner) noteToken(result *Result, last time.Time) time.Time {
	now := time.Now()
	if result.FirstToken == 0 {
		result.FirstToken = r.sinceDue(result.Due)
	}
	if r.opts.KeepIntervals && !last.IsZero() {
		result.Intervals = append(result.Intervals, now.Sub(last))
	}
	return now
}

func join(words []string) string {
	var text []byte
	for _, word := range words {
		text = append(text, word...)
	}
	return string(text)
}

func (r *runner) takeText(result *Result, request api.ChatRequest, text string, tokens int) {
	result.Tokens = tokens
	if r.opts.SkipTextCheck {
		return
	}
	result.Text = checkText(request, result.Version, text)
	result.Quality, _ = script.ParseQuality(text)
}

// endShort notes a stream that broke for good after some text.
func (r *Result) endShort(words int) {
	r.Tokens = words
	if words > 0 {
		r.Text = TextCut
	}
}

func (r *Result) takeInfo(info client.Info) {
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

// takeError notes a refusal; an error that is none leaves the call lost.
func (r *Result) takeError(err error) {
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
