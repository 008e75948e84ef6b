package peer

import (
	"maps"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/peer/peerpb"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// marks tell what a peer has of this node's state.
type marks struct {
	members memberMarks
	topics  map[string]uint64
}

func (m marks) clone() marks { return marks{members: m.members, topics: maps.Clone(m.topics)} }

// link is what is known of the exchange with one incarnation of a peer.
type link struct {
	// acked is what the peer surely took in; pending becomes acked once the peer acknowledges bundle pendingNumber.
	acked         marks
	pending       marks
	pendingNumber uint64
	// received is the number of the last bundle from the peer.
	received uint64
	// unknown lists heartbeats that came without their records, asked those whose records the peer lacks.
	unknown []uint32
	asked   []uint32
	// known is how many members of its failure domain the peer last said that it knows; 0 if it said none.
	known uint32
	// peer is what the peer last said of itself.
	peer     Member
	revision api.Revision
	protocol uint32
	used     time.Time
}

func newLink() *link { return &link{acked: marks{topics: make(map[string]uint64)}} }

// linkTo returns the link to an incarnation; the caller holds the lock.
func (e *Exchange) linkTo(incarnation api.Incarnation, now time.Time) *link {
	found, ok := e.links[incarnation]
	if !ok {
		found = newLink()
		e.links[incarnation] = found
	}
	found.used = now
	return found
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

// revision returns the revision that the node holds. It asks the configuration's owner, and must not be called under the lock.
func (e *Exchange) revision() int64 {
	if e.opts.Config == nil {
		return 0
	}
	return int64(e.opts.Config.Revision())
}

// build returns the bundle for a peer. A peer whose incarnation is not known yet gets everything.
func (e *Exchange) build(c call) *peerpb.Bundle {
	now := time.Now()
	bundle := &peerpb.Bundle{Sender: e.sender(), Rumour: c.urgent != nil}
	e.mu.Lock()
	e.table.self.record.Revision = bundle.Sender.Revision
	found := e.linkTo(c.to.Incarnation, now)
	next := found.acked.clone()
	c.to.Revision = max(c.to.Revision, found.revision)
	c.to.Protocol = found.protocol
	if c.urgent == nil || c.urgent[topicMembers] {
		bundle.Known = uint32(e.table.countOwn(now))
		want := wanted{to: c.to, asked: found.asked, presumed: e.presumes(c, found, bundle.Known)}
		bundle.Members, bundle.Pulses, next.members = e.table.since(next.members, want, now)
		found.asked = nil
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
	e.sent++
	bundle.Number = e.sent
	bundle.Ack = found.received
	bundle.Unknown = found.unknown
	found.unknown = nil
	found.pending = next
	found.pendingNumber = e.sent
	return bundle
}

// presumes reports whether a peer of the failure domain with which nothing was exchanged yet is taken to have the records that this
// node has, so that not every two nodes hand each other all of them once. Heartbeats show what it lacks after all.
func (e *Exchange) presumes(c call, found *link, own uint32) bool {
	known, listed := e.table.entries[c.to.Incarnation]
	if !listed || known.record.FailureDomain != string(e.opts.Self.FailureDomain) || found.acked.members.records > 0 {
		return false
	}
	// A peer that lacks records gets them as an answer, when it calls by itself.
	if !c.isAnswer && found.known == 0 {
		return true
	}
	return float64(found.known) >= presumedShare*float64(own)
}

// absorb takes in a bundle that came from an address, or from a member of the table where address is empty.
func (e *Exchange) absorb(bundle *peerpb.Bundle, address string) Member {
	now := time.Now()
	from := e.absorbMembers(bundle, address, now)
	for _, part := range bundle.Topics {
		e.mergeTopic(part, from)
	}
	if e.opts.Config != nil && from.PeerAddress != "" {
		e.opts.Config.ObservePeer(from)
	}
	return from
}

func (e *Exchange) absorbMembers(bundle *peerpb.Bundle, address string, now time.Time) Member {
	e.mu.Lock()
	defer e.mu.Unlock()
	incarnation := api.Incarnation(bundle.Sender.Incarnation)
	found := e.linkTo(incarnation, now)
	if bundle.Ack != 0 && bundle.Ack == found.pendingNumber {
		found.acked = found.pending
	}
	found.received = bundle.Number
	if !bundle.Rumour {
		found.known = bundle.Known
	}
	found.revision = max(found.revision, api.Revision(bundle.Sender.Revision))
	found.protocol = bundle.Sender.Protocol
	heard := hearing{at: now, from: incarnation, revision: bundle.Sender.Revision}
	drains := false
	for _, record := range bundle.Members {
		if record.Incarnation == bundle.Sender.Incarnation {
			found.peer = memberOf(record)
		}
		if e.table.absorbRecord(record, heard) {
			drains = true
		}
	}
	unknown := e.table.absorbPulses(bundle.Pulses, heard)
	found.asked = bundle.Unknown[:min(len(bundle.Unknown), maxRecords)]
	from := found.peer
	if known, ok := e.table.entries[incarnation]; ok {
		from = known.member()
	}
	if from.Incarnation == "" {
		from = Member{Node: api.NodeID(bundle.Sender.Node), Incarnation: incarnation, PeerAddress: address, LastHeard: now}
	}
	// Of other failure domains a few contacts are kept, and the records of others aren't missed.
	found.unknown = nil
	if from.FailureDomain == e.opts.Self.FailureDomain {
		found.unknown = unknown[:min(len(unknown), maxRecords)]
	}
	from.Revision = max(from.Revision, found.revision)
	e.heardFrom(from, now)
	if drains {
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
		e.log.WithError(err).WithField("topic", part.Name).WithField("node", from.Node).Warn("payload of a peer refused")
		return
	}
	if news {
		e.mu.Lock()
		e.notify(part.Name, from.Incarnation)
		e.mu.Unlock()
	}
}
