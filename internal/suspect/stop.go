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

// Author is the author of exceptions that withdraw a version automatically.
const Author = "rollout/auto"

// maxVersionText is the largest length of the version name in the ID of a stop, in bytes.
const maxVersionText = 24

// replacedStopTTL is how long the ID of a stop is kept after an accepted change has replaced the stop, so that a delayed
// message of a peer doesn't reactivate it.
const replacedStopTTL = time.Hour

// Stop keeps new work from a version until an accepted configuration change withdraws the version.
type Stop struct {
	// ID is the ID of the exception that replaces the stop.
	ID      string
	Service api.Service
	Version api.VersionID
	// Node is the node that created the stop, At the time when it did.
	Node   api.NodeID
	At     time.Time
	Reason string
	// Author is the author of the exception: the constant Author, or the operator who requested the stop.
	Author string
	// Nats is the evidence in nats, Sources the number of reporters with evidence of their own. Nats is 0 for an operator's
	// stop.
	Nats    float64
	Sources int
}

// NewStop returns the stop for a finding under a configuration revision. The exception ID depends only on the service, the
// version and the revision, so that the exception is accepted only once if several nodes stop the version.
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

// neededReporters is the number of reporters with evidence from which all nodes accept a stop without evidence of their
// own, as they accept an operator's stop.
const neededReporters = 2

// UncorroboratedStopTTL is how long a stop with a single reporter is valid.
const UncorroboratedStopTTL = 10 * time.Minute

// IsExpired reports whether a stop is uncorroborated and older than UncorroboratedStopTTL.
func (s Stop) IsExpired(now time.Time) bool {
	return !s.IsCorroborated() && now.Sub(s.At) >= UncorroboratedStopTTL
}

// Subject is the version of a service that evidence or a stop is about.
type Subject struct {
	Service api.Service
	Version api.VersionID
}

// Subject returns the stopped version of a service.
func (s Stop) Subject() Subject { return Subject{Service: s.Service, Version: s.Version} }

// IsCorroborated reports whether enough reporters have evidence for the stop that it applies to all nodes.
func (s Stop) IsCorroborated() bool { return s.Sources >= neededReporters }

// OperatorStop is an operator's request to stop a version while no configuration change can be accepted.
type OperatorStop struct {
	Service  api.Service
	Version  api.VersionID
	Reason   string
	Operator string
}

// NewOperatorStop returns the stop for an operator's request under a configuration revision.
func NewOperatorStop(node api.NodeID, o OperatorStop, revision api.Revision, at time.Time) Stop {
	return Stop{
		ID: stopID(Key{Service: o.Service, Version: o.Version}, revision), Service: o.Service, Version: o.Version,
		Node: node, At: at, Reason: o.Reason, Author: o.Operator, Sources: neededReporters,
	}
}

// stopID returns a readable and valid exception ID that is unique per service, version and revision.
func stopID(key Key, revision api.Revision) string {
	version := strings.ReplaceAll(key.Version.String(), "@", "-")
	sum := xxhash.Sum64String(string(key.Service) + "/" + version)
	return fmt.Sprintf("auto-%s-%08x-%d", version[:min(len(version), maxVersionText)], uint32(sum), revision)
}

// Reason returns the evidence and the counts of the finding as a text for operators.
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

// Stops is a node's set of stops, those of its own and those received from peers. It is not safe for concurrent use.
type Stops struct {
	// active holds the stops in force by ID.
	active map[string]Stop
	// unconfirmed holds stops of peers that are neither corroborated nor confirmed by this node, by unconfirmedKey.
	unconfirmed map[string]Stop
	// replaced maps the IDs of replaced stops to the time of the replacement.
	replaced map[string]time.Time
}

// NewStops returns an empty set.
func NewStops() *Stops {
	return &Stops{active: map[string]Stop{}, unconfirmed: map[string]Stop{}, replaced: map[string]time.Time{}}
}

// Add puts a stop of this node in force, unless it was replaced or the version is already stopped.
func (s *Stops) Add(stop Stop) {
	if _, wasReplaced := s.replaced[stop.ID]; wasReplaced || s.isStopped(stop.Service, stop.Version) {
		return
	}
	s.active[stop.ID] = stop
}

