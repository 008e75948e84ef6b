package promises

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/dev"
	"github.com/monsoonrail/monsoonrail/internal/fake/memnet"
	"github.com/monsoonrail/monsoonrail/internal/fake/script"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/router"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// withoutExceptions is a configuration in which operators' exceptions don't count.
type withoutExceptions struct {
	router.Configs
	// target replaces the quality target; 0 leaves it.
	target api.Quality
}

// Current implements router.Configs.
func (c withoutExceptions) Current() *fleet.Config {
	config := c.Configs.Current()
	if config == nil {
		return nil
	}
	bare := *config
	bare.Exceptions = nil
	if c.target > 0 {
		bare.Defaults.QualityTarget = c.target
	}
	return &bare
}

// alwaysEscalated replaces the first answer of every request by another version's, those of sessions too.
type alwaysEscalated struct{ router.VersionChooser }

// ChooseVersion implements router.VersionChooser.
func (c alwaysEscalated) ChooseVersion(req router.VersionRequest) (router.VersionChoice, bool) {
	choice, ok := c.VersionChooser.ChooseVersion(req)
	if !req.Pin.IsZero() {
		choice.EscalateTo, choice.EscalateBelow = control, 2
		if req.Pin == control {
			choice.EscalateTo = api.VersionID{Model: "swift", Version: "3.2"}
		}
	}
	return choice, ok
}

// handsOver hands every request to an engine behind the router's back and then says that it had no room for it.
type handsOver struct {
	router.Admission
	network tcp.Network
}

