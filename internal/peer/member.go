package peer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonrail/monsoonrail/internal/peer/peerpb"
	"github.com/monsoonrail/monsoonrail/internal/rendezvous"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// livenessTimeout is the time without a new heartbeat after which a member is no longer listed and no longer passed
	// on to peers.
	livenessTimeout = 15 * time.Second
	// recordTTL is how long the record of a member without new heartbeats is kept, so that outdated records of it don't
	// add it again.
	recordTTL = 10 * time.Minute
	// contactsPerDomain bounds the members kept of each other failure domain; these are its contacts.
	contactsPerDomain = 4
	// maxRecords and maxPulses bound the records and heartbeats in one bundle.
	maxRecords = 64
	maxPulses  = 40
	// presumedShare is the fraction of this node's members that a peer must report to have for the remaining ones to be
	// presumed.
	presumedShare = 0.9
	// loadUnit is the unit of loads on the wire.
	loadUnit = 0.001
)

// Member is one incarnation of a node that takes part in the exchange.
type Member struct {
	Node        api.NodeID
	Incarnation api.Incarnation
	// Started orders the incarnations of one node.
	Started time.Time
	// Address is "host:port" of the caller port.
	Address string
	// PeerAddress is "host:port" of the peer exchange.
	PeerAddress   string
	FailureDomain api.FailureDomain
	Region        api.Region
	// Draining reports whether the node accepts no new callers.
	Draining bool
	// Load is the used fraction of the node's capacity, 0 or more.
	Load float64
	// LastHeard is when this node last received a new heartbeat of the member or its own whole bundle, by this node's clock.
	LastHeard time.Time
	// Revision is the highest configuration revision that the member is known to have; 0 if none was reported.
	Revision api.Revision
	// Protocol is the highest protocol of the member, from its last exchange with this node; 0 if there was none within
	// linkTTL.
	Protocol uint32
}

// entry is a member in the table.
type entry struct {
	record    *peerpb.Member
	lastHeard time.Time
	// recordSeq and pulseSeq are the table's sequence numbers at the last change of the record and of the heartbeat.
	recordSeq uint64
	pulseSeq  uint64
	// recordFrom and pulseFrom are the incarnations that sent the current record and heartbeat, which need not receive
	// them again.
	recordFrom api.Incarnation
	pulseFrom  api.Incarnation
}

// table holds all members of the own failure domain and a few contacts of each other one. Callers must synchronize
// access.
type table struct {
	self    *entry
	entries map[api.Incarnation]*entry
	byPulse map[uint32]*entry
	// seq is the sequence number of the last change.
	seq uint64
}

func newTable(self *peerpb.Member, now time.Time) *table {
	t := &table{entries: make(map[api.Incarnation]*entry), byPulse: make(map[uint32]*entry)}
	t.self = t.add(self, receipt{at: now})
	return t
}

func pulseID(incarnation string) uint32 { return uint32(xxhash.Sum64String(incarnation)) }

// receipt is when, and from which incarnation, a bundle was received.
type receipt struct {
	at   time.Time
	from api.Incarnation
	// revision is the sender's configuration revision.
	revision int64
}

func (t *table) add(record *peerpb.Member, received receipt) *entry {
	t.seq++
	added := &entry{
		record: record, lastHeard: received.at, recordSeq: t.seq, pulseSeq: t.seq, recordFrom: received.from, pulseFrom: received.from,
	}
	t.entries[api.Incarnation(record.Incarnation)] = added
	t.byPulse[pulseID(record.Incarnation)] = added
	return added
}

func (t *table) remove(e *entry) {
	delete(t.entries, api.Incarnation(e.record.Incarnation))
	if id := pulseID(e.record.Incarnation); t.byPulse[id] == e {
		delete(t.byPulse, id)
	}
}

// advanceHeartbeat increments the node's own heartbeat and sets its load.
func (t *table) advanceHeartbeat(load float64, now time.Time) {
	t.seq++
	t.self.record.Heartbeat++
	t.self.record.Load = uint32(max(0, load) / loadUnit)
	t.self.pulseSeq = t.seq
	t.self.lastHeard = now
}

// setDraining sets the draining flag of the node's own record and reports whether it changed.
func (t *table) setDraining(draining bool) bool {
	if t.self.record.Draining == draining {
		return false
	}
	t.seq++
	t.self.record.Draining = draining
	t.self.record.Epoch++
	t.self.recordSeq = t.seq
	return true
}

// mergeRecord merges a record and reports whether it carries urgent news: that a member is now draining.
func (t *table) mergeRecord(record *peerpb.Member, received receipt) (news bool) {
	if record.Incarnation == "" || record.Incarnation == t.self.record.Incarnation {
		return false
	}
	known, ok := t.entries[api.Incarnation(record.Incarnation)]
	if !ok {
		return t.admit(record, received) && record.Draining
	}
	if record.Heartbeat > known.record.Heartbeat {
		t.refresh(known, pulseOf(record), received)
	}
	if record.Epoch <= known.record.Epoch {
		return false
	}
	news = record.Draining && !known.record.Draining
	t.seq++
	record.Heartbeat = known.record.Heartbeat
	record.Revision = known.record.Revision
	known.record = record
	known.recordSeq = t.seq
	known.recordFrom = received.from
	return news
}

