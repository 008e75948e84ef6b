package peer

import (
	"cmp"
	"slices"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/peer/peerpb"
	"github.com/monsoonrail/monsoonrail/internal/rendezvous"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// memberMarks tell what a peer has of the table.
type memberMarks struct {
	records uint64
	pulses  uint64
}

// wanted tells what a peer is to get.
type wanted struct {
	to Member
	// asked lists the heartbeats whose records the peer lacks.
	asked []uint32
	// presumed tells that the peer most likely has all records that never changed.
	presumed bool
}

// since returns the records and heartbeats that a peer of a failure domain lacks, and the marks once it has them.
// Of heartbeats only the newest are sent: older ones have reached the peer by other ways.
//
// What the peer itself has told is left out, but records that it asked for are sent again.
func (t *table) since(marks memberMarks, want wanted, now time.Time) ([]*peerpb.Member, *peerpb.Pulses, memberMarks) {
	relevant := t.relevantFor(string(want.to.FailureDomain), now)
	next := memberMarks{records: marks.records, pulses: t.seq}
	slices.SortFunc(relevant, func(a, b *entry) int { return cmp.Compare(a.recordSeq, b.recordSeq) })
	var records []*peerpb.Member
	var beats []*entry
	for _, e := range relevant {
		isNew := e.recordSeq > marks.records && !e.isEcho(e.recordFrom, want.to) && !t.isPresumed(e, want)
		switch {
		case isNew && len(records) < maxRecords:
			records = append(records, cloneRecord(e.record))
			next.records = e.recordSeq
		case slices.Contains(want.asked, pulseID(e.record.Incarnation)):
			records = append(records, cloneRecord(e.record))
		case e.pulseSeq > marks.pulses && !e.isEcho(e.pulseFrom, want.to):
			beats = append(beats, e)
		}
	}
	if want.presumed && len(records) < maxRecords {
		next.records = t.seq
	}
	slices.SortFunc(beats, func(a, b *entry) int { return cmp.Compare(b.pulseSeq, a.pulseSeq) })
	return records, pulsesOf(beats[:min(len(beats), maxPulses)], t.self.record.Revision), next
}

// isEcho reports whether the peer is the member itself, or the one that brought the news; of a seed the incarnation is not
// known yet.
func (e *entry) isEcho(from api.Incarnation, to Member) bool {
	return to.Incarnation != "" && (from == to.Incarnation || e.record.Incarnation == string(to.Incarnation))
}

// isPresumed reports whether a peer is taken to have a record. One that was changed is told anyhow: its heartbeats don't show
// which epoch of it the peer has.
func (t *table) isPresumed(e *entry, want wanted) bool {
	return want.presumed && e != t.self && e.record.Epoch == 0
}

// countOwn returns the number of live members of the node's failure domain, itself included.
func (t *table) countOwn(now time.Time) int {
	count := 0
	for _, e := range t.entries {
		if e.record.FailureDomain == t.self.record.FailureDomain && (e == t.self || e.isLive(now)) {
			count++
		}
	}
	return count
}

// pulsesOf returns heartbeats; most revisions are the sender's own or little below, so that a byte tells them.
func pulsesOf(beats []*entry, revision int64) *peerpb.Pulses {
	pulses := new(peerpb.Pulses)
	for _, e := range beats {
		pulses.Revisions = append(pulses.Revisions, revision-e.record.Revision)
		pulses.Ids = append(pulses.Ids, pulseID(e.record.Incarnation))
		pulses.Heartbeats = append(pulses.Heartbeats, e.record.Heartbeat)
		pulses.Loads = append(pulses.Loads, e.record.Load)
	}
	return pulses
}

// relevantFor returns the live entries that a peer of a failure domain keeps.
func (t *table) relevantFor(domain string, now time.Time) []*entry {
	own := t.self.record.FailureDomain
	var found []*entry
	for _, e := range t.entries {
		if (e == t.self || e.isLive(now)) && (domain == own || e.record.FailureDomain == own) {
			found = append(found, e)
		}
	}
	if domain == own || len(found) <= contactsPerDomain {
		return found
	}
	incarnations := make([]string, 0, len(found))
	for _, e := range found {
		incarnations = append(incarnations, e.record.Incarnation)
	}
	preferred := rendezvous.Top(domain, incarnations, contactsPerDomain)
	return slices.DeleteFunc(found, func(e *entry) bool {
		return e != t.self && !slices.Contains(preferred, e.record.Incarnation)
	})
}

func cloneRecord(r *peerpb.Member) *peerpb.Member {
	return &peerpb.Member{
		Node: r.Node, Incarnation: r.Incarnation, Started: r.Started, Address: r.Address, PeerAddress: r.PeerAddress,
		FailureDomain: r.FailureDomain, Region: r.Region, Epoch: r.Epoch, Draining: r.Draining, Heartbeat: r.Heartbeat,
		Load: r.Load, Revision: r.Revision,
	}
}
