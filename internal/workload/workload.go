// Package workload holds the amounts in which nodes measure what backend servers have to do. It is shared by what places requests, what learns
// how much each server takes, and what tells other nodes.
package workload

import (
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Work is an amount of work, as the time that a usual server without other requests takes for it.
type Work time.Duration

// Load is what some nodes have under way at a server.
type Load struct {
	// Requests is the number of requests that the server has not answered to their end.
	Requests int
	// Unread is the work that the server has yet to do before the first event of these requests.
	Unread Work
}

// Add returns the sum of two loads.
func (l Load) Add(other Load) Load {
	return Load{Requests: l.Requests + other.Requests, Unread: l.Unread + other.Unread}
}

// Pace compares the time that answers of a server took with the time that they take at a usual server in the same circumstances. Sums of several
// nodes are added.
type Pace struct {
	// Answers is the number of answers, Took their time and Expected that of a usual server. Older answers count less.
	Answers        float64
	Took, Expected Work
}

// Add returns the sum of two paces.
func (p Pace) Add(other Pace) Pace {
	return Pace{Answers: p.Answers + other.Answers, Took: p.Took + other.Took, Expected: p.Expected + other.Expected}
}

// Peers is what the other nodes know and have under way at a server.
type Peers struct {
	// Load is theirs together; Pace is that of their answers.
	Load Load
	Pace Pace
	// Slowdown is how many times as long as usual work took on the server's machine at SlowdownAt, by its own report; 0 if unknown.
	Slowdown   float64
	SlowdownAt time.Time
	// At is the time as of which Load is known; zero if it is not known.
	At time.Time
}

// Server names one start of a server.
type Server struct {
	ID api.ServerID
	// Start is the server's start time in Unix milliseconds, 0 if unknown.
	Start int64
}

// Own is what this node knows and has under way at a server.
type Own struct {
	Server Server
	Load   Load
	Pace   Pace
	// Slowdown is that of the server's newest report to this node, received at SlowdownAt; 0 if there was none.
	Slowdown   float64
	SlowdownAt time.Time
}