// Admit implements router.Admission.
func (a handsOver) Admit(ctx context.Context, _ router.AdmissionRequest) (router.Admitted, error) {
	client := &http.Client{Transport: &http.Transport{DialContext: a.network.DialContext, DisableKeepAlives: true}}
	prompt := script.Prompt{Call: "c0", AnswerTokens: answerTokens}.String()
	body, err := json.Marshal(api.ChatRequest{Model: control.String(), Messages: []api.ChatMessage{{Role: "user", Content: prompt}}})
	if err != nil {
		return router.Admitted{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://127.1.2.1:8000/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return router.Admitted{}, err
	}
	req.Header.Set("X-Request-Id", "hidden-1")
	resp, err := client.Do(req)
	if err != nil {
		return router.Admitted{}, err
	}
	_ = resp.Body.Close()
	return router.Admitted{}, api.NewProblem(api.ReasonOverloaded, http.StatusServiceUnavailable, api.OutcomeNotRun, "no room")
}

// noOwner runs every key's request here.
type noOwner struct{ router.KeyResolver }

// Resolve implements router.KeyResolver.
func (noOwner) Resolve(context.Context, router.KeyRequest) (router.KeyResolution, error) {
	return router.KeyResolution{}, nil
}

// twice bills each request two times, never none.
type twice struct{ router.Biller }

// Add implements router.Biller.
func (b twice) Add(ctx context.Context, bill router.Bill) error {
	again := bill
	again.RequestID += "-again"
	return errorOf(b.Biller.Add(ctx, bill), b.Biller.Add(ctx, again))
}

// never bills nothing.
type never struct{ router.Biller }

// Add implements router.Biller.
func (never) Add(context.Context, router.Bill) error { return nil }

func errorOf(first, second error) error {
	if first != nil {
		return first
	}
	return second
}

// TestOracleCatchesMutations breaks each promise on purpose; the oracle must name it.
func TestOracleCatchesMutations(t *testing.T) {
	ask := func(kind StepKind, at time.Duration) Step { return Step{Kind: kind, At: at} }
	alter := func(change func(*router.Options)) func(*dev.Options) {
		return func(opts *dev.Options) { opts.Alter = change }
	}
	for _, test := range []struct {
		promise string
		steps   []Step
		opts    Options
		want    string
	}{
		{
			promise: "a request runs only on a version that its team is allowed",
			steps:   []Step{ask(StepChat, time.Second)},
			opts:    Options{Change: alter(func(o *router.Options) { o.Configs = withoutExceptions{o.Configs, 0.91} })},
			want:    "is not allowed",
		},
		{
			promise: "a withdrawn version receives no new work",
			steps:   []Step{{Kind: StepWithdraw, At: time.Second, Server: 1}, ask(StepChat, 15*time.Second), ask(StepStream, 16*time.Second)},
			opts: Options{Change: alter(func(o *router.Options) {
				o.Configs = withoutExceptions{o.Configs, 0}
			})},
			want: "was withdrawn",
		},
		{
			promise: "a session keeps its version",
			steps:   []Step{{Kind: StepChat, At: time.Second, Session: 1}, {Kind: StepChat, At: 5 * time.Second, Session: 1}},
			opts:    Options{Change: alter(func(o *router.Options) { o.Versions = alwaysEscalated{o.Versions} })},
			want:    "session on",
		},
		{
			promise: "each request is billed once, not twice",
			steps:   []Step{ask(StepChat, time.Second)},
			opts:    Options{Change: alter(func(o *router.Options) { o.Bills = twice{o.Bills} })},
			want:    "requests billed",
		},
		{
			promise: "each request is billed once, not never",
			steps:   []Step{ask(StepChat, time.Second)},
			opts:    Options{Change: alter(func(o *router.Options) { o.Bills = never{o.Bills} })},
			want:    "requests billed",
		},
		{
			promise: "every caller receives the whole answer to its own request",
			steps:   []Step{ask(StepChat, time.Second), ask(StepStream, 2*time.Second)},
			opts: Options{Started: func(s *dev.System, _ *memnet.Network) {
				for _, engine := range s.Engines()[1:] {
					engine.DegradeAnswers(api.VersionID{Model: "scholar", Version: "2.0"}, 0.5)
					engine.DegradeAnswers(api.VersionID{Model: "scholar", Version: "2.1"}, 0.5)
					engine.DegradeAnswers(api.VersionID{Model: "swift", Version: "3.2"}, 0.5)
				}
				s.Engines()[0].SetLeaving(true)
			}},
			want: "wrong answer",
		},
		{
			promise: "a refusal that says not run is true",
			steps:   []Step{{Kind: StepChat, At: time.Second, Key: KeyOwn}},
			opts: Options{Change: func(o *dev.Options) {
				network := o.Networks(callerIP)
				o.Alter = func(r *router.Options) { r.Admission = handsOver{r.Admission, network} }
			}},
			want: "NotRun but it ran",
		},
		{
			promise: "a request that may not be repeated runs at most once",
			steps:   []Step{{Kind: StepOnce, At: time.Second, Key: KeyOwn, Node: 0, Other: 1, Resend: time.Second}},
			opts:    Options{Change: alter(func(o *router.Options) { o.Keys = noOwner{o.Keys} })},
			want:    "once-only request ran 2 times",
		},
		{
			promise: "a leaving backend server receives no new work",
			steps: []Step{
				{Kind: StepLeaveServer, At: time.Second, For: maxFault, Server: planEngines},
				ask(StepOnce, 7*time.Second), ask(StepOnce, 8*time.Second), ask(StepOnce, 9*time.Second), ask(StepOnce, 10*time.Second),
			},
			opts: Options{Started: func(s *dev.System, _ *memnet.Network) {
				s.VMs.Freeze()
				s.PlainServers()[0].IgnoreLeaving(true)
			}},
			want: "leaves since",
		},
		{
			promise: "a planned stop cuts no request",
			steps:   []Step{ask(StepStream, time.Second), {Kind: StepDrainNode, At: 1100 * time.Millisecond}},
			opts: Options{
				Change: func(o *dev.Options) { o.DrainTimeout = time.Second },
				Started: func(s *dev.System, _ *memnet.Network) {
					for _, engine := range s.Engines() {
						engine.SetSlowdown(20)
					}
				},
			},
			want: "a planned stop cut a request",
		},
		{
			promise: "an accepted configuration is in force everywhere",
			steps:   []Step{{Kind: StepWithdraw, At: time.Second}},
			opts: Options{Started: func(_ *dev.System, network *memnet.Network) {
				time.AfterFunc(warmUp, func() {
					for _, ip := range []string{"127.1.0.1", "127.1.1.1", "127.1.1.2"} {
						network.Cut("127.1.1.3", ip)
					}
				})
			}},
			want: "node 2 is at revision 1, accepted is 2",
		},
		{
			promise: "an aborted roll-out ends",
			steps: []Step{
				{Kind: StepRollOut, At: time.Second}, {Kind: StepCommand, At: 3 * time.Second},
				// The stand-in loses the record of the abort, and with it the word of the operator.
				{Kind: StepStoreDropsWatches, At: 4 * time.Second},
			},
			opts: Options{Started: func(s *dev.System, _ *memnet.Network) {
				time.AfterFunc(warmUp+2*time.Second, func() {
					older := s.KV.Snapshot()
					time.AfterFunc(1100*time.Millisecond, func() { s.KV.Restore(older) })
				})
			}},
			want: "after the abort of",
		},
		{
			promise: "a holder whose lease is gone writes nothing",
			steps:   []Step{{Kind: StepRollOut, At: time.Second}},
			opts: Options{Started: func(s *dev.System, _ *memnet.Network) {
				time.AfterFunc(warmUp+1200*time.Millisecond, func() {
					older := s.KV.Snapshot()
					time.AfterFunc(12*time.Second, func() { s.KV.Restore(older) })
				})
			}},
			want: "went back from transition",
		},
	} {
		t.Run(test.promise, func(t *testing.T) {
			test.opts.Config = loadConfig(t)
			breaches := strings.Join(runBubble(t, test.steps, test.opts), "\n")
			qt.Check(t, breaches, qt.Contains, test.want)
		})
	}
}
