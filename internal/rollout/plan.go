// Package rollout brings a new version of a model into service step by step. A roll-out is a state machine whose every
// transition is a compare-and-swap in the key-value service, so that any node that takes over the lease can continue it.
// The candidate's share grows only on evidence, and an exposure budget that is split between the nodes bounds the
// requests that an unhealthy version gets before it is stopped.
package rollout

import (
	"bytes"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/monsoonrail/monsoonrail/internal/suspect"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// defaultFalseAlarm is the default of Plan.FalseAlarm.
	defaultFalseAlarm = 0.01
	// defaultProgressTimeout is the default of Plan.Patience.
	defaultProgressTimeout = time.Hour
	// maxSteps bounds the steps of a plan.
	maxSteps = 20
	// maxWindow bounds the window of a step.
	maxWindow = 1 << 20
)

// ID identifies a roll-out.
type ID string

// Step is a step of a plan: a share of the requests and the conditions for the next step.
type Step struct {
	// Share is the share of the new requests that the candidate receives, above 0 and at most 1.
	Share float64 `yaml:"Share"`
	// Requests is how many results on the candidate the step requires.
	Requests uint64 `yaml:"Requests"`
	// Dwell is the minimum duration of the step.
	Dwell time.Duration `yaml:"Dwell"`
	// Window bounds the requests to the candidate whose result is still pending, over all nodes.
	Window int `yaml:"Window"`
}

// Plan is an operator's plan of a roll-out.
type Plan struct {
	ID      ID          `yaml:"ID"`
	Service api.Service `yaml:"Service"`
	// Version is the candidate, Control the version that it is compared with.
	Version api.VersionID `yaml:"Version"`
	Control api.VersionID `yaml:"Control"`
	// Steps have growing shares.
	Steps []Step `yaml:"Steps,omitempty"`
	// FalseAlarm is the largest probability that the roll-out stops a version as good as its control; 0 means the default.
	FalseAlarm float64 `yaml:"FalseAlarm,omitempty"`
	// Patience is how long the roll-out waits for servers, ratings or requests before it pauses; 0 means the default.
	Patience time.Duration `yaml:"Patience,omitempty"`
	// DrainControl sets the control to Draining at the end.
	DrainControl bool `yaml:"DrainControl,omitempty"`
	// Author is the name of the operator's key.
	Author string `yaml:"-"`
	Reason string `yaml:"Reason"`
}

// DefaultSteps returns the steps of a plan that sets none.
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
		p.Patience = defaultProgressTimeout
	}
	return p
}

// Horizon returns the number of requests that the candidate is assumed to get before the end of the roll-out, for Threshold: in each
// step twice the required requests plus the window.
func (p Plan) Horizon() float64 {
	var requests float64
	for _, step := range p.Steps {
		requests += 2*float64(step.Requests) + float64(step.Window)
	}
	return requests
}

// Threshold returns the evidence in nats that stops the candidate.
func (p Plan) Threshold() float64 { return suspect.Threshold(p.Horizon(), p.FalseAlarm) }

// DecodePlan decodes a plan from a file in YAML or JSON; unknown fields are rejected. The error is IsErrBadPlanFile.
func DecodePlan(data []byte) (Plan, error) {
	var plan Plan
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(&plan); err != nil {
		return Plan{}, Error.Wrap(&ErrBadPlanFile{Cause: err})
	}
	return plan, nil
}

// Check returns nil for a plan that can be carried out. The error is IsErrBadPlan.
func (p Plan) Check() error {
	switch {
	case p.ID == "" || p.Service == "":
		return badPlan("ID", "", "an id and a service")
	case p.Version.Model == "" || p.Version.Version == "":
		return badPlan("Version", p.Version.String(), "model@version")
	case p.Control.Model == "" || p.Control.Version == "" || p.Control == p.Version:
		return badPlan("Control", p.Control.String(), "model@version other than the candidate")
	case p.Author == "" || p.Reason == "":
		return badPlan("Reason", p.Reason, "a reason and an author")
	case len(p.Steps) == 0 || len(p.Steps) > maxSteps:
		return badPlan("Steps", "", "1 to 20 steps")
	case !(p.FalseAlarm > 0 && p.FalseAlarm <= 0.5):
		return badPlan("FalseAlarm", "", "above 0 and at most 0.5")
	case p.Patience <= 0:
		return badPlan("Patience", p.Patience.String(), "a duration above 0")
	}
	share := 0.0
	for _, step := range p.Steps {
		if !(step.Share > share && step.Share <= 1) {
			return badPlan("Steps", "", "shares that grow, above 0 and at most 1")
		}
		if step.Window < 1 || step.Window > maxWindow || step.Requests == 0 {
			return badPlan("Steps", "", "a window of 1 to 1048576 and at least one request")
		}
		share = step.Share
	}
	return nil
}

func badPlan(field, value, allowed string) error {
	return Error.Wrap(&ErrBadPlan{Field: field, Value: value, Allowed: allowed})
}
