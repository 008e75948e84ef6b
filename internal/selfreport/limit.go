package selfreport

import "time"

// Rate is a number of requests a second.
type Rate float64

const (
	// usedFraction is the fraction of a limit that the nodes use together. Requests are counted when they arrive at the server, and nodes may
	// differ for some seconds about how many they are.
	usedFraction = 0.8
	// minLimit is the lowest limit that is observed: a node that sends nothing would not hear that a limit has ended.
	minLimit Rate = 0.1
	// newsFraction is the change of a limit from which on it is worth a log line.
	newsFraction = 0.1
)

// Share is a node's part in a limit, which holds for all nodes together.
type Share struct {
	// Nodes is the number of nodes, at least 1.
	Nodes int
	// Phase, from 0 to 1, is the fraction of the interval between requests after which a node sends the first one once it knows of the limit.
	// Nodes with different phases, which hear of a limit at the same time, don't send their requests at the same time.
	Phase float64
}

// limit is the limit that a server has named, with this node's requests; the zero value is no limit.
//
// Each node sends requests at equal intervals, so that in any period it sends one more than its share at most. With a bucket of several
// requests instead, all nodes together could send as many times more at once.
type limit struct {
	rate Rate
	// namedAt is when the limit was last named; zero if there is none.
	namedAt time.Time
	// lastAt is when the last request was sent. At first it is a time before the limit was named, which spreads the nodes' first requests.
	lastAt time.Time
	// isHeard means that the server named the limit to other nodes only.
	isHeard bool
}

func (l *limit) isSet() bool { return !l.namedAt.IsZero() }

// record takes in the answer to a request, and returns whether the limit changes notably. An answer to a request from before the limit was
// named doesn't end it, since answers may overtake each other, nor does one that something in between may have made.
func (l *limit) record(report Report, share Share, sentAt, now time.Time) (isNews bool) {
	if !report.HasLimit {
		if !l.isSet() || !report.IsSigned || !sentAt.After(l.namedAt) {
			return false
		}
		*l = limit{}
		return true
	}
	if !l.isSet() {
		l.begin(report.Limit, share, now)
		return true
	}
	l.isHeard = false
	change := max(report.Limit-l.rate, l.rate-report.Limit)
	isNews = change > newsFraction*l.rate
	l.rate, l.namedAt = report.Limit, now
	return isNews
}

// begin sets a limit from now on.
func (l *limit) begin(rate Rate, share Share, now time.Time) {
	*l = limit{rate: rate, namedAt: now}
	l.lastAt = now.Add(time.Duration((share.Phase - 1) * float64(l.interval(share.Nodes))))
}

// interval returns the time between two requests of each of the nodes.
func (l *limit) interval(nodes int) time.Duration {
	rate := usedFraction * max(l.rate, minLimit) / Rate(max(1, nodes))
	return time.Duration(float64(time.Second) / float64(rate)).Round(time.Microsecond)
}

// nextAt returns when the node may send its next request; zero if there is no limit.
func (l *limit) nextAt(nodes int) time.Time {
	if !l.isSet() {
		return time.Time{}
	}
	return l.lastAt.Add(l.interval(nodes))
}
