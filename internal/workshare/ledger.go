package workshare

import (
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// rowBytes is the memory of a source's row, sumBytes that of a server's sum and of what is kept of it for those who are told.
	rowBytes = 96
	sumBytes = 512
)

// session orders the connections of a node: later starts and, of the same start, later connections are larger.
type session struct {
	start  int64
	number uint64
}

func (s session) isBefore(other session) bool {
	return s.start < other.start || s.start == other.start && s.number < other.number
}

// source names what a part of the sums comes from: a node of the own failure domain, or another failure domain.
type source struct {
	node   api.NodeID
	domain api.FailureDomain
}

// part is what a source has reported.
type part struct {
	session session
	// number is that of the last report.
	number  uint64
	rows    map[name]amounts
	heardAt time.Time
	lag     time.Duration
}

// sum is the sum over the parts that mention a server, and the newest slowdown among them.
type sum struct {
	domain, fleet amounts
	slowdown      slowdown
}

// of returns what the sum of a scope says.
func (s sum) of(of scope) row {
	if of == scopeDomain {
		return row{s.domain, s.slowdown}
	}
	return row{s.fleet, s.slowdown}
}

// ledger merges reports. Its zero value is not usable.
type ledger struct {
	parts map[source]*part
	sums  map[name]*sum
	// rows is the number of rows of all parts.
	rows int
	// changed is called for each server whose sum changes.
	changed func(name)
	// moved is called for each server at which a source's requests or their work change; it may be nil.
	moved func(name)
}

func newLedger(changed func(name)) *ledger {
	return &ledger{parts: make(map[source]*part), sums: make(map[name]*sum), changed: changed}
}

// begin begins a session of a source, without the rows of an earlier one. It reports false if a later session has begun.
func (l *ledger) begin(from source, s session, now time.Time) bool {
	if old, ok := l.parts[from]; ok {
		if s.isBefore(old.session) {
			return false
		}
		l.drop(from)
	}
	l.parts[from] = &part{session: s, rows: make(map[name]amounts), heardAt: now}
	return true
}

// bytes returns the memory that parts and sums take.
func (l *ledger) bytes() int64 { return int64(l.rows)*rowBytes + int64(len(l.sums))*sumBytes }

// hasRoom reports whether the ledger stays within a number of bytes with further entries of a source.
func (l *ledger) hasRoom(from source, entries []entry, maxBytes int64) bool {
	if l.bytes()+int64(len(entries))*(rowBytes+sumBytes) <= maxBytes {
		return true
	}
	var rows map[name]amounts
	if p, ok := l.parts[from]; ok {
		rows = p.rows
	}
	bytes := l.bytes()
	for _, e := range entries {
		if _, ok := rows[e.name]; !ok {
			bytes += rowBytes
		}
		if _, ok := l.sums[e.name]; !ok {
			bytes += sumBytes
		}
	}
	return bytes <= maxBytes
}

// apply applies a report of a session. It reports false, and changes nothing, if that session isn't the latest or has ended.
func (l *ledger) apply(from source, s session, f frame, now time.Time) bool {
	p, ok := l.parts[from]
	if !ok || p.session != s {
		return false
	}
	p.heardAt, p.number, p.lag = now, max(p.number, f.number), f.lag
	if f.isFull {
		mentioned := make(map[name]bool, len(f.entries))
		for _, e := range f.entries {
			mentioned[e.name] = true
		}
		for n := range p.rows {
			if !mentioned[n] {
				l.set(from, p, n, amounts{})
			}
		}
	}
	for _, e := range f.entries {
		next := e.row.amounts
		if !e.hasPace {
			next = next.withPaceOf(p.rows[e.name])
		}
		l.set(from, p, e.name, next)
		if e.row.slowdown.hundredths > 0 {
			l.hearSlowdown(e.name, e.row.slowdown)
		}
	}
	return true
}

// set replaces the row of a source.
func (l *ledger) set(from source, p *part, n name, next amounts) {
	difference := next.minus(p.rows[n])
	if difference == (amounts{}) {
		return
	}
	before := len(p.rows)
	if next == (amounts{}) {
		delete(p.rows, n)
	} else {
		p.rows[n] = next
	}
	l.rows += len(p.rows) - before
	s := l.sumOf(n)
	s.fleet = s.fleet.plus(difference)
	if from.node != "" {
		s.domain = s.domain.plus(difference)
	}
	l.changed(n)
	if l.moved != nil && (difference.requests != 0 || difference.unread != 0) {
		l.moved(n)
	}
}

func (l *ledger) hearSlowdown(n name, heard slowdown) {
	if s := l.sumOf(n); heard.isNewerThan(s.slowdown) {
		s.slowdown = heard
		l.changed(n)
	}
}

func (l *ledger) sumOf(n name) *sum {
	s, ok := l.sums[n]
	if !ok {
		s = &sum{}
		l.sums[n] = s
	}
	return s
}

// drop removes a source's part.
func (l *ledger) drop(from source) {
	if p, ok := l.parts[from]; ok {
		for n := range p.rows {
			l.set(from, p, n, amounts{})
		}
		delete(l.parts, from)
	}
}

// expire drops the parts of sources that were silent since a time, and returns how many.
func (l *ledger) expire(since time.Time) (dropped int) {
	for from, p := range l.parts {
		if p.heardAt.Before(since) {
			l.drop(from)
			dropped++
		}
	}
	return dropped
}

// forget removes the sums that are zero and whose slowdown is outdated.
func (l *ledger) forget(now time.Time) {
	for n, s := range l.sums {
		if s.fleet == (amounts{}) && s.domain == (amounts{}) && !s.slowdown.isCurrent(now) {
			delete(l.sums, n)
		}
	}
}

// get returns what the sum of a scope says of a server.
func (l *ledger) get(n name, of scope) row {
	if s, ok := l.sums[n]; ok {
		return s.of(of)
	}
	return row{}
}

// lag returns the longest lag of a part.
func (l *ledger) lag() time.Duration {
	longest := time.Duration(0)
	for _, p := range l.parts {
		longest = max(longest, p.lag)
	}
	return longest
}

// others returns what is known of a server without the part of a source.
func (l *ledger) others(n name, without source) row {
	r := l.get(n, scopeFleet)
	if p, ok := l.parts[without]; ok {
		r.amounts = r.amounts.minus(p.rows[n])
	}
	return r
}
