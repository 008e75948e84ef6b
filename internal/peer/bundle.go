package peer

import (
	"maps"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/peer/peerpb"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// syncPoint holds the versions of this node's state, per part, up to which a peer has received it.
type syncPoint struct {
	members memberSyncPoint
	topics  map[string]uint64
}

func (m syncPoint) clone() syncPoint {
	return syncPoint{members: m.members, topics: maps.Clone(m.topics)}
}

// link is the state of the exchange with one incarnation of a peer.
type link struct {
	// acked is what the peer has acknowledged; pending becomes acked once the peer acknowledges bundle pendingNumber.
	acked         syncPoint
	pending       syncPoint
	pendingNumber uint64
	// received is the number of the last bundle from the peer.
	received uint64
	// missingRecords lists the ids of heartbeats that this node received without having the member's record;
	// requestedRecords lists those whose records the peer lacks.
	missingRecords   []uint32
	requestedRecords []uint32
	// memberCount is the number of live members of its failure domain that the peer last reported; 0 if it reported
	// none.
	memberCount uint32
	// member is the peer's own record, as the peer last sent it.
	member   Member
	revision api.Revision
	protocol uint32
	lastUsed time.Time
}

func newLink() *link { return &link{acked: syncPoint{topics: make(map[string]uint64)}} }

// linkFor returns the link to an incarnation and creates it if needed; the caller holds the lock.
func (e *Exchange) linkFor(incarnation api.Incarnation, now time.Time) *link {
	peerLink, ok := e.links[incarnation]
	if !ok {
		peerLink = newLink()
		e.links[incarnation] = peerLink
	}
	peerLink.lastUsed = now
	return peerLink
}

func (e *Exchange) sender() *peerpb.Sender {
	sender := &peerpb.Sender{
		Protocol:    e.opts.Protocol,
		MinProtocol: e.opts.MinProtocol,
		Node:        string(e.opts.Self.Node),
		Incarnation: string(e.opts.Self.Incarnation),
	}
	sender.Revision = e.revision()
	return sender
}

// revision returns the node's configuration revision. It calls Options.Config and must not be called under the lock.
func (e *Exchange) revision() int64 {
	if e.opts.Config == nil {
		return 0
	}
	return int64(e.opts.Config.Revision())
}

// buildBundle returns the bundle for a peer. A peer whose incarnation is not yet known gets everything.
func (e *Exchange) buildBundle(c call) *peerpb.Bundle {
	now := time.Now()
	bundle := &peerpb.Bundle{Sender: e.sender(), Rumour: c.urgent != nil}
	e.mu.Lock()
	e.table.self.record.Revision = bundle.Sender.Revision
	peerLink := e.linkFor(c.to.Incarnation, now)
	next := peerLink.acked.clone()
	c.to.Revision = max(c.to.Revision, peerLink.revision)
	c.to.Protocol = peerLink.protocol
	if c.urgent == nil || c.urgent[topicMembers] {
		bundle.Known = uint32(e.table.countOwnDomain(now))
		opts := deltaOptions{to: c.to, requestedRecords: peerLink.requestedRecords, presumed: e.presumesRecords(c, peerLink, bundle.Known)}
		bundle.Members, bundle.Pulses, next.members = e.table.since(next.members, opts, now)
		peerLink.requestedRecords = nil
	}
	e.mu.Unlock()

	for _, topic := range e.topics {
		name := topic.Name()
		if c.urgent != nil && !c.urgent[name] {
			continue
		}
		payload, version := topic.Since(next.topics[name], c.to, maxTopicBytes)
		next.topics[name] = version
		if len(payload) > 0 {
			bundle.Topics = append(bundle.Topics, &peerpb.TopicPart{Name: name, Payload: payload})
		}
	}

	e.mu.Lock()
	defer e.mu.Unlock()
	e.bundlesSent++
	bundle.Number = e.bundlesSent
	bundle.Ack = peerLink.received
	bundle.Unknown = peerLink.missingRecords
	peerLink.missingRecords = nil
	peerLink.pending = next
	peerLink.pendingNumber = e.bundlesSent
	return bundle
}

// presumesRecords reports whether a peer of the own failure domain without any acknowledged record is presumed to have
// the records that this node has, so that not every pair of nodes exchanges all records once. Heartbeats without a
// record still show the peer which records it lacks.
func (e *Exchange) presumesRecords(c call, peerLink *link, own uint32) bool {
	known, listed := e.table.entries[c.to.Incarnation]
	if !listed || known.record.FailureDomain != string(e.opts.Self.FailureDomain) || peerLink.acked.members.records > 0 {
		return false
	}
	// A peer that lacks records gets them in the response when it makes a call itself.
	if !c.isResponse && peerLink.memberCount == 0 {
		return true
	}
	return float64(peerLink.memberCount) >= presumedShare*float64(own)
}

// mergeBundle merges a bundle received from the peer called at address, or from a calling peer if address is empty, and
// returns the sender.
func (e *Exchange) mergeBundle(bundle *peerpb.Bundle, address string) Member {
	now := time.Now()
	from := e.mergeMembers(bundle, address, now)
	for _, part := range bundle.Topics {
		e.mergeTopic(part, from)
	}
	if e.opts.Config != nil && from.PeerAddress != "" {
		e.opts.Config.ObservePeer(from)
	}
	return from
}

func (e *Exchange) mergeMembers(bundle *peerpb.Bundle, address string, now time.Time) Member {
	e.mu.Lock()
	defer e.mu.Unlock()
	incarnation := api.Incarnation(bundle.Sender.Incarnation)
	peerLink := e.linkFor(incarnation, now)
	if bundle.Ack != 0 && bundle.Ack == peerLink.pendingNumber {
		peerLink.acked = peerLink.pending
	}
	peerLink.received = bundle.Number
	if !bundle.Rumour {
		peerLink.memberCount = bundle.Known
	}
	peerLink.revision = max(peerLink.revision, api.Revision(bundle.Sender.Revision))
	peerLink.protocol = bundle.Sender.Protocol
	received := receipt{at: now, from: incarnation, revision: bundle.Sender.Revision}
	draining := false
	for _, record := range bundle.Members {
		if record.Incarnation == bundle.Sender.Incarnation {
			peerLink.member = memberOf(record)
		}
		if e.table.mergeRecord(record, received) {
			draining = true
		}
	}
	unknown := e.table.mergePulses(bundle.Pulses, received)
	peerLink.requestedRecords = bundle.Unknown[:min(len(bundle.Unknown), maxRecords)]
	from := peerLink.member
	if known, ok := e.table.entries[incarnation]; ok {
		if !bundle.Rumour {
			known.heardDirectly(now)
		}
		from = known.member()
	}
	if from.Incarnation == "" {
		from = Member{Node: api.NodeID(bundle.Sender.Node), Incarnation: incarnation, PeerAddress: address, LastHeard: now}
	}
	// Only a few contacts are kept of each other failure domain, so missing records of other members there aren't
	// requested.
	peerLink.missingRecords = nil
	if from.FailureDomain == e.opts.Self.FailureDomain {
		peerLink.missingRecords = unknown[:min(len(unknown), maxRecords)]
	}
	from.Revision = max(from.Revision, peerLink.revision)
	e.endBackoff(from, now)
	if draining {
		e.notify(topicMembers, from.Incarnation)
	}
	return from
}

func (e *Exchange) mergeTopic(part *peerpb.TopicPart, from Member) {
	topic, ok := e.topics[part.Name]
	if !ok {
		return
	}
	news, err := topic.Merge(from, part.Payload)
	if err != nil {
		e.meters.badPayloads.Inc(1)
		e.log.WithError(err).WithField("topic", part.Name).WithField("node", from.Node).Warn("failed to merge the topic payload of a peer")
		return
	}
	if news {
		e.mu.Lock()
		e.notify(part.Name, from.Incarnation)
		e.mu.Unlock()
	}
}
