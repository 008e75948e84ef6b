package suspect

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Author is the author of the exceptions that withdraw suspected versions.
const Author = "rollout/auto"

// maxVersionText bounds the part of a version's name that a stop's id shows.
const maxVersionText = 24

// settledKept is how long a stop that an accepted change replaced is remembered, so that a peer's late word of it
// does not revive it.
const settledKept = time.Hour

// Stop keeps all new work from a version until an accepted change says the same.
type Stop struct {
	// ID is the id of the exception that replaces the stop.
	ID      string
	Service api.Service
	Version api.VersionID
	// Node is the node that found the evidence, At when it did.
	Node   api.NodeID
	At     time.Time
	Reason string
	// Author is the author of the exception: Author, or the operator who asked for the stop.
	Author string
	// Nats is the evidence, Sources the number of sources that have some of their own.
	Nats    float64
	Sources int
}

// NewStop returns the stop for a finding under a revision. Nodes that find the same under the same revision name the
// same exception, so that it is accepted once.
func NewStop(node api.NodeID, f Finding, revision api.Revision, at time.Time) Stop {
	return Stop{
		ID:      stopID(f.Key, revision),
		Service: f.Key.Service,
		Version: f.Key.Version,
		Node:    node,
		At:      at,
		Reason:  f.Reason(),
		Author:  Author,
		Nats:    f.Evidence.Total,
		Sources: f.Sources,
	}
}

// neededSources is the number of sources from which on every node takes a stop at its word, as it does an operator's.
const neededSources = 2

// UncorroboratedStopTTL is how long a stop with a single source counts.
const UncorroboratedStopTTL = 10 * time.Minute

// IsExpired reports whether a stop has a single source and is too old to count.
func (s Stop) IsExpired(now time.Time) bool {
	return !s.IsCorroborated() && now.Sub(s.At) >= UncorroboratedStopTTL
}

// Subject is the version of a service that evidence or a stop is about.
type Subject struct {
	Service api.Service
	Version api.VersionID
}

// Subject returns what the stop is about.
func (s Stop) Subject() Subject { return Subject{Service: s.Service, Version: s.Version} }

// IsCorroborated reports whether the stop holds for all nodes.
func (s Stop) IsCorroborated() bool { return s.Sources >= neededSources }

// OperatorStop is an operator's order to stop a version while no change can be accepted.
type OperatorStop struct {
	Service  api.Service
	Version  api.VersionID
	Reason   string
	Operator string
}

// NewOperatorStop returns the stop for an operator's order under a revision.
func NewOperatorStop(node api.NodeID, o OperatorStop, revision api.Revision, at time.Time) Stop {
	return Stop{
		ID: stopID(Key{Service: o.Service, Version: o.Version}, revision), Service: o.Service, Version: o.Version,
		Node: node, At: at, Reason: o.Reason, Author: o.Operator, Sources: neededSources,
	}
}

// stopID returns a valid name of an exception that tells services and versions apart and can be read.
func stopID(key Key, revision api.Revision) string {
	version := strings.ReplaceAll(key.Version.String(), "@", "-")
	sum := xxhash.Sum64String(string(key.Service) + "/" + version)
	return fmt.Sprintf("auto-%s-%08x-%d", version[:min(len(version), maxVersionText)], uint32(sum), revision)
}

// Reason says in a sentence what the finding rests on.
func (f Finding) Reason() string {
	return fmt.Sprintf("class %q: %d of %d requests failed (control %.1f%%), mean rating %.2f of %d (control %.2f), evidence %.1f nats from %d sources",
		f.Key.Class, f.Version.Failed, f.Version.Requests, 100*f.Control.FailedShare(),
		f.Version.MeanQuality(), f.Version.Ratings(), f.Control.MeanQuality(), f.Evidence.Total, f.Sources)
}

