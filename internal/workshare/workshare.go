// Package workshare tells the nodes of a fleet what the others have under way at each backend server.
//
// Each node reports its own work to two aggregators of its failure domain, and takes the sums over all nodes from the first of them that answers.
// Aggregators take the sums of other failure domains from those domains' aggregators. Reports, sums of a domain and totals flow one way each, so that
// no part is counted twice. All amounts are absolute: what is skipped or lost is replaced by the next frame that mentions the server.
package workshare

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/internal/workload"
)

// Error is the class of every error of the package.
var Error = errs.Class("workshare")

// nameBits is the number of bits of the hash that names a start of a server in frames.
const nameBits = 40

// name names a start of a server in frames.
type name uint64

// nameOf returns the name of a start of a server.
func nameOf(server workload.Server) name {
	var buffer [64]byte
	b := append(buffer[:0], server.ID...)
	b = binary.LittleEndian.AppendUint64(append(b, 0), uint64(server.Start))
	return name(xxhash.Sum64(b) >> (64 - nameBits))
}

// Units of amounts. Amounts are whole numbers so that sums are exact in any order.
const (
	workUnit      = workload.Work(100 * time.Microsecond)
	answersUnit   = 1.0 / 16
	slowdownUnit  = 1.0 / 100
	slowdownTick  = 10 * time.Millisecond
	maxSlowdown   = 1000
	slowdownStays = 5 * time.Second
)

// amounts is what some nodes know and have under way at a server.
type amounts struct {
	requests, unread int64
	// answers, took and expected are those of a workload.Pace.
	answers, took, expected int64
}

func (a amounts) plus(b amounts) amounts {
	return amounts{a.requests + b.requests, a.unread + b.unread, a.answers + b.answers, a.took + b.took, a.expected + b.expected}
}

func (a amounts) minus(b amounts) amounts {
	return amounts{a.requests - b.requests, a.unread - b.unread, a.answers - b.answers, a.took - b.took, a.expected - b.expected}
}

// withPaceOf returns the amounts with the pace of others.
func (a amounts) withPaceOf(b amounts) amounts {
	return amounts{a.requests, a.unread, b.answers, b.took, b.expected}
}

func (a amounts) hasPaceOf(b amounts) bool { return a == a.withPaceOf(b) }

// slowdown is the newest slowdown that a server has reported, in hundredths; zero if there is none.
type slowdown struct {
	hundredths int64
	at         time.Time
}

// isNewerThan reports whether a slowdown replaces another one.
func (s slowdown) isNewerThan(other slowdown) bool { return s.hundredths > 0 && s.at.After(other.at) }

func (s slowdown) isCurrent(now time.Time) bool {
	return s.hundredths > 0 && now.Sub(s.at) < slowdownStays
}

// row is what is known of a server.
type row struct {
	amounts  amounts
	slowdown slowdown
}

func ownRow(own workload.Own) row {
	r := row{amounts: amounts{
		requests: int64(max(own.Load.Requests, 0)), unread: workUnits(own.Load.Unread),
		answers: count(own.Pace.Answers / answersUnit), took: workUnits(own.Pace.Took), expected: workUnits(own.Pace.Expected),
	}}
	if own.Slowdown > 0 {
		r.slowdown = slowdown{hundredths: min(max(count(own.Slowdown/slowdownUnit), 1), maxSlowdown/slowdownUnit), at: own.SlowdownAt}
	}
	return r
}

func workUnits(work workload.Work) int64 { return count(float64(work) / float64(workUnit)) }

// count returns the nearest whole number that a frame can hold.
func count(x float64) int64 { return int64(math.Round(min(max(x, 0), maxAmount))) }

// peers returns what a row says of the work of other nodes as of a time. Amounts below 0 come from sums that are being corrected.
func (r row) peers(at time.Time) workload.Peers {
	work := func(units int64) workload.Work { return workload.Work(max(units, 0)) * workUnit }
	peers := workload.Peers{
		Load: workload.Load{Requests: int(max(r.amounts.requests, 0)), Unread: work(r.amounts.unread)},
		Pace: workload.Pace{Answers: float64(max(r.amounts.answers, 0)) * answersUnit, Took: work(r.amounts.took), Expected: work(r.amounts.expected)},
		At:   at,
	}
	if r.slowdown.hundredths > 0 {
		peers.Slowdown, peers.SlowdownAt = float64(r.slowdown.hundredths)*slowdownUnit, r.slowdown.at
	}
	return peers
}
