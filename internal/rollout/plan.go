// Package rollout brings a new version of a model into service step by step. A roll-out is a state machine whose every
// transition is a compare-and-swap in the key-value service; any node that holds the lease of the duty carries it on
// from there. Shares grow only on evidence, and an exposure budget that is split between the nodes bounds what a bad
// version can do before it is stopped.
package rollout

import (
	"bytes"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/monsoonrail/monsoonrail/internal/suspect"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// defaultFalseAlarm is the largest probability that a roll-out stops a version as good as its control.
	defaultFalseAlarm = 0.01
	// defaultPatience is how long a roll-out waits without progress before it pauses.
	defaultPatience = time.Hour
	// maxSteps bounds the steps of a plan.
	maxSteps = 20
	// maxWindow bounds the window of a step.
	maxWindow = 1 << 20
)

// ID names a roll-out.
type ID string

// Step is a share of the traffic and what must be seen before the next one.
type Step struct {
	// Share is the part of new requests that the candidate receives, above 0 and at most 1.
	Share float64 `yaml:"Share"`
	// Requests is how many results on the candidate the step needs.
	Requests uint64 `yaml:"Requests"`
	// Dwell is the least duration of the step.
	Dwell time.Duration `yaml:"Dwell"`
	// Window is the number of requests whose result may be unknown at any time, over all nodes.
	Window int `yaml:"Window"`
}

// Plan is what an operator asks for.
type Plan struct {
	ID      ID          `yaml:"ID"`
	Service api.Service `yaml:"Service"`
	// Version is the candidate, Control the version that it is compared with.
	Version api.VersionID `yaml:"Version"`
	Control api.VersionID `yaml:"Control"`
	// Steps have growing shares.
	Steps []Step `yaml:"Steps,omitempty"`
	// FalseAlarm is the largest probability that a version as good as its control is stopped.
	FalseAlarm float64 `yaml:"FalseAlarm,omitempty"`
	// Patience is how long the roll-out waits for servers, ratings or requests before it pauses.
	Patience time.Duration `yaml:"Patience,omitempty"`
	// DrainControl sets the control to Draining at the end.
	DrainControl bool `yaml:"DrainControl,omitempty"`
	// Author is the name of the operator's key.
	Author string `yaml:"-"`
	Reason string `yaml:"Reason"`
}

// DefaultSteps are the steps of a plan that names none.
func DefaultSteps() []Step {
	return []Step{
		{Share: 0.01, Requests: 20, Dwell: 30 * time.Second, Window: 8},
		{Share: 0.05, Requests: 60, Dwell: 30 * time.Second, Window: 16},
		{Share: 0.10, Requests: 100, Dwell: time.Minute, Window: 16},
		{Share: 0.25, Requests: 150, Dwell: time.Minute, Window: 64},
		{Share: 0.50, Requests: 250, Dwell: time.Minute, Window: 256},
	}
}

// WithDefaults returns the plan with every unset field set.
func (p Plan) WithDefaults() Plan {
	if len(p.Steps) == 0 {
		p.Steps = DefaultSteps()
	}
	if p.FalseAlarm == 0 {
		p.FalseAlarm = defaultFalseAlarm
	}
	if p.Patience == 0 {
		p.Patience = defaultPatience
	}
	return p
}

// Horizon returns how many requests the candidate gets before the end, as the threshold of the tests counts them: each
// step may take twice its requests, and its window.
func (p Plan) Horizon() float64 {
	var requests float64
	for _, step := range p.Steps {
		requests += 2*float64(step.Requests) + float64(step.Window)
	}
	return requests
}

// Threshold returns the evidence in nats that stops the candidate.
func (p Plan) Threshold() float64 { return suspect.Threshold(p.Horizon(), p.FalseAlarm) }

// DecodePlan reads a plan that is kept in version control, in YAML or JSON; unknown names are refused.
// The error is IsErrBadPlanFile.
func DecodePlan(data []byte) (Plan, error) {
	var plan Plan
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(&plan); err != nil {
		return Plan{}, Error.Wrap(&ErrBadPlanFile{Cause: err})
	}
	return plan, nil
}

// Check returns ErrBadPlan for a plan that can't be carried out.
func (p Plan) Check() error {
	switch {
	case p.ID == "" || p.Service == "":
		return bad("ID", "", "an id and a service")
	case p.Version.Model == "" || p.Version.Version == "":
		return bad("Version", p.Version.String(), "model@version")
	case p.Control.Model == "" || p.Control.Version == "" || p.Control == p.Version:
		return bad("Control", p.Control.String(), "model@version other than the candidate")
	case p.Author == "" || p.Reason == "":
		return bad("Reason", p.Reason, "a reason and an author")
	case len(p.Steps) == 0 || len(p.Steps) > maxSteps:
		return bad("Steps", "", "1 to 20 steps")
	case !(p.FalseAlarm > 0 && p.FalseAlarm <= 0.5):
		return bad("FalseAlarm", "", "above 0 and at most 0.5")
	case p.Patience <= 0:
		return bad("Patience", p.Patience.String(), "a duration above 0")
	}
	share := 0.0
	for _, step := range p.Steps {
		if !(step.Share > share && step.Share <= 1) {
			return bad("Steps", "", "shares that grow, above 0 and at most 1")
		}
		if step.Window < 1 || step.Window > maxWindow || step.Requests == 0 {
			return bad("Steps", "", "a window of 1 to 1048576 and at least one request")
		}
		share = step.Share
	}
	return nil
}

func bad(field, value, allowed string) error {
	return Error.Wrap(&ErrBadPlan{Field: field, Value: value, Allowed: allowed})
}
