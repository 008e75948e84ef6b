package replay

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/balance"
)

// Policy names how versions and servers are chosen.
type Policy string

// Policies. A policy that is only about servers takes the versions of PolicyOurs, and the other way round.
const (
	PolicyOurs          Policy = "ours"
	PolicyOracle        Policy = "oracle"
	PolicyBest          Policy = "always-best"
	PolicyCheapest      Policy = "always-cheapest"
	PolicyRandom        Policy = "random"
	PolicyRoundRobin    Policy = "round-robin"
	PolicyLeastInFlight Policy = "least-in-flight"
	// PolicyLeastReported follows the servers' reports alone.
	PolicyLeastReported Policy = "least-reported"
	// PolicyPerfectCache chooses servers as PolicyOurs does, but knows every cache as it is.
	PolicyPerfectCache Policy = "perfect-cache"
)

// Policies lists every policy.
func Policies() []Policy {
	return []Policy{
		PolicyOurs, PolicyOracle, PolicyBest, PolicyCheapest, PolicyRandom, PolicyRoundRobin, PolicyLeastInFlight,
		PolicyLeastReported, PolicyPerfectCache,
	}
}

// ErrUnknownPolicy means that a policy's name is unknown.
type ErrUnknownPolicy struct{ Policy Policy }

// Error implements error.
func (e *ErrUnknownPolicy) Error() string {
	var names []string
	for _, p := range Policies() {
		names = append(names, string(p))
	}
	return fmt.Sprintf("unknown policy %q; known are %s", e.Policy, strings.Join(names, ", "))
}

// Options tells how a trace is replayed.
type Options struct {
	// Versions and Servers say how each is chosen.
	Versions, Servers Policy
	Seed              uint64
	// Nodes is the number of deciders.
	Nodes int
	// Load, above 0, plays the requests in their order but as an even random stream that needs this part
	// of the servers' capacity. 0 keeps the trace's own times.
	Load float64
	// Laps plays the trace so many times in a row.
	Laps int
	// Lag is how late a server's reports and cache events come.
	Lag time.Duration
	// Choices and Stickiness are those of balance.Input.
	Choices    int
	Stickiness float64
	// Admission puts a queue with fair shares and deadlines before the servers, all teams having the same weight.
	Admission bool
	// Slowdown makes a server slow for a part of the replay.
	Slowdown Slowdown
	// Truth replaces what TruthOf says.
	Truth *Truth
}

// Slowdown divides the speed of one server by a factor between two parts, from 0 to 1, of the time in which requests arrive.
// What the server works on at either time goes on at its old speed. A factor of 0 means none.
type Slowdown struct {
	Server   int
	Factor   float64
	From, To float64
}

// Defaults of options.
const (
	DefaultNodes = 8
	DefaultLag   = 2 * time.Second
)

// ForPolicy returns the options of a policy's replay.
func ForPolicy(policy Policy, seed uint64) (Options, error) {
	if !slices.Contains(Policies(), policy) {
		return Options{}, Error.Wrap(&ErrUnknownPolicy{Policy: policy})
	}
	opts := Options{
		Versions: policy, Servers: policy, Seed: seed,
		Nodes: DefaultNodes, Laps: 1, Lag: DefaultLag,
		Choices: balance.DefaultChoices, Stickiness: balance.DefaultStickiness,
	}
	switch policy {
	case PolicyBest, PolicyCheapest:
		opts.Servers = PolicyOurs
	case PolicyRoundRobin, PolicyLeastInFlight, PolicyLeastReported, PolicyPerfectCache:
		opts.Versions = PolicyOurs
	}
	return opts, nil
}
