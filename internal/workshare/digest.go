package workshare

import (
	"cmp"
	"slices"
	"time"
)

const (
	// requestWeight is how much unread work a request that is begun or ended counts for where changes are ranked, slowdownWeight the same for a
	// slowdown that changes by a hundredth.
	requestWeight  = 50
	slowdownWeight = 1
	// slowdownStep is the change from which a slowdown is told, in hundredths; a smaller one is told after slowdownRefresh.
	slowdownStep    = 5
	slowdownRefresh = time.Second
	// entryBytes is the usual size of an entry, paceBytes that of its pace, at most.
	entryBytes = 9
	paceBytes  = 9
	// maxWait is how long notable changes wait before they precede larger ones.
	maxWait = 200 * time.Millisecond
	// notableGrowth and notableDecay change what is notable in a turn in which there is no room for some of it for long, or room for all.
	notableGrowth = 1.25
	notableDecay  = 0.95
	// paceWait is the number of digests between two in which the pace of answers is told.
	paceWait = 20
)

// digest tracks what the receivers of a stream of frames know, and chooses what to tell them next.
type digest struct {
	told map[name]row
	// due holds the servers that may have changed.
	due map[name]waiting
	// notable is the change from which a server must be told soon. It grows while there is no room for all of these, so that what is known is less
	// exact instead of old.
	notable float64
	// threshold is the change below which a server isn't told, unless it has no requests any more or waits for patience turns.
	threshold int64
	patience  int
	turn      int
	// maxWaits is the number of turns that notable changes wait at most if there is room.
	maxWaits int
	// lag is the number of turns for which a notable change waits since the last turn.
	lag int
	// changes is the memory for the servers that are due in a turn.
	changes []change
}

func newDigest(threshold int64, patience int) *digest {
	return &digest{told: make(map[name]row), due: make(map[name]waiting), notable: requestWeight, threshold: threshold, patience: patience, maxWaits: waitsFor(minInterval)}
}

// mark records that a server may have changed.
func (d *digest) mark(n name) {
	if _, ok := d.due[n]; !ok {
		d.due[n] = waiting{}
	}
}

// move records that a source's part of a server's sum changed.
func (d *digest) move(n name) {
	waits := d.due[n]
	waits.isMoved = true
	d.due[n] = waits
}

// waitsFor returns the number of turns at an interval that notable changes wait at most if there is room.
func waitsFor(interval time.Duration) int { return int(maxWait / interval) }

// waiting holds the numbers of turns for which a server is due, for which it has had a notable change, and for which its pace has been another than told.
type waiting struct {
	any, notable, pace int
	// isMoved means that a source's part of the sum changed: that source must learn the sum anew, also if the sum is what it was.
	isMoved bool
}

// change is a server that is due.
type change struct {
	entry entry
	size  int64
	waits waiting
}

// overdue returns the number of turns for which a notable change waits if there are too many.
func (c change) overdue(maxWaits int) int {
	if c.waits.notable <= maxWaits {
		return 0
	}
	return c.waits.notable
}

// missedPaces returns the number of turns for which the pace waits if there was no room for it when paces were last told.
func (c change) missedPaces() int {
	if !c.entry.hasPace || c.waits.pace <= paceWait {
		return 0
	}
	return c.waits.pace
}