// pulse is a member's heartbeat with the fields that change often.
type pulse struct {
	heartbeat uint64
	load      uint32
	// revision is 0 if it was not reported.
	revision int64
}

func pulseOf(record *peerpb.Member) pulse {
	return pulse{heartbeat: record.Heartbeat, load: record.Load, revision: record.Revision}
}

// refresh records a new heartbeat. A contact that was not live is removed if other contacts have taken its place.
func (t *table) refresh(e *entry, latest pulse, received receipt) {
	foreign := e.record.FailureDomain != t.self.record.FailureDomain
	if foreign && !e.isLive(received.at) && !t.admitContact(e.record, received.at) {
		t.remove(e)
		return
	}
	t.seq++
	e.record.Heartbeat = latest.heartbeat
	e.record.Load = latest.load
	// A node's revision never decreases, and a release that doesn't report revisions may have forwarded the heartbeat.
	e.record.Revision = max(e.record.Revision, latest.revision)
	e.lastHeard = received.at
	e.pulseSeq = t.seq
	e.pulseFrom = received.from
}

// admit adds an unknown member and reports whether it did. It rejects an earlier incarnation of a live member's node,
// and a contact beyond contactsPerDomain.
func (t *table) admit(record *peerpb.Member, received receipt) bool {
	for _, other := range t.entries {
		if other.record.Node != record.Node {
			continue
		}
		if other.record.Started > record.Started && (other == t.self || other.isLive(received.at)) {
			return false
		}
		if other != t.self {
			t.remove(other)
		}
	}
	if record.FailureDomain != t.self.record.FailureDomain && !t.admitContact(record, received.at) {
		return false
	}
	t.add(record, received)
	return true
}

// admitContact reports whether a member of another failure domain is to be kept as a contact; it may remove another
// contact in its favour. Each failure domain prefers other contacts, so that no member is a contact of all.
func (t *table) admitContact(record *peerpb.Member, now time.Time) bool {
	contacts := []string{record.Incarnation}
	for _, other := range t.entries {
		if other.record.FailureDomain == record.FailureDomain && other.record.Incarnation != record.Incarnation && other.isLive(now) {
			contacts = append(contacts, other.record.Incarnation)
		}
	}
	preferred := rendezvous.Top(t.self.record.FailureDomain, contacts, contactsPerDomain)
	if !slices.Contains(preferred, record.Incarnation) {
		return false
	}
	for _, contact := range contacts {
		if !slices.Contains(preferred, contact) {
			t.remove(t.entries[api.Incarnation(contact)])
		}
	}
	return true
}

// mergePulses merges heartbeats and returns the ids of those without a record in the table.
func (t *table) mergePulses(pulses *peerpb.Pulses, received receipt) (unknown []uint32) {
	n := min(len(pulses.GetIds()), len(pulses.GetHeartbeats()), len(pulses.GetLoads()))
	for i := range n {
		known, ok := t.byPulse[pulses.Ids[i]]
		if !ok {
			unknown = append(unknown, pulses.Ids[i])
			continue
		}
		if known == t.self || pulses.Heartbeats[i] <= known.record.Heartbeat {
			continue
		}
		latest := pulse{heartbeat: pulses.Heartbeats[i], load: pulses.Loads[i]}
		if i < len(pulses.Revisions) {
			latest.revision = received.revision - pulses.Revisions[i]
		}
		t.refresh(known, latest, received)
	}
	return unknown
}

// expire removes members without a new heartbeat for recordTTL.
func (t *table) expire(now time.Time) {
	for _, e := range t.entries {
		if e != t.self && now.Sub(e.lastHeard) > recordTTL {
			t.remove(e)
		}
	}
}

// heardDirectly records a bundle of all topics from the member itself, which reports at least as much as a heartbeat. A member that
// is not live is admitted by its heartbeat only (see refresh).
func (e *entry) heardDirectly(now time.Time) {
	if e.isLive(now) {
		e.lastHeard = now
	}
}

func (e *entry) isLive(now time.Time) bool { return now.Sub(e.lastHeard) < livenessTimeout }

func (e *entry) member() Member {
	member := memberOf(e.record)
	member.LastHeard = e.lastHeard
	return member
}

func memberOf(r *peerpb.Member) Member {
	return Member{
		Node:          api.NodeID(r.Node),
		Incarnation:   api.Incarnation(r.Incarnation),
		Started:       time.UnixMilli(r.Started),
		Address:       r.Address,
		PeerAddress:   r.PeerAddress,
		FailureDomain: api.FailureDomain(r.FailureDomain),
		Region:        api.Region(r.Region),
		Draining:      r.Draining,
		Load:          float64(r.Load) * loadUnit,
		Revision:      api.Revision(r.Revision),
	}
}

// live returns the node itself and the members with a new heartbeat within livenessTimeout, ordered by node.
func (t *table) live(now time.Time) []Member {
	members := make([]Member, 0, len(t.entries))
	for _, e := range t.entries {
		if e == t.self || e.isLive(now) {
			members = append(members, e.member())
		}
	}
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return members
}