// Exception returns the exception that withdraws the stopped version.
func (s Stop) Exception() fleet.Exception {
	return fleet.Exception{
		ID:       s.ID,
		Scope:    fleet.Scope{Service: s.Service, Version: s.Version},
		Withdraw: true,
		Reason:   s.Reason,
		Author:   s.Author,
	}
}

// Stops is the set of versions that a node has stopped. It is not safe for concurrent use.
type Stops struct {
	// active is keyed by the id of the stop.
	active map[string]Stop
	// heard holds stops of peers that nothing here confirms yet, by heardKey.
	heard map[string]Stop
	// settled maps ids of replaced stops to when they were replaced.
	settled map[string]time.Time
}

// NewStops returns an empty set.
func NewStops() *Stops {
	return &Stops{active: map[string]Stop{}, heard: map[string]Stop{}, settled: map[string]time.Time{}}
}

// Add puts a stop of this node in force.
func (s *Stops) Add(stop Stop) {
	if _, done := s.settled[stop.ID]; done || s.isStopped(stop.Service, stop.Version) {
		return
	}
	s.active[stop.ID] = stop
}

// AddFromPeer takes in a peer's stop and reports whether it is in force now. A stop with two sources of evidence is taken at
// its word; one with a single source waits until own evidence or another node's stop confirms it, so that one faulty
// node cannot stop a version for all.
func (s *Stops) AddFromPeer(stop Stop, isConfirmed bool) bool {
	if _, done := s.settled[stop.ID]; done {
		return false
	}
	isConfirmed = s.corroborate(stop) || isConfirmed
	if _, known := s.active[stop.ID]; known {
		return true
	}
	s.heard[heardKey(stop)] = stop
	if !stop.IsCorroborated() && !isConfirmed && !s.isHeardFromTwo(stop) {
		return false
	}
	stop.Sources = max(stop.Sources, neededSources)
	s.active[stop.ID] = stop
	delete(s.heard, heardKey(stop))
	return true
}

// corroborate notes that another node has stopped the same version, and reports whether this one had before.
func (s *Stops) corroborate(other Stop) bool {
	found := false
	for id, active := range s.active {
		isSame := active.Service == other.Service && active.Version == other.Version
		if isSame && (active.Node != other.Node || other.IsCorroborated()) {
			active.Sources = max(active.Sources, neededSources)
			s.active[id] = active
			found = true
		}
	}
	return found
}

// Drop takes a stop out of force and forgets it.
func (s *Stops) Drop(id string) { delete(s.active, id) }

// DropExpired forgets the stops of peers that nothing has confirmed in time.
func (s *Stops) DropExpired(now time.Time) {
	for key, stop := range s.heard {
		if stop.IsExpired(now) {
			delete(s.heard, key)
		}
	}
}

// Unconfirmed returns the stops of peers that nothing here confirms yet, ordered by id and node.
func (s *Stops) Unconfirmed() []Stop {
	stops := make([]Stop, 0, len(s.heard))
	for _, stop := range s.heard {
		if _, known := s.active[stop.ID]; !known {
			stops = append(stops, stop)
		}
	}
	slices.SortFunc(stops, func(a, b Stop) int { return cmp.Compare(heardKey(a), heardKey(b)) })
	return stops
}

// heardKey tells the same stop by two nodes apart, since two nodes confirm each other.
func heardKey(stop Stop) string { return stop.ID + "/" + string(stop.Node) }

func (s *Stops) isHeardFromTwo(stop Stop) bool {
	for _, other := range s.heard {
		if other.Node != stop.Node && other.Service == stop.Service && other.Version == stop.Version {
			return true
		}
	}
	return false
}

// Reconcile drops the stops of versions that a configuration now in force withdraws; that configuration decides from
// then on, also once an operator ends the exception.
func (s *Stops) Reconcile(config *fleet.Config, now time.Time) {
	for id, at := range s.settled {
		if now.Sub(at) >= settledKept {
			delete(s.settled, id)
		}
	}
	for _, exc := range config.Exceptions {
		s.settled[exc.ID] = now
	}
	for _, stops := range []map[string]Stop{s.active, s.heard} {
		for id, stop := range stops {
			if isWithdrawn(config, stop, now) {
				s.settled[stop.ID] = now
				delete(stops, id)
			}
		}
	}
}

