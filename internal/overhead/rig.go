// Package overhead measures what a node adds to a request: the same requests go through a node and straight to the
// stand-in behind it, side by side in one run.
package overhead

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/internal/dev"
	"github.com/monsoonrail/monsoonrail/internal/fake/enginefake"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/play"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Error is the class of every error of the package.
var Error = errs.Class("overhead")

const (
	// team is the one that calls.
	team api.Team = "bench"
	// fastModel answers at once, slowModel at slowSpeed.
	fastModel = "fast"
	slowModel = "slow"
	// fastSpeed and slowSpeed are tokens per second.
	fastSpeed = 1e6
	slowSpeed = 10
	// answerTokens is the length of a fast answer.
	answerTokens = 8
	// slots is more than any run opens.
	slots = 1 << 16
	// warmUp is how long a new node has to learn of its engines.
	warmUp = 3 * time.Second
)

// ErrStatus means that a request was answered with an unexpected status.
type ErrStatus struct {
	URL    string
	Status int
	Body   string
}

// Error implements error.
func (e *ErrStatus) Error() string { return fmt.Sprintf("%s: status %d: %s", e.URL, e.Status, e.Body) }

// Way is how a request reaches the stand-in.
type Way string

// Ways of a request.
const (
	WayDirect Way = "Direct"
	WayNode   Way = "Node"
)

// rig is a node, an engine and a caller.
type rig struct {
	system *dev.System
	client *http.Client
	urls   map[Way]string
}

// config returns a fleet with one service, whose fast model answers at once.
func config() *fleet.Config {
	return &fleet.Config{
		Fleet:          "bench",
		FailureDomains: []fleet.FailureDomain{{Name: "one", Region: "one"}},
		Defaults: fleet.Policy{
			Allowed: []string{"*"}, Services: []string{"*"}, QualityTarget: 0.5, Deadline: time.Hour, KeepAnswers: time.Second,
		},
		Services: []fleet.Service{{Name: "engine", Kind: fleet.KindEngine, Classes: []api.Class{"any"}, Models: []fleet.Model{
			{Name: fastModel, Versions: []fleet.Version{{Name: "1", State: fleet.StateServing, PromptCost: 1, AnswerCost: 1, PriorQuality: 0.9}}},
			{Name: slowModel, Versions: []fleet.Version{{Name: "1", State: fleet.StateServing, PromptCost: 1, AnswerCost: 1, PriorQuality: 0.9}}},
		}}},
		Teams: []fleet.Team{{Name: team, KeyHashes: []string{play.HashOfKey(team)}, Weight: 1, Service: "engine"}},
	}
}

// retune makes the engine large and fast, but for the slow model.
func retune(opts *enginefake.Options) {
	opts.Slots = slots
	opts.TokensPerSecond = fastSpeed
	opts.BatchSlowdown = 0
	opts.PrefillTokensPerSecond = 0
	for i := range opts.Versions {
		if opts.Versions[i].ID.Model == slowModel {
			opts.Versions[i].Speed = slowSpeed / fastSpeed
		}
	}
}

// newRig starts a rig on loopback addresses that begin with a prefix.
func newRig(ctx context.Context, prefix string) (*rig, error) {
	system, err := dev.Start(ctx, dev.Options{
		Config: config(), Prefix: prefix, Nodes: 1, Engines: 1, Seed: 1,
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	for _, engine := range system.Engines() {
		engine.Reconfigure(retune)
	}
	r := &rig{system: system, client: &http.Client{Transport: tcp.NewTransport(tcp.System{})}}
	r.urls = map[Way]string{WayDirect: "http://" + system.Servers()[0].Address, WayNode: system.NodeURL(0)}
	time.Sleep(warmUp)
	return r, nil
}

func (r *rig) close() {
	r.client.CloseIdleConnections()
	r.system.Close()
}

// running returns the requests that the stand-in works on.
func (r *rig) running() int {
	running := 0
	for _, engine := range r.system.Engines() {
		running += engine.Running()
	}
	return running
}

// cancel ends a direct request at the stand-in, which goes on with one whose caller hung up.
func (r *rig) cancel(ctx context.Context, id int) error {
	url := fmt.Sprintf("%s/v1/requests/%s", r.urls[WayDirect], requestID(WayDirect, id))
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, url, nil)
	if err != nil {
		return Error.Wrap(err)
	}
	response, err := r.client.Do(request)
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(response.Body.Close())
}

func requestID(way Way, id int) string { return fmt.Sprintf("%s-%d", way, id) }

// body returns the request's body; a node finds the version by its model's name.
func body(model string, stream bool, tokens int) []byte {
	encoded, err := json.Marshal(api.ChatRequest{
		Model:    model + "@1",
		Messages: []api.ChatMessage{{Role: "user", Content: fmt.Sprintf("%s tokens=%d", strings.Repeat("line ", 40), tokens)}},
		Stream:   stream,
	})
	if err != nil {
		panic(err)
	}
	return encoded
}

// open sends a request and returns its answer once its header has come.
func (r *rig) open(ctx context.Context, way Way, id int, body []byte) (*http.Response, error) {
	url := r.urls[way] + "/v1/chat/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+play.KeyOf(team))
	request.Header.Set("X-Request-Id", requestID(way, id))
	response, err := r.client.Do(request)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if response.StatusCode != http.StatusOK {
		defer func() { _ = response.Body.Close() }()
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		return nil, Error.Wrap(&ErrStatus{URL: url, Status: response.StatusCode, Body: string(text)})
	}
	return response, nil
}

// ask sends a request and reads its whole answer.
func (r *rig) ask(ctx context.Context, way Way, id int, body []byte) error {
	response, err := r.open(ctx, way, id, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return Error.Wrap(err)
}
