// Package trial evaluates the health of versions on a node. It counts the results of requests by version, keeps the node's part
// of each roll-out's exposure budget, exchanges both with the peers, and stops unhealthy versions immediately and without the
// key-value service.
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
	// tickInterval is the time between two calls of Tick.
	tickInterval = time.Second
	// maxUnchangedRounds is the number of rounds after which a report is sent even without changes.
	maxUnchangedRounds = 4
	// reportTimeout is the age of a node's last report from which the node gets no exposure budget and its suspicions don't count.
	reportTimeout = 12 * time.Second
	// reportRetention is how long the last report of a node that is no longer running counts.
	reportRetention = time.Hour
	// maxTallies bounds the number of keys, of a service, version and class, that are counted; results of further ones are ignored.
	maxTallies = 4096
	// maxReports bounds the number of nodes whose reports are stored; those of further ones are dropped.
	maxReports = 1024
)

// Configs returns the node's copy of the configuration.
type Configs interface {
	Current() *fleet.Config
}

// Options configures New.
type Options struct {
	Node        api.NodeID
	Incarnation api.Incarnation
	Configs     Configs
	// Nodes returns the number of live nodes including this one. Nil means that there are no others.
	Nodes func() int
	// Notify triggers an immediate exchange with peers after a stop; it must not block. If nil, stops wait for the next exchange.
	Notify func()
	Log    log.Interface
}

// Node evaluates the versions on one node. It is safe for concurrent use.
type Node struct {
	opts    Options
	encoder encoder

	mu sync.Mutex
	// tallies holds the node's own counts.
	tallies map[suspect.Key]*suspect.Tally
	// runs holds the requests whose result or rating is pending.
	runs map[runID]*runState
	// reservations holds, by service, the times of the calls of ReserveExposure and ReserveCopy whose requests were not
	// dispatched yet, the oldest first.
	reservations map[api.Service][]time.Time
	// gates holds the node's part of the exposure budget of each service's roll-out.
	gates map[api.Service]*rollout.Gate
	// servingHistories compares each version in service with its own earlier results.
	servingHistories map[suspect.Key]*suspect.History
	// suspicions is the evidence against versions in service that this node reports to its peers.
	suspicions []suspect.Suspicion
	// ownEvidence is the evidence of the node's own detectors against versions in service, in nats.
	ownEvidence map[suspect.Subject]float64
	// localDrains holds the current local drains, and ended ones while their evidence remains.
	localDrains map[suspect.Subject]*localDrain
	// maxFleetSize is the largest number of live nodes seen so far, for which the bound on false alarms holds.
	maxFleetSize int
	// pools holds the evidence of all nodes on the candidate of each roll-out.
	pools map[rollout.ID]*suspect.Pool
	stops *suspect.Stops
	// shared is the state that is exchanged with peers.
	shared sharedState
	// reportNumber counts the node's own reports, unchangedRounds the rounds since the last one.
	reportNumber    uint64
	unchangedRounds int
}

// New returns a node without any counts.
func New(opts Options) *Node {
	return &Node{
		opts:             opts,
		tallies:          map[suspect.Key]*suspect.Tally{},
		runs:             map[runID]*runState{},
		reservations:     map[api.Service][]time.Time{},
		gates:            map[api.Service]*rollout.Gate{},
		servingHistories: map[suspect.Key]*suspect.History{},
		ownEvidence:      map[suspect.Subject]float64{},
		localDrains:      map[suspect.Subject]*localDrain{},
		pools:            map[rollout.ID]*suspect.Pool{},
		stops:            suspect.NewStops(),
		shared:           newSharedState(),
	}
}

func (n *Node) updateTally(key suspect.Key, update func(*suspect.Tally)) {
	tally, ok := n.tallies[key]
	if !ok {
		if len(n.tallies) >= maxTallies {
			return
		}
		tally = new(suspect.Tally)
		n.tallies[key] = tally
	}
	update(tally)
}

// IsCandidate reports whether a version is the candidate of a roll-out, which decides the requests that the version receives.
func (n *Node) IsCandidate(service api.Service, version api.VersionID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isCandidate(suspect.Key{Service: service, Version: version})
}

