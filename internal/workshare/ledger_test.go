package workshare

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// reporter is a node whose reports are lost, delayed and repeated in the connections of one test.
type reporter struct {
	from    source
	session session
	number  uint64
	rows    map[name]amounts
	told    map[name]amounts
	// late are the sent reports that haven't arrived.
	late []lateReport
}

type lateReport struct {
	session session
	frame   frame
}

func drawAmounts(t *rapid.T) amounts {
	if rapid.IntRange(0, 3).Draw(t, "zero") == 0 {
		return amounts{}
	}
	return amounts{
		requests: rapid.Int64Range(0, 5).Draw(t, "requests"), unread: rapid.Int64Range(0, 5000).Draw(t, "unread"),
		answers: rapid.Int64Range(0, 50).Draw(t, "answers"), took: rapid.Int64Range(0, 500).Draw(t, "took"), expected: rapid.Int64Range(0, 500).Draw(t, "expected"),
	}
}

// connect begins a session, whose first report is full.
func (r *reporter) connect(isRestart bool) {
	if isRestart {
		r.session = session{start: r.session.start + 1}
		r.rows = make(map[name]amounts)
	}
	r.session.number++
	r.number, r.told = 0, make(map[name]amounts)
	r.report()
}

// report sends what changed.
func (r *reporter) report() {
	r.number++
	f := frame{number: r.number, isFull: r.number == 1}
	for n := range name(6) {
		if r.rows[n] != r.told[n] {
			f.entries = append(f.entries, entry{name: n, row: row{amounts: r.rows[n]}, hasPace: true})
			r.told[n] = r.rows[n]
		}
	}
	r.late = append(r.late, lateReport{r.session, f})
}

// arrive lets the first late report of a session arrive; connections keep the order of their own reports only.
func (r *reporter) arrive(l *ledger, at int, now time.Time) {
	s := r.late[at].session
	for i, late := range r.late {
		if late.session == s {
			at = i
			break
		}
	}
	f := r.late[at].frame
	r.late = append(r.late[:at:at], r.late[at+1:]...)
	if f.isFull && !l.begin(r.from, s, now) {
		return
	}
	l.apply(r.from, s, f, now)
}

// TestSumsConverge draws reports, losses of connections and restarts in any order. In the end, when each node's last session has arrived, the sums are
// those of what the nodes have under way; those of nodes that died are gone once they are silent for long.
func TestSumsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		begin := time.Unix(1000, 0)
		now := begin
		l := newLedger(func(name) {})
		var reporters []*reporter
		for i := range rapid.IntRange(1, 4).Draw(t, "nodes") {
			r := &reporter{from: source{node: api.NodeID(fmt.Sprint(i))}, rows: make(map[name]amounts)}
			if i == 3 {
				r.from = source{domain: "other"}
			}
			r.connect(true)
			reporters = append(reporters, r)
		}
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			now = now.Add(10 * time.Millisecond)
			r := reporters[rapid.IntRange(0, len(reporters)-1).Draw(t, "node")]
			switch rapid.SampledFrom([]string{"change", "report", "arrive", "connect", "restart", "lose"}).Draw(t, "step") {
			case "change":
				r.rows[name(rapid.Uint64Range(0, 5).Draw(t, "server"))] = drawAmounts(t)
			case "report":
				r.report()
			case "arrive":
				if len(r.late) > 0 {
					r.arrive(l, rapid.IntRange(0, len(r.late)-1).Draw(t, "late"), now)
				}
			case "connect":
				r.connect(false)
			case "restart":
				r.connect(true)
			case "lose":
				r.late = nil
				r.connect(false)
			}
		}
		dead := rapid.IntRange(0, len(reporters)).Draw(t, "dead")
		now = now.Add(time.Minute)
		for i, r := range reporters {
			if i != dead {
				r.report()
			}
			for len(r.late) > 0 && i != dead {
				r.arrive(l, rapid.IntRange(0, len(r.late)-1).Draw(t, "late"), now)
			}
		}
		l.expire(now.Add(-time.Second))
		for n := range name(6) {
			var want sum
			for i, r := range reporters {
				if i == dead {
					continue
				}
				want.fleet = want.fleet.plus(r.rows[n])
				if r.from.node != "" {
					want.domain = want.domain.plus(r.rows[n])
				}
			}
			for _, of := range []scope{scopeDomain, scopeFleet} {
				if got := l.get(n, of); got != want.of(of) {
					t.Fatalf("server %d, scope %d: %+v, want %+v", n, of, got, want.of(of))
				}
			}
		}
	})
}

// TestOldReportDoesNotCount lets a report of an earlier connection arrive after the first one of a later connection.
func TestOldReportDoesNotCount(t *testing.T) {
	c, now := qt.New(t), time.Unix(1000, 0)
	l := newLedger(func(name) {})
	from := source{node: "a"}
	report := func(requests int64) frame {
		return frame{isFull: true, entries: []entry{{name: 1, row: row{amounts: amounts{requests: requests}}}}}
	}
	early, late := session{start: 1, number: 1}, session{start: 1, number: 2}
	c.Assert(l.begin(from, early, now), qt.IsTrue)
	c.Assert(l.begin(from, late, now), qt.IsTrue)
	c.Assert(l.apply(from, late, report(2), now), qt.IsTrue)
	c.Check(l.apply(from, early, report(7), now), qt.IsFalse)
	c.Check(l.begin(from, early, now), qt.IsFalse)
	c.Check(l.get(1, scopeFleet).amounts.requests, qt.Equals, int64(2))
}

