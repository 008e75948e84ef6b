package workshare

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestPaceOfEveryServerIsTold lets the paces of all servers change all the time, with room for a few in each frame.
func TestPaceOfEveryServerIsTold(t *testing.T) {
	const servers, bytes, turns = 90, 450, 20 * paceWait
	now := time.Unix(1000, 0)
	d := newDigest(0, 0)
	rows := make(map[name]row)
	told := make(map[name]bool)
	for turn := range int64(turns) {
		for n := range name(servers) {
			rows[n] = row{amounts: amounts{answers: 1 + turn, took: 10 + turn, expected: 10}}
			d.mark(n)
		}
		for _, e := range d.next(func(n name) row { return rows[n] }, bytes, now) {
			told[e.name] = told[e.name] || e.hasPace
		}
	}
	qt.Assert(t, told, qt.HasLen, servers)
}

// TestOffsettingChangesAreTold ends a request of one source while that of another begins: the sum is what it was, but not what each source has to
// subtract from it.
func TestOffsettingChangesAreTold(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDigest(0, 0)
	sum := func(name) row { return row{amounts: amounts{requests: 1}} }
	d.mark(1)
	qt.Assert(t, d.next(sum, 1000, now), qt.HasLen, 1)
	d.mark(1)
	qt.Assert(t, d.next(sum, 1000, now), qt.HasLen, 0)
	d.move(1)
	qt.Assert(t, d.next(sum, 1000, now), qt.HasLen, 1)
}

// TestEndedStartsAreForgotten tells of starts of servers that end, of each of which a slowdown was the last news.
func TestEndedStartsAreForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDigest(0, 0)
	for n := range name(500) {
		d.tell(n, row{slowdown: slowdown{hundredths: 100, at: now}}, now)
		now = now.Add(time.Second)
		d.next(func(name) row { return row{} }, 1000, now)
	}
	qt.Assert(t, len(d.told) <= 100, qt.IsTrue, qt.Commentf("%d", len(d.told)))
}

// TestLargeSumsFitInFrames writes a sum above what an amount of a frame can hold.
func TestLargeSumsFitInFrames(t *testing.T) {
	now := time.Unix(1000, 0)
	f := frame{entries: []entry{{name: 1, row: row{amounts: amounts{requests: 1, unread: maxAmount + 1000}}}}}
	decoded, err := decodeFrame(payloadOf(f.encode(now)), nil, now)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, decoded.entries[0].row.amounts, qt.Equals, amounts{requests: 1, unread: maxAmount})
}
