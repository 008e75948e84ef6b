package promises

import (
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/rollout"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// try is one sending of a request and what its caller saw.
type try struct {
	node  int
	began time.Time
	ended time.Time
	// hungUp tells that the caller itself ended the connection.
	hungUp bool
	// broken tells that the connection ended before an answer was whole.
	broken  bool
	status  int
	problem *api.Problem
	request api.RequestID
	version api.VersionID
	// repinned tells that the answer said that the session was moved.
	repinned bool
	// text is what came of the answer; whole tells that it is all of it.
	text  string
	whole bool
	// attached tells that the try asked for the rest of an answer, from chunk offset on.
	attached bool
	offset   int
}

// call is one request of a caller over all of its tries.
type call struct {
	name string
	step Step
	// once tells that the request must run at most once.
	once bool
	chat api.ChatRequest
	// session is the version that the session was on when the request was sent; zero for none.
	session api.VersionID

	mu    sync.Mutex
	tries []*try
}

func (c *call) add(t *try) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tries = append(c.tries, t)
}

// run is one run of a request at a backend server.
type run struct {
	call    string
	server  api.ServerID
	request api.RequestID
	at      time.Time
	version api.VersionID
	// began tells that the server took the work up; a refused one still received its bytes.
	began bool
}

// withdrawal is an accepted change that withdrew a version.
type withdrawal struct {
	version api.VersionID
	at      time.Time
}

// history is all that was seen in a run of a plan.
type history struct {
	mu          sync.Mutex
	calls       []*call
	withdrawals []withdrawal
	// accepted holds the changes that operators were told to be in force.
	accepted []accepted
	// left holds when servers began to leave, and until when.
	left []interval
	// nodeKills holds when nodes were killed.
	nodeKills []nodeKill
	// downtimes holds when nodes were stopping or down.
	downtimes []downtime
	// pauses holds when nodes stood still.
	pauses []downtime
	// aborts holds the roll-outs whose abort operators were told to be accepted.
	aborts []rollout.ID
	// cuts holds when pairs of nodes were cut from each other.
	cuts []cut
	// notes are breaches found while the plan ran.
	notes []string
}

type interval struct {
	server api.ServerID
	from   time.Time
	to     time.Time
}

type nodeKill struct {
	node int
	at   time.Time
}

func (h *history) note(text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notes = append(h.notes, text)
}

type downtime struct {
	node int
	from time.Time
	to   time.Time
}

// cut is a time in which two nodes did not reach each other; to is zero while it lasts.
type cut struct {
	a, b int
	from time.Time
	to   time.Time
}
