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
	// suspectAfter without a new heartbeat, a member is no longer listed and nothing of it is handed on.
	suspectAfter = 15 * time.Second
	// forgetAfter is how long the record of a silent member is kept, so that old news of it doesn't bring it back.
	forgetAfter = 10 * time.Minute
	// contactsPerDomain bounds the members kept of each other failure domain.
	contactsPerDomain = 4
	// maxRecords and maxPulses bound what one bundle carries about members.
	maxRecords = 64
	maxPulses  = 40
	// presumedShare is how much of what a node knows a peer must know to be taken to know the rest too.
	presumedShare = 0.9
	// loadUnit is the unit in which loads travel.
	loadUnit = 0.001
)

// Member is one run of a node that takes part in the exchange.
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
	// Draining tells that the node takes no new callers.
	Draining bool
	// Load is the used part of the node's capacity, from 0.
	Load float64
	// LastHeard is when a new heartbeat of the member last came in, by this node's clock.
	LastHeard time.Time
	// Revision is the highest configuration revision that the member is known to have; 0 if it never told one.
	Revision api.Revision
	// Protocol is what the member said that it speaks, when it last talked with this node; 0 if it did not lately.
	Protocol uint32
}

// entry is a member as the table keeps it.
type entry struct {
	record    *peerpb.Member
	lastHeard time.Time
	// recordSeq and pulseSeq are the table's sequence at the last change of the record and of the heartbeat.
	recordSeq uint64
	pulseSeq  uint64
	// recordFrom and pulseFrom tell who brought them, which need not hear them again.
	recordFrom api.Incarnation
	pulseFrom  api.Incarnation
}

// table holds all members of the own failure domain and a few contacts of each other. It does no locking.
type table struct {
	self    *entry
	entries map[api.Incarnation]*entry
	byPulse map[uint32]*entry
	// seq grows with each change.
	seq uint64
}

func newTable(self *peerpb.Member, now time.Time) *table {
	t := &table{entries: make(map[api.Incarnation]*entry), byPulse: make(map[uint32]*entry)}
	t.self = t.add(self, hearing{at: now})
	return t
}

func pulseID(incarnation string) uint32 { return uint32(xxhash.Sum64String(incarnation)) }

// hearing tells when news came in, and from whom.
type hearing struct {
	at   time.Time
	from api.Incarnation
	// revision is that of the sender.
	revision int64
}

func (t *table) add(record *peerpb.Member, heard hearing) *entry {
	t.seq++
	added := &entry{
		record: record, lastHeard: heard.at, recordSeq: t.seq, pulseSeq: t.seq, recordFrom: heard.from, pulseFrom: heard.from,
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

// beat advances the node's own heartbeat.
func (t *table) beat(load float64, now time.Time) {
	t.seq++
	t.self.record.Heartbeat++
	t.self.record.Load = uint32(max(0, load) / loadUnit)
	t.self.pulseSeq = t.seq
	t.self.lastHeard = now
}

// setDraining changes the node's own record and reports whether it did.
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

// absorbRecord takes in a record and reports whether it tells others something urgent: that a member drains.
func (t *table) absorbRecord(record *peerpb.Member, heard hearing) (news bool) {
	if record.Incarnation == "" || record.Incarnation == t.self.record.Incarnation {
		return false
	}
	known, ok := t.entries[api.Incarnation(record.Incarnation)]
	if !ok {
		return t.admit(record, heard) && record.Draining
	}
	if record.Heartbeat > known.record.Heartbeat {
		t.refresh(known, pulseOf(record), heard)
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
	known.recordFrom = heard.from
	return news
}

// pulse is a member's heartbeat with what changes often.
type pulse struct {
	heartbeat uint64
	load      uint32
	// revision is 0 where it was not told.
	revision int64
}

func pulseOf(record *peerpb.Member) pulse {
	return pulse{heartbeat: record.Heartbeat, load: record.Load, revision: record.Revision}
}

// refresh records a new heartbeat. A contact that was given up stays so if others have taken its place.
func (t *table) refresh(e *entry, beat pulse, heard hearing) {
	foreign := e.record.FailureDomain != t.self.record.FailureDomain
	if foreign && !e.isLive(heard.at) && !t.makeRoom(e.record, heard.at) {
		t.remove(e)
		return
	}
	t.seq++
	e.record.Heartbeat = beat.heartbeat
	e.record.Load = beat.load
	// A node's revision never goes back, and a release that doesn't tell it may have handed the heartbeat on.
	e.record.Revision = max(e.record.Revision, beat.revision)
	e.lastHeard = heard.at
	e.pulseSeq = t.seq
	e.pulseFrom = heard.from
}

// admit adds an unknown member unless it is an earlier run of its node or one contact too many.
func (t *table) admit(record *peerpb.Member, heard hearing) bool {
	for _, other := range t.entries {
		if other.record.Node != record.Node {
			continue
		}
		if other.record.Started > record.Started && (other == t.self || other.isLive(heard.at)) {
			return false
		}
		if other != t.self {
			t.remove(other)
		}
	}
	if record.FailureDomain != t.self.record.FailureDomain && !t.makeRoom(record, heard.at) {
		return false
	}
	t.add(record, heard)
	return true
}

// makeRoom reports whether a contact of another failure domain is to be kept; it may remove another for it.
// Each failure domain prefers other contacts, so that no member is a contact of all.
func (t *table) makeRoom(record *peerpb.Member, now time.Time) bool {
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

// absorbPulses takes in heartbeats and returns the ids of those whose member is unknown.
func (t *table) absorbPulses(pulses *peerpb.Pulses, heard hearing) (unknown []uint32) {
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
		beat := pulse{heartbeat: pulses.Heartbeats[i], load: pulses.Loads[i]}
		if i < len(pulses.Revisions) {
			beat.revision = heard.revision - pulses.Revisions[i]
		}
		t.refresh(known, beat, heard)
	}
	return unknown
}

// expire forgets members that have been silent for long.
func (t *table) expire(now time.Time) {
	for _, e := range t.entries {
		if e != t.self && now.Sub(e.lastHeard) > forgetAfter {
			t.remove(e)
		}
	}
}

func (e *entry) isLive(now time.Time) bool { return now.Sub(e.lastHeard) < suspectAfter }

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

// live returns the members heard of lately, the node itself among them, ordered by node.
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
