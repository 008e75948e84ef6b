package peer

import (
	"cmp"
	"slices"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/peer/peerpb"
	"github.com/monsoonrail/monsoonrail/internal/rendezvous"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// memberSyncPoint holds the table's sequence numbers up to which a peer has the records and the heartbeats.
type memberSyncPoint struct {
	records uint64
	pulses  uint64
}

// deltaOptions selects what a peer is sent.
type deltaOptions struct {
	to Member
	// requestedRecords lists the ids of the heartbeats whose records the peer lacks.
	requestedRecords []uint32
	// presumed reports whether the peer most likely has all records that never changed.
	presumed bool
}

// since returns the records and heartbeats that a peer lacks, and its sync point after it has received them. Only the
// newest heartbeats are sent: older ones have reached the peer through others.
//
// Records and heartbeats that the peer itself sent are left out, but records that it requested are sent again.
func (t *table) since(acked memberSyncPoint, opts deltaOptions, now time.Time) ([]*peerpb.Member, *peerpb.Pulses, memberSyncPoint) {
	relevant := t.relevantFor(string(opts.to.FailureDomain), now)
	next := memberSyncPoint{records: acked.records, pulses: t.seq}
	slices.SortFunc(relevant, func(a, b *entry) int { return cmp.Compare(a.recordSeq, b.recordSeq) })
	var records []*peerpb.Member
	var beats []*entry
	for _, e := range relevant {
		isNew := e.recordSeq > acked.records && !e.isEcho(e.recordFrom, opts.to) && !t.isPresumed(e, opts)
		switch {
		case isNew && len(records) < maxRecords:
			records = append(records, cloneRecord(e.record))
			next.records = e.recordSeq
		case slices.Contains(opts.requestedRecords, pulseID(e.record.Incarnation)):
			records = append(records, cloneRecord(e.record))
		case e.pulseSeq > acked.pulses && !e.isEcho(e.pulseFrom, opts.to):
			beats = append(beats, e)
		}
	}
	if opts.presumed && len(records) < maxRecords {
		next.records = t.seq
	}
	slices.SortFunc(beats, func(a, b *entry) int { return cmp.Compare(b.pulseSeq, a.pulseSeq) })
	return records, pulsesOf(beats[:min(len(beats), maxPulses)], t.self.record.Revision), next
}

// isEcho reports whether the peer is the entry's member, or the one that sent the news (from). The incarnation of a
// seed is not yet known, and then nothing is an echo.
func (e *entry) isEcho(from api.Incarnation, to Member) bool {
	return to.Incarnation != "" && (from == to.Incarnation || e.record.Incarnation == string(to.Incarnation))
}

// isPresumed reports whether a peer is presumed to have a record. A changed record is sent in any case: heartbeats
// don't show which epoch of it the peer has.
func (t *table) isPresumed(e *entry, opts deltaOptions) bool {
	return opts.presumed && e != t.self && e.record.Epoch == 0
}

// countOwnDomain returns the number of live members of the node's failure domain, itself included.
func (t *table) countOwnDomain(now time.Time) int {
	count := 0
	for _, e := range t.entries {
		if e.record.FailureDomain == t.self.record.FailureDomain && (e == t.self || e.isLive(now)) {
			count++
		}
	}
	return count
}

// pulsesOf returns the heartbeats of entries for the wire. Revisions are relative to the sender's: most are equal or a
// little lower, so that a byte encodes them.
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

// relevantFor returns the live entries that a peer of a failure domain would keep.
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
