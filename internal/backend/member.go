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
	latencyWeight = 0.1
	// slowestCounted bounds the ratio of one answer's time to the usual.
	slowestCounted = 10
	// cacheTime is for how long a part of a prompt is taken for cached after its last use, and maxParts how many are remembered.
	cacheTime = 20 * time.Second
	maxParts  = 2000
)

// TrackedServer is a server with what this node's requests have shown of it. It is safe for concurrent use.
type TrackedServer struct {
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
	// slowness is a moving average of the answers' times against those of all servers for the like; 1 before the first answer.
	slowness float64
	// parts holds when the prompt parts that this node sent were used last, by model and part.
	parts map[string]time.Time
	left  bool
}

func newMember(server Server) *TrackedServer {
	return &TrackedServer{Server: server, state: &state{slowness: 1, parts: make(map[string]time.Time)}}
}

// View is a member's state at a moment.
type View struct {
	InFlight            int
	PendingPromptTokens int
	Load                Load
	HasLoad             bool
	LoadAge             time.Duration
	InFlightAtReport    int
	IsAvoided           bool
	FailureShare        float64
	Slowness            float64
}

// View returns the state at a time.
func (m *TrackedServer) View(now time.Time) View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return View{
		InFlight: m.inFlight, PendingPromptTokens: m.tokensAhead,
		Load: m.load, HasLoad: !m.loadAt.IsZero(), LoadAge: now.Sub(m.loadAt), InFlightAtReport: m.inFlightThen,
		IsAvoided: now.Before(m.avoidUntil), FailureShare: m.failureShare, Slowness: m.slowness,
	}
}

// Begin counts a request that is sent with a number of prompt tokens to read.
func (m *TrackedServer) Begin(tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inFlight++
	m.tokensAhead += tokens
}

// FirstByte takes in that a request's prompt was read.
func (m *TrackedServer) FirstByte(tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tokensAhead -= tokens
}

// ObserveLatencyRatio takes in how long an answer took against those of all servers for the like.
func (m *TrackedServer) ObserveLatencyRatio(ratio float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.slowness += latencyWeight * (min(ratio, slowestCounted) - m.slowness)
}

// RecordPromptParts notes that the server reads the parts of a prompt, of which keys name the model and the part.
func (m *TrackedServer) RecordPromptParts(keys []string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.parts) > maxParts {
		for key, used := range m.parts {
			if now.Sub(used) > cacheTime {
				delete(m.parts, key)
			}
		}
	}
	for _, key := range keys {
		m.parts[key] = now
	}
}

// CachedPromptParts returns how many of the first parts of a prompt the server has probably cached.
func (m *TrackedServer) CachedPromptParts(keys []string, now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, key := range keys {
		if used, ok := m.parts[key]; !ok || now.Sub(used) > cacheTime {
			return i
		}
	}
	return len(keys)
}

// End counts a request's end; tokens is 0 after FirstByte.
func (m *TrackedServer) End(tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inFlight--
	m.tokensAhead -= tokens
}

// RecordLoad takes in a server's word on its load.
func (m *TrackedServer) RecordLoad(load Load, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.load, m.loadAt, m.inFlightThen = load, now, m.inFlight
}

// RecordSuccess takes in a good answer.
func (m *TrackedServer) RecordSuccess() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failuresInRow = 0
	m.failureShare -= failureWeight * m.failureShare
}

// RecordFailure takes in a request that the server failed; it is avoided for a while, longer with each failure in a row.
func (m *TrackedServer) RecordFailure(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.countFailure()
	avoid := min(firstAvoidance<<min(m.failuresInRow, 8), maxAvoidance)
	m.failuresInRow++
	m.avoidUntil = now.Add(avoid)
}

// RecordErrorAnswer takes in a request that the server answered with a failure of its own: it is not avoided, since a request may fail at
// every server, but gets less where others fail less.
func (m *TrackedServer) RecordErrorAnswer() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.countFailure()
}

// countFailure moves the share of failures; m.mu is held.
func (m *TrackedServer) countFailure() { m.failureShare += failureWeight * (1 - m.failureShare) }

// Avoid keeps requests away from the server until a time.
func (m *TrackedServer) Avoid(until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if until.After(m.avoidUntil) {
		m.avoidUntil = until
	}
}

// MarkLeaving takes in that the server takes no new requests.
func (m *TrackedServer) MarkLeaving() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.left = true
}

// IsOutOfService reports whether the server takes no new requests, by its entry or by its own word.
func (m *TrackedServer) IsOutOfService() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.left || m.IsLeaving
}
