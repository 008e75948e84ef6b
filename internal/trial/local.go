package trial

import (
	"time"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/suspect"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// hold is a time in which a version in service gets no new sessions from this node.
type hold struct {
	since time.Time
	// isOver tells that the version is tried again; it is not held once more on the same evidence.
	isOver bool
}

// held returns the versions that get no new sessions from this node.
func (n *Node) held() []suspect.Subject {
	held := make([]suspect.Subject, 0, len(n.holds))
	for subject, hold := range n.holds {
		if !hold.isOver {
			held = append(held, subject)
		}
	}
	return held
}

// IsHeld reports whether a version that serves by the configuration gets no new sessions from this node.
func (n *Node) IsHeld(service api.Service, version api.VersionID) bool {
	config := n.opts.Configs.Current()
	n.mu.Lock()
	defer n.mu.Unlock()
	hold, ok := n.holds[suspect.Subject{Service: service, Version: version}]
	state, _ := stateOf(config, service, version)
	return ok && !hold.isOver && state == fleet.StateServing
}

// stateOf returns the state of a version in the configuration, whatever exceptions say; false if it is not there.
func stateOf(config *fleet.Config, service api.Service, version api.VersionID) (fleet.VersionState, bool) {
	found, ok := config.FindService(service)
	if !ok {
		return "", false
	}
	known, ok := found.FindVersion(version)
	return known.State, ok
}

// isLocal reports whether a stop holds on this node alone, whose own fault may be what it saw: it has a single source of
// evidence, though there are other nodes, and is about a version in service. The nodes weigh candidates together.
func (n *Node) isLocal(stop suspect.Stop, config *fleet.Config) bool {
	if stop.IsCorroborated() || n.fleetSize <= 1 {
		return false
	}
	state, ok := stateOf(config, stop.Service, stop.Version)
	return ok && state != fleet.StateCandidate
}

// holdSuspected keeps new sessions from the versions against which the node's own evidence suffices for that. Their sessions stay,
// whose answers go on to tell whether the version is bad.
func (n *Node) holdSuspected(config *fleet.Config, now time.Time) {
	threshold := suspect.DrainThreshold(n.fleetSize, len(n.tallies))
	for subject, nats := range n.ownNats {
		last, wasHeld := n.holds[subject]
		if wasHeld && last.isOver && nats < suspect.MaxHealthyNats {
			delete(n.holds, subject)
		}
		if wasHeld || nats < threshold {
			continue
		}
		rest := suspect.WithStops(suspect.WithDraining(config, n.held()), n.stops.Active())
		if !suspect.HasAlternative(rest, subject.Service, subject.Version, now) {
			continue
		}
		n.holds[subject] = &hold{since: now}
		n.opts.Log.WithField("service", subject.Service).WithField("version", subject.Version).
			WithField("nats", nats).Warn("version gets no new sessions here for a while")
	}
}

// endHolds ends the holds, and the stops on this node alone, that nothing has confirmed in time: the version is tried
// again.
func (n *Node) endHolds(config *fleet.Config, now time.Time) {
	for _, hold := range n.holds {
		hold.isOver = hold.isOver || now.Sub(hold.since) >= suspect.UncorroboratedStopTTL
	}
	for _, stop := range n.stops.Active() {
		if stop.IsExpired(now) && n.isLocal(stop, config) {
			n.stops.Drop(stop.ID)
			n.restart(stop.Subject())
			delete(n.holds, stop.Subject())
		}
	}
	n.stops.DropExpired(now)
	n.shared.dropOldStops(now)
}

// restart forgets the evidence against a version.
func (n *Node) restart(subject suspect.Subject) {
	for key, past := range n.serving {
		if key.Service == subject.Service && key.Version == subject.Version {
			past.Restart()
		}
	}
}