// ReserveExposure reports whether a caller's request may go to a candidate, and if so reserves exposure for it in the node's part of the
// budget; draw is uniform in [0, 1). Dispatched uses the reservation; without that it is completed after reservationTimeout.
func (n *Node) ReserveExposure(service api.Service, version api.VersionID, draw float64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	gate, ok := n.gates[service]
	if !ok || gate.Grant().Version != version || !gate.ReserveExposure(draw) {
		return false
	}
	n.reservations[service] = append(n.reservations[service], time.Now())
	return true
}

// ReserveCopy returns the candidate to which a copy of a repeatable request that the control has answered is to be sent, and reserves
// exposure for it like ReserveExposure; draw is uniform in [0, 1). The copy has its own request id and is counted and rated like any other
// request, but its answer is discarded. It returns false if no copy is to be sent.
func (n *Node) ReserveCopy(service api.Service, control api.VersionID, draw float64) (api.VersionID, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	gate, ok := n.gates[service]
	if !ok || gate.Grant().Control != control || !gate.ReserveCopy(draw) {
		return api.VersionID{}, false
	}
	n.reservations[service] = append(n.reservations[service], time.Now())
	return gate.Grant().Version, true
}

// Stops returns the stops in force on this node that the configuration has not replaced yet.
func (n *Node) Stops() []suspect.Stop {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stops.Active()
}

// ConfirmedStops returns the stops that are to be accepted as changes for all nodes: all but those in force on this node only.
func (n *Node) ConfirmedStops() []suspect.Stop {
	config := n.opts.Configs.Current()
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.DeleteFunc(n.stops.Active(), func(stop suspect.Stop) bool { return n.isLocal(stop, config) })
}

// Overlay returns the configuration with stopped versions withdrawn and locally drained versions draining. The last check before
// each dispatch uses it.
func (n *Node) Overlay(config *fleet.Config) *fleet.Config {
	n.mu.Lock()
	drained, stops := n.drainedVersions(), n.stops.Active()
	n.mu.Unlock()
	return suspect.WithStops(suspect.WithDraining(config, drained), stops)
}

// Run calls Tick regularly until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	return sleep.Every(ctx, tickInterval, func(time.Time) { n.Tick(time.Now()) })
}

// Tick performs one round: it updates the node's report, evaluates the counts of all nodes and stops unhealthy versions.
func (n *Node) Tick(now time.Time) {
	config := n.opts.Configs.Current()
	nodes := 1
	if n.opts.Nodes != nil {
		nodes = n.opts.Nodes()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.maxFleetSize = max(n.maxFleetSize, nodes)
	n.stops.Reconcile(config, now)
	n.shared.dropReplacedStops(n.stops)
	n.endLocalDrains(config, now)
	n.shared.dropExpired(now)
	n.expireRuns(now)
	n.resetWithdrawn(config, now)
	unhealthy := n.evaluateServing(now)
	n.updateOwnReport(config, now)
	for _, finding := range append(n.evaluateCandidates(), unhealthy...) {
		n.stopVersion(finding, config, now)
	}
	n.confirmPeerStops()
	n.drainSuspected(config, now)
}

// stopVersion stops the version of a finding on this node and notifies the peers. It doesn't stop the last serving version.
func (n *Node) stopVersion(finding suspect.Finding, config *fleet.Config, now time.Time) {
	overlaid := suspect.WithStops(config, n.stops.Active())
	scope := fleet.Scope{Service: finding.Key.Service, Version: finding.Key.Version}
	if overlaid.StateOf(scope, now) == fleet.StateWithdrawn {
		return
	}
	if !suspect.HasAlternative(overlaid, finding.Key.Service, finding.Key.Version, now) {
		n.opts.Log.WithField("service", finding.Key.Service).WithField("version", finding.Key.Version).
			Error("the last serving version looks unhealthy; an operator has to decide: " + finding.Reason())
		return
	}
	n.enforce(suspect.NewStop(n.opts.Node, finding, config.Revision, now))
}

// Stop stops a version on an operator's order, immediately on this node and on the others when they receive the stop. It is meant
// for times in which no change can be accepted; once that is possible again, the nodes submit the stop as a change.
func (n *Node) Stop(order suspect.OperatorStop) {
	config := n.opts.Configs.Current()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.enforce(suspect.NewOperatorStop(n.opts.Node, order, config.Revision, time.Now()))
}

// enforce puts a stop in force on this node and notifies the peers.
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
