// Package trial is a node's part in the trial of versions: it counts what their answers are like, holds the node's part
// of each roll-out's exposure budget, exchanges both with the peers and stops versions that turn bad, at once and
// without the key-value service.
package trial

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/rollout"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/internal/suspect"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// tickEvery is the time between two rounds of weighing and reporting.
	tickEvery = time.Second
	// idleReports is the number of rounds after which a report goes out though nothing changed.
	idleReports = 4
	// lostAfter without a report, a node gets no new part of a budget.
	lostAfter = 12 * time.Second
	// forgetAfter is how long the report of a node that is gone counts.
	forgetAfter = time.Hour
	// maxKeys bounds the classes and versions that are counted; answers of further ones are not.
	maxKeys = 4096
	// maxReports bounds the nodes whose reports are kept; those of further ones are dropped.
	maxReports = 1024
)

// Configs is the node's copy of the configuration.
type Configs interface {
	Current() *fleet.Config
}

// Options configures New.
type Options struct {
	Node        api.NodeID
	Incarnation api.Incarnation
	Configs     Configs
	// Nodes returns how many nodes are known to be live, this one too. Nil means this one alone.
	Nodes func() int
	// Notify has the peers told of a stop at once; it must not block. Nil leaves it to the next exchange.
	Notify func()
	Log    log.Interface
}

// Node is the duty and the state of one node. Its methods may be called by many goroutines.
type Node struct {
	opts   Options
	packer packer

	mu sync.Mutex
	// tallies holds the node's own counts.
	tallies map[suspect.Key]*suspect.Tally
	// runs holds the requests whose result is not known in full yet.
	runs map[runID]*runState
	// taken holds, by service, when requests were taken that were not handed to a server yet, the oldest first.
	taken map[api.Service][]time.Time
	// gates holds the node's part of each service's roll-out.
	gates map[api.Service]*rollout.Gate
	// serving watches the versions in service by their own history.
	serving map[suspect.Key]*suspect.History
	// suspicions is what this node tells the others of the versions in service.
	suspicions []suspect.Suspicion
	// ownNats is the evidence of the node's own detectors against versions in service.
	ownNats map[suspect.Subject]float64
	// holds maps versions in service that get no new sessions from this node to the time of that.
	holds map[suspect.Subject]*hold
	// fleetSize is the largest number of nodes that was known at a time; the false-alarm bound holds for it.
	fleetSize int
	// pools holds the evidence of all nodes on each roll-out's candidate.
	pools map[rollout.ID]*suspect.Pool
	stops *suspect.Stops
	// shared is what goes to and comes from the peers.
	shared shared
	// number counts own reports, rounds those without one.
	number uint64
	rounds int
}

// New returns a node that has counted nothing.
func New(opts Options) *Node {
	return &Node{
		opts:    opts,
		tallies: map[suspect.Key]*suspect.Tally{},
		runs:    map[runID]*runState{},
		taken:   map[api.Service][]time.Time{},
		gates:   map[api.Service]*rollout.Gate{},
		serving: map[suspect.Key]*suspect.History{},
		ownNats: map[suspect.Subject]float64{},
		holds:   map[suspect.Subject]*hold{},
		pools:   map[rollout.ID]*suspect.Pool{},
		stops:   suspect.NewStops(),
		shared:  newShared(),
	}
}

func (n *Node) count(key suspect.Key, add func(*suspect.Tally)) {
	tally, ok := n.tallies[key]
	if !ok {
		if len(n.tallies) >= maxKeys {
			return
		}
		tally = new(suspect.Tally)
		n.tallies[key] = tally
	}
	add(tally)
}

// IsOnTrial reports whether a roll-out decides which requests a version gets.
func (n *Node) IsOnTrial(service api.Service, version api.VersionID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isCandidate(suspect.Key{Service: service, Version: version})
}

// Take reports whether a caller's request may go to a candidate, and takes it out of the node's part of the budget;
// draw is uniform in [0, 1). The request is then Dispatched, or its part of the budget comes back after a while.
func (n *Node) Take(service api.Service, version api.VersionID, draw float64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	gate, ok := n.gates[service]
	if !ok || gate.Grant().Version != version || !gate.Take(draw) {
		return false
	}
	n.taken[service] = append(n.taken[service], time.Now())
	return true
}