func isWithdrawn(config *fleet.Config, stop Stop, now time.Time) bool {
	scope := fleet.Scope{Service: stop.Service, Version: stop.Version}
	return config.StateOf(scope, now) == fleet.StateWithdrawn
}

// HasAlternative reports whether a service would still have a serving version without the given one. The last one is
// never stopped without an operator: its servers, not the version, may be what fails.
func HasAlternative(config *fleet.Config, service api.Service, without api.VersionID, now time.Time) bool {
	svc, ok := config.FindService(service)
	if !ok {
		return false
	}
	for _, model := range svc.Models {
		for _, version := range model.Versions {
			id := api.VersionID{Model: model.Name, Version: version.Name}
			scope := fleet.Scope{Service: service, Version: id}
			if id != without && config.StateOf(scope, now) == fleet.StateServing {
				return true
			}
		}
	}
	return false
}

// IsReplaced reports whether a stop of an id was replaced by an accepted change.
func (s *Stops) IsReplaced(id string) bool {
	_, done := s.settled[id]
	return done
}

// Active returns the stops in force, ordered by id; they are what peers are told.
func (s *Stops) Active() []Stop {
	stops := make([]Stop, 0, len(s.active))
	for _, stop := range s.active {
		stops = append(stops, stop)
	}
	slices.SortFunc(stops, func(a, b Stop) int { return cmp.Compare(a.ID, b.ID) })
	return stops
}

func (s *Stops) isStopped(service api.Service, version api.VersionID) bool {
	for _, stop := range s.active {
		if stop.Service == service && stop.Version == version {
			return true
		}
	}
	return false
}

// WithStops returns a configuration in which each stopped version is withdrawn; config itself is left alone.
func WithStops(config *fleet.Config, stops []Stop) *fleet.Config {
	if len(stops) == 0 {
		return config
	}
	stopped := *config
	stopped.Exceptions = slices.Clone(config.Exceptions)
	for _, stop := range stops {
		stopped.Exceptions = append(stopped.Exceptions, stop.Exception())
	}
	slices.SortFunc(stopped.Exceptions, func(a, b fleet.Exception) int { return cmp.Compare(a.ID, b.ID) })
	return &stopped
}

// WithDraining returns a configuration in which each of the versions that serves takes no new sessions and keeps the ones
// that it has; config itself is left alone.
func WithDraining(config *fleet.Config, held []Subject) *fleet.Config {
	if len(held) == 0 {
		return config
	}
	draining := *config
	draining.Services = slices.Clone(config.Services)
	for i := range draining.Services {
		service := &draining.Services[i]
		service.Models = slices.Clone(service.Models)
		for j := range service.Models {
			model := &service.Models[j]
			model.Versions = slices.Clone(model.Versions)
			drain(service.Name, model, held)
		}
	}
	return &draining
}

// drain sets the held versions of a model that serve to draining.
func drain(service api.Service, model *fleet.Model, held []Subject) {
	for i := range model.Versions {
		version := &model.Versions[i]
		id := api.VersionID{Model: model.Name, Version: version.Name}
		if version.State == fleet.StateServing && slices.Contains(held, Subject{Service: service, Version: id}) {
			version.State = fleet.StateDraining
		}
	}
}

func compareKeys(a, b Key) int {
	return cmp.Or(
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Version.String(), b.Version.String()),
		cmp.Compare(a.Class, b.Class),
	)
}

// SortFindings orders findings by service, version and class.
func SortFindings(findings []Finding) {
	slices.SortFunc(findings, func(a, b Finding) int { return compareKeys(a.Key, b.Key) })
}