// AddFromPeer adds a peer's stop and reports whether it is in force now. A corroborated stop is in force at once. Any other
// stop is unconfirmed until this node's evidence (isConfirmed) or another node's stop of the same version confirms it, so
// that one faulty node can't stop a version for all nodes.
func (s *Stops) AddFromPeer(stop Stop, isConfirmed bool) bool {
	if _, wasReplaced := s.replaced[stop.ID]; wasReplaced {
		return false
	}
	isConfirmed = s.corroborate(stop) || isConfirmed
	if _, known := s.active[stop.ID]; known {
		return true
	}
	s.unconfirmed[unconfirmedKey(stop)] = stop
	if !stop.IsCorroborated() && !isConfirmed && !s.isReportedByAnotherNode(stop) {
		return false
	}
	stop.Sources = max(stop.Sources, neededReporters)
	s.active[stop.ID] = stop
	delete(s.unconfirmed, unconfirmedKey(stop))
	return true
}

// corroborate marks this node's active stops of the same version as corroborated by another node's stop, and reports whether
// there are any.
func (s *Stops) corroborate(other Stop) bool {
	found := false
	for id, active := range s.active {
		isSame := active.Service == other.Service && active.Version == other.Version
		if isSame && (active.Node != other.Node || other.IsCorroborated()) {
			active.Sources = max(active.Sources, neededReporters)
			s.active[id] = active
			found = true
		}
	}
	return found
}

// Drop removes an active stop.
func (s *Stops) Drop(id string) { delete(s.active, id) }

// DropExpired removes expired stops of peers that were not confirmed.
func (s *Stops) DropExpired(now time.Time) {
	for key, stop := range s.unconfirmed {
		if stop.IsExpired(now) {
			delete(s.unconfirmed, key)
		}
	}
}

// Unconfirmed returns the stops of peers that are not confirmed yet, ordered by ID and node.
func (s *Stops) Unconfirmed() []Stop {
	stops := make([]Stop, 0, len(s.unconfirmed))
	for _, stop := range s.unconfirmed {
		if _, known := s.active[stop.ID]; !known {
			stops = append(stops, stop)
		}
	}
	slices.SortFunc(stops, func(a, b Stop) int { return cmp.Compare(unconfirmedKey(a), unconfirmedKey(b)) })
	return stops
}

// unconfirmedKey includes the node, so that the same stop of two nodes is kept twice: two nodes confirm each other.
func unconfirmedKey(stop Stop) string { return stop.ID + "/" + string(stop.Node) }

func (s *Stops) isReportedByAnotherNode(stop Stop) bool {
	for _, other := range s.unconfirmed {
		if other.Node != stop.Node && other.Service == stop.Service && other.Version == stop.Version {
			return true
		}
	}
	return false
}

// Reconcile removes the stops of versions that the configuration in force withdraws. The configuration is authoritative from
// then on, also after an operator ends the exception.
func (s *Stops) Reconcile(config *fleet.Config, now time.Time) {
	for id, at := range s.replaced {
		if now.Sub(at) >= replacedStopTTL {
			delete(s.replaced, id)
		}
	}
	for _, exc := range config.Exceptions {
		s.replaced[exc.ID] = now
	}
	for _, stops := range []map[string]Stop{s.active, s.unconfirmed} {
		for id, stop := range stops {
			if isWithdrawn(config, stop, now) {
				s.replaced[stop.ID] = now
				delete(stops, id)
			}
		}
	}
}

func isWithdrawn(config *fleet.Config, stop Stop, now time.Time) bool {
	scope := fleet.Scope{Service: stop.Service, Version: stop.Version}
	return config.StateOf(scope, now) == fleet.StateWithdrawn
}

// HasAlternative reports whether a service would still have a serving version without the given one. The last serving
// version is never stopped without an operator, because its servers may be at fault rather than the version.
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

// IsReplaced reports whether the stop with an ID was replaced by an accepted change. The replacement is remembered for
// replacedStopTTL.
func (s *Stops) IsReplaced(id string) bool {
	_, wasReplaced := s.replaced[id]
	return wasReplaced
}

// Active returns the stops in force, ordered by ID. They are the stops that are sent to peers.
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

// WithStops returns a copy of a configuration in which each stopped version is withdrawn; config isn't modified.
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

// WithDraining returns a copy of a configuration in which each of the subjects that is serving is draining: it takes no new
// sessions and keeps the existing ones. config isn't modified.
func WithDraining(config *fleet.Config, subjects []Subject) *fleet.Config {
	if len(subjects) == 0 {
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
			drain(service.Name, model, subjects)
		}
	}
	return &draining
}

// drain sets those of the subjects that are serving versions of a model to draining.
func drain(service api.Service, model *fleet.Model, subjects []Subject) {
	for i := range model.Versions {
		version := &model.Versions[i]
		id := api.VersionID{Model: model.Name, Version: version.Name}
		if version.State == fleet.StateServing && slices.Contains(subjects, Subject{Service: service, Version: id}) {
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
