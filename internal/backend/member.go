package backend

import (
	"sync"
	"time"
)

const (
	// firstAvoidance is how long a server is avoided after it failed a request, and maxAvoidance after many in a row.
	firstAvoidance = 500 * time.Millisecond
	maxAvoidance   = 4 * time.Second
	// failureWeight is that of one outcome in a server's share of failures.
	failureWeight = 0.15
	// latencyWeight is that of one answer in a server's learnt slowness.
	latencyWeight = 0.2
)

// Member is a server with what this node's requests have shown of it. It is safe for concurrent use.
type Member struct {
	Server
	*state
}

// state is what was learnt of one start of a server; it outlasts changes of the server's entry.
type state struct {
	mu sync.Mutex
	// inFlight counts this node's requests at the server, and tokensAhead the prompt tokens of those without a first event.
	inFlight    int
	tokensAhead int
	// load is the server's last word on its load, inFlightThen this node's part of it.
	load         Load
	loadAt       time.Time
	inFlightThen int
	// failuresInRow counts failures since the last success.
	failuresInRow int
	avoidUntil    time.Time
	// failureShare is a moving average over outcomes, from 0 to 1.
	failureShare float64
	// slowness is a moving average of the time to the first byte against what was expected; 1 before the first answer.
	slowness float64
	left     bool
}

func newMember(server Server) *Member { return &Member{Server: server, state: &state{slowness: 1}} }

// View is a member's state at a moment.
type View struct {
	InFlight     int
	TokensAhead  int
	Load         Load
	HasLoad      bool
	LoadAge      time.Duration
	InFlightThen int
	IsAvoided    bool
	FailureShare float64
	Slowness     float64
}

// View returns the state at a time.
func (m *Member) View(now time.Time) View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return View{
		InFlight: m.inFlight, TokensAhead: m.tokensAhead,
		Load: m.load, HasLoad: !m.loadAt.IsZero(), LoadAge: now.Sub(m.loadAt), InFlightThen: m.inFlightThen,
		IsAvoided: now.Before(m.avoidUntil), FailureShare: m.failureShare, Slowness: m.slowness,
	}
}

// Begin counts a request that is sent with a number of prompt tokens to read.
func (m *Member) Begin(tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inFlight++
	m.tokensAhead += tokens
}

// FirstByte takes in that a request's tokens were read; took against expected tells of the server's speed.
func (m *Member) FirstByte(tokens int, took, expected time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tokensAhead -= tokens
	if expected > 0 {
		m.slowness += latencyWeight * (float64(took)/float64(expected) - m.slowness)
	}
}

// End counts a request's end; tokens is 0 after FirstByte.
func (m *Member) End(tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inFlight--
	m.tokensAhead -= tokens
}

// Report takes in a server's word on its load.
func (m *Member) Report(load Load, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.load, m.loadAt, m.inFlightThen = load, now, m.inFlight
}

// Succeed takes in a good answer.
func (m *Member) Succeed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failuresInRow = 0
	m.failureShare -= failureWeight * m.failureShare
}

// Fail takes in a request that the server failed; it is avoided for a while, longer with each failure in a row.
func (m *Member) Fail(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failureShare += failureWeight * (1 - m.failureShare)
	avoid := min(firstAvoidance<<min(m.failuresInRow, 8), maxAvoidance)
	m.failuresInRow++
	m.avoidUntil = now.Add(avoid)
}

// Avoid keeps requests away from the server until a time.
func (m *Member) Avoid(until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if until.After(m.avoidUntil) {
		m.avoidUntil = until
	}
}

// Leave takes in that the server takes no new requests.
func (m *Member) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.left = true
}

// HasLeft reports whether the server takes no new requests, by its entry or by its own word.
func (m *Member) HasLeft() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.left || m.IsLeaving
}