// next returns what to tell within a number of bytes, those that wait for long and then the largest changes first, and counts it as told.
func (d *digest) next(current func(name) row, bytes int, now time.Time) []entry {
	d.turn++
	tellsPace := d.turn%paceWait == 1
	changes := d.changes[:0]
	for n, waits := range d.due {
		row, told := current(n), d.told[n]
		size := sizeOf(row, told, now)
		if waits.isMoved {
			size = max(size, 1)
		}
		hasNewPace := !row.amounts.hasPaceOf(told.amounts)
		waits.any++
		if waits.pace++; !hasNewPace {
			waits.pace = 0
		}
		if waits.notable++; float64(size) < d.notable {
			waits.notable = 0
		}
		switch {
		case size == 0 && !hasNewPace:
			delete(d.due, n)
			continue
		case size == 0 && !tellsPace:
			waits.any = 0
		case size > 0 && size < d.threshold && waits.any <= d.patience && row.amounts.requests > 0:
		default:
			if slowdownChange(row, told, now) == 0 {
				row.slowdown = slowdown{}
			}
			changes = append(changes, change{entry: entry{name: n, row: row, hasPace: tellsPace && hasNewPace}, size: size, waits: waits})
		}
		d.due[n] = waits
	}
	d.changes = changes
	slices.SortFunc(changes, func(a, b change) int {
		return cmp.Or(
			cmp.Compare(b.overdue(d.maxWaits), a.overdue(d.maxWaits)), cmp.Compare(b.missedPaces(), a.missedPaces()), cmp.Compare(b.size, a.size),
			cmp.Compare(b.waits.any, a.waits.any), cmp.Compare(a.entry.name, b.entry.name),
		)
	})
	var entries []entry
	d.lag = 0
	for _, c := range changes {
		bytes -= entryBytes
		if c.entry.hasPace {
			bytes -= paceBytes
		}
		if bytes < 0 {
			d.lag = max(d.lag, c.waits.notable)
			continue
		}
		told, before := c.entry.row, d.told[c.entry.name]
		if !c.entry.hasPace {
			told.amounts = told.amounts.withPaceOf(before.amounts)
		}
		if told.slowdown.hundredths == 0 {
			told.slowdown = before.slowdown
		}
		if told.amounts.hasPaceOf(c.entry.row.amounts) {
			delete(d.due, c.entry.name)
		} else {
			d.due[c.entry.name] = waiting{pace: c.waits.pace}
		}
		entries = append(entries, c.entry)
		d.tell(c.entry.name, told, now)
	}
	if tellsPace {
		d.forget(now)
	}
	switch {
	case d.lag > d.maxWaits:
		d.notable *= notableGrowth
	case d.lag == 0:
		d.notable = max(requestWeight, d.notable*notableDecay)
	}
	return entries
}

// tell records what the receivers know.
func (d *digest) tell(n name, told row, now time.Time) {
	if told.amounts == (amounts{}) && !told.slowdown.isCurrent(now) {
		delete(d.told, n)
		return
	}
	d.told[n] = told
}

// forget removes the servers of which the receivers know nothing any more.
func (d *digest) forget(now time.Time) {
	for n, told := range d.told {
		d.tell(n, told, now)
	}
}

// full returns all that the receivers know, for one that joins them.
func (d *digest) full(now time.Time) []entry {
	entries := make([]entry, 0, len(d.told))
	for n, told := range d.told {
		if told.amounts == (amounts{}) && !told.slowdown.isCurrent(now) {
			delete(d.told, n)
			continue
		}
		entries = append(entries, entry{name: n, row: told, hasPace: !told.amounts.hasPaceOf(amounts{})})
	}
	return entries
}

// sizeOf returns how much a server's load and slowdown changed since it was told.
func sizeOf(current, told row, now time.Time) int64 {
	return abs(current.amounts.unread-told.amounts.unread) + requestWeight*abs(current.amounts.requests-told.amounts.requests) +
		slowdownWeight*slowdownChange(current, told, now)
}

// slowdownChange returns the change of a slowdown in hundredths if it is to be told, or 0.
func slowdownChange(current, told row, now time.Time) int64 {
	if !current.slowdown.isCurrent(now) || !current.slowdown.isNewerThan(told.slowdown) {
		return 0
	}
	change := abs(current.slowdown.hundredths - told.slowdown.hundredths)
	if change < slowdownStep && current.slowdown.at.Sub(told.slowdown.at) < slowdownRefresh {
		return 0
	}
	return max(change, 1)
}

func abs(x int64) int64 { return max(x, -x) }