// TakeCopy returns the candidate that shall run a copy of a repeatable request which the control has answered; draw is
// uniform in [0, 1). The copy has a request id of its own, is counted and rated like any other, and shown to nobody.
func (n *Node) TakeCopy(service api.Service, control api.VersionID, draw float64) (api.VersionID, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	gate, ok := n.gates[service]
	if !ok || gate.Grant().Control != control || !gate.TakeCopy(draw) {
		return api.VersionID{}, false
	}
	n.taken[service] = append(n.taken[service], time.Now())
	return gate.Grant().Version, true
}

// Stops returns the versions that are stopped here and not yet withdrawn by the configuration.
func (n *Node) Stops() []suspect.Stop {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stops.Active()
}

// ConfirmedStops returns the stops that are to be accepted for all nodes: all but those that hold on this node alone.
func (n *Node) ConfirmedStops() []suspect.Stop {
	config := n.opts.Configs.Current()
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.DeleteFunc(n.stops.Active(), func(stop suspect.Stop) bool { return n.isLocal(stop, config) })
}

// Overlay returns a configuration with the stopped versions withdrawn, and the held ones draining; it is what the last
// check before dispatch reads.
func (n *Node) Overlay(config *fleet.Config) *fleet.Config {
	n.mu.Lock()
	held, stops := n.held(), n.stops.Active()
	n.mu.Unlock()
	return suspect.WithStops(suspect.WithDraining(config, held), stops)
}

// Run weighs and reports until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	return sleep.Every(ctx, tickEvery, func(time.Time) { n.Tick(time.Now()) })
}

// Tick makes one round: it reports the node's counts, weighs all counts and stops what is bad.
func (n *Node) Tick(now time.Time) {
	config := n.opts.Configs.Current()
	nodes := 1
	if n.opts.Nodes != nil {
		nodes = n.opts.Nodes()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fleetSize = max(n.fleetSize, nodes)
	n.stops.Reconcile(config, now)
	n.shared.dropStops(n.stops)
	n.endHolds(config, now)
	n.shared.expire(now)
	n.sweep(now)
	n.clearWithdrawn(config, now)
	bad := n.weighServing(now)
	n.report(config, now)
	for _, finding := range append(n.weighCandidates(), bad...) {
		n.stop(finding, config, now)
	}
	n.confirmHeard()
	n.holdSuspected(config, now)
}

// stop puts a finding's version out of service on this node and tells the peers.
func (n *Node) stop(found suspect.Finding, config *fleet.Config, now time.Time) {
	overlaid := suspect.WithStops(config, n.stops.Active())
	scope := fleet.Scope{Service: found.Key.Service, Version: found.Key.Version}
	if overlaid.StateOf(scope, now) == fleet.StateWithdrawn {
		return
	}
	if !suspect.HasAlternative(overlaid, found.Key.Service, found.Key.Version, now) {
		n.opts.Log.WithField("service", found.Key.Service).WithField("version", found.Key.Version).
			Error("the last serving version looks bad; it is left to an operator: " + found.Reason())
		return
	}
	n.enforce(suspect.NewStop(n.opts.Node, found, config.Revision, now))
}

// Stop puts a version out of service on an operator's order, here at once and on the other nodes as they hear of it. It
// is for the time in which no change can be accepted; the nodes have it accepted as soon as one can.
func (n *Node) Stop(order suspect.OperatorStop) {
	config := n.opts.Configs.Current()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.enforce(suspect.NewOperatorStop(n.opts.Node, order, config.Revision, time.Now()))
}

// enforce puts a stop in force on this node and tells the peers.
func (n *Node) enforce(stop suspect.Stop) {
	n.stops.Add(stop)
	n.closeGate(stop)
	n.shared.putStop(stop)
	if n.opts.Notify != nil {
		n.opts.Notify()
	}
	n.opts.Log.WithField("service", stop.Service).WithField("version", stop.Version).WithField("author", stop.Author).
		Error("version stopped: " + stop.Reason)
}

func (n *Node) closeGate(stop suspect.Stop) {
	if gate, ok := n.gates[stop.Service]; ok && gate.Grant().Version == stop.Version {
		gate.Close()
	}
}
