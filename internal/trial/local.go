package trial

import (
	"time"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/suspect"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// localDrain is a period in which a version in service gets no new sessions from this node.
type localDrain struct {
	since time.Time
	// isEnded means that the version gets new sessions again. It isn't drained once more until its evidence has been below
	// suspect.MaxHealthyNats.
	isEnded bool
}

// drainedVersions returns the versions that get no new sessions from this node at present.
func (n *Node) drainedVersions() []suspect.Subject {
	drained := make([]suspect.Subject, 0, len(n.localDrains))
	for subject, drain := range n.localDrains {
		if !drain.isEnded {
			drained = append(drained, subject)
		}
	}
	return drained
}

// IsDrainedLocally reports whether a version is in the state serving by the configuration, but gets no new sessions from this node.
func (n *Node) IsDrainedLocally(service api.Service, version api.VersionID) bool {
	config := n.opts.Configs.Current()
	n.mu.Lock()
	defer n.mu.Unlock()
	drain, ok := n.localDrains[suspect.Subject{Service: service, Version: version}]
	state, _ := stateOf(config, service, version)
	return ok && !drain.isEnded && state == fleet.StateServing
}

// stateOf returns the state of a version in the configuration without regard to exceptions; false if the version doesn't exist.
func stateOf(config *fleet.Config, service api.Service, version api.VersionID) (fleet.VersionState, bool) {
	found, ok := config.FindService(service)
	if !ok {
		return "", false
	}
	foundVersion, ok := found.FindVersion(version)
	return foundVersion.State, ok
}

// isLocal reports whether a stop is in force on this node only, since a fault of the node itself may explain its evidence.
// That is so if there are other nodes, none of them has evidence too, and the version is in service. Evidence against candidates
// is pooled over all nodes anyway.
func (n *Node) isLocal(stop suspect.Stop, config *fleet.Config) bool {
	if stop.IsCorroborated() || n.maxFleetSize <= 1 {
		return false
	}
	state, ok := stateOf(config, stop.Service, stop.Version)
	return ok && state != fleet.StateCandidate
}

// drainSuspected stops sending new sessions to versions for which the node's own evidence reaches suspect.DrainThreshold. Existing
// sessions stay with the version, so that their answers provide further evidence.
func (n *Node) drainSuspected(config *fleet.Config, now time.Time) {
	threshold := suspect.DrainThreshold(n.maxFleetSize, len(n.tallies))
	for subject, nats := range n.ownEvidence {
		last, wasDrained := n.localDrains[subject]
		if wasDrained && last.isEnded && nats < suspect.MaxHealthyNats {
			delete(n.localDrains, subject)
		}
		if wasDrained || nats < threshold {
			continue
		}
		remaining := suspect.WithStops(suspect.WithDraining(config, n.drainedVersions()), n.stops.Active())
		if !suspect.HasAlternative(remaining, subject.Service, subject.Version, now) {
			continue
		}
		n.localDrains[subject] = &localDrain{since: now}
		n.opts.Log.WithField("service", subject.Service).WithField("version", subject.Version).
			WithField("nats", nats).Warn("version gets no new sessions here for a while")
	}
}

// endLocalDrains ends the local drains, and the stops in force on this node only, that were not confirmed within
// suspect.UncorroboratedStopTTL. The version gets new sessions again.
func (n *Node) endLocalDrains(config *fleet.Config, now time.Time) {
	for _, drain := range n.localDrains {
		drain.isEnded = drain.isEnded || now.Sub(drain.since) >= suspect.UncorroboratedStopTTL
	}
	for _, stop := range n.stops.Active() {
		if stop.IsExpired(now) && n.isLocal(stop, config) {
			n.stops.Drop(stop.ID)
			n.resetEvidence(stop.Subject())
			delete(n.localDrains, stop.Subject())
		}
	}
	n.stops.DropExpired(now)
	n.shared.dropExpiredStops(now)
}

// resetEvidence drops the evidence against a version and keeps its histories.
func (n *Node) resetEvidence(subject suspect.Subject) {
	for key, history := range n.servingHistories {
		if key.Service == subject.Service && key.Version == subject.Version {
			history.Restart()
		}
	}
}