// TestReceiverFollows draws changes of servers, which a receiver must know in the end however few bytes each frame has; in between the receiver may miss
// frames and get all.
func TestReceiverFollows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		d := newDigest(rapid.SampledFrom([]int64{0, domainThreshold}).Draw(t, "threshold"), domainPatience)
		current, received := make(map[name]row), make(map[name]amounts)
		bytes := rapid.IntRange(entryBytes+paceBytes, 60).Draw(t, "bytes")
		isInStep := true
		receive := func(isFull bool, entries []entry) {
			if isFull {
				clear(received)
			}
			f, err := decodeFrame(payloadOf(frame{isFull: isFull, entries: entries}.encode(now)), nil, now)
			if err != nil {
				t.Fatal(err)
			}
			for _, e := range f.entries {
				next := e.row.amounts
				if !e.hasPace {
					next = next.withPaceOf(received[e.name])
				}
				received[e.name] = next
			}
		}
		send := func(mayMiss bool) {
			now = now.Add(50 * time.Millisecond)
			entries := d.next(func(n name) row { return current[n] }, bytes, now)
			switch {
			case mayMiss:
				isInStep = false
			case !isInStep:
				receive(true, d.full(now))
				isInStep = true
			default:
				receive(false, entries)
			}
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "isChange") {
				n := name(rapid.Uint64Range(0, 1<<nameBits-1).Draw(t, "server") % 8 << 30)
				current[n] = row{amounts: drawAmounts(t)}
				d.mark(n)
			} else {
				send(rapid.IntRange(0, 4).Draw(t, "miss") == 0)
			}
		}
		for range 30 * paceWait {
			send(false)
		}
		for n, want := range current {
			if received[n] != want.amounts {
				t.Fatalf("server %d: %+v, want %+v", n, received[n], want.amounts)
			}
		}
	})
}

// TestLargestChangesFirst tells of two servers in a frame that has room for one.
func TestLargestChangesFirst(t *testing.T) {
	c, now := qt.New(t), time.Unix(1000, 0)
	d := newDigest(0, 0)
	current := map[name]row{1: {amounts: amounts{requests: 1, unread: 10}}, 2: {amounts: amounts{requests: 1, unread: 5000}}}
	d.mark(1)
	d.mark(2)
	next := func() (names []name) {
		for _, e := range d.next(func(n name) row { return current[n] }, entryBytes, now) {
			names = append(names, e.name)
		}
		return names
	}
	c.Check(next(), qt.DeepEquals, []name{2})
	c.Check(next(), qt.DeepEquals, []name{1})
	c.Check(next(), qt.HasLen, 0)
}

// TestWaitingChangesAreTold lets a few servers change much in every turn, and one by a request. The latter must be told although each frame has room for
// two only.
func TestWaitingChangesAreTold(t *testing.T) {
	c, now := qt.New(t), time.Unix(1000, 0)
	d := newDigest(0, 0)
	current := map[name]row{9: {amounts: amounts{requests: 1}}}
	d.mark(9)
	for turn := range 3 * d.maxWaits {
		for n := range name(3) {
			current[n] = row{amounts: amounts{requests: 1, unread: int64(5000 * (1 + turn%2))}}
			d.mark(n)
		}
		d.next(func(n name) row { return current[n] }, 2*entryBytes, now)
	}
	c.Check(d.told[9].amounts.requests, qt.Equals, int64(1))
}

// TestPrecisionGivesWay changes far more servers in each turn than a frame has room for. What is known must become less exact, not old.
func TestPrecisionGivesWay(t *testing.T) {
	c, now := qt.New(t), time.Unix(1000, 0)
	d := newDigest(0, 0)
	current := make(map[name]row)
	random := rand.New(rand.NewPCG(1, 1))
	late := 0
	const turns, settled = 400, 200
	for turn := range turns {
		for range 200 {
			n := name(random.IntN(2000))
			current[n] = row{amounts: amounts{requests: 1, unread: random.Int64N(2000)}}
			d.mark(n)
		}
		d.next(func(n name) row { return current[n] }, 50*entryBytes, now)
		if turn >= settled && d.lag > 3*d.maxWaits {
			late++
		}
	}
	c.Check(late < (turns-settled)/10, qt.IsTrue, qt.Commentf("%d of %d turns, notable %.0f", late, turns-settled, d.notable))
}

// TestLedgerKeepsItsBound lets nodes report work until the ledger has no room, and takes the next report once one of them is gone.
func TestLedgerKeepsItsBound(t *testing.T) {
	const maxBytes = 100 * (rowBytes + sumBytes)
	l, now := newLedger(func(name) {}), time.Now()
	report := func(from source, first name) bool {
		var entries []entry
		for i := range name(40) {
			entries = append(entries, entry{name: first + i, row: row{amounts: amounts{requests: 1}}})
		}
		if !l.hasRoom(from, entries, maxBytes) {
			return false
		}
		return l.begin(from, session{start: 1}, now) && l.apply(from, session{start: 1}, frame{isFull: true, entries: entries}, now)
	}
	a, b, c := source{node: "a"}, source{node: "b"}, source{node: "c"}
	qt.Assert(t, report(a, 0), qt.IsTrue)
	qt.Assert(t, report(b, 1000), qt.IsTrue)
	qt.Assert(t, report(c, 2000), qt.IsFalse)
	// Rows that are known take no more memory when they are reported again.
	qt.Assert(t, report(a, 0), qt.IsTrue)
	l.drop(b)
	l.forget(now)
	qt.Assert(t, report(c, 2000), qt.IsTrue)
	qt.Assert(t, l.bytes(), qt.Equals, int64(80*(rowBytes+sumBytes)))
}
