package claim

import (
	"sync"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// DefaultMaxRecentClaims bounds the claims that a node remembers.
const DefaultMaxRecentClaims = 1 << 14

// slotState is what became of a claim; its zero value means that it is being made.
type slotState int

const (
	// slotWon means that the request may have been handed to a server.
	slotWon slotState = iota + 1
	// slotReleased means that the claim names this node, or may do so later, and that the request was never
	// handed to a server.
	slotReleased
	// slotLost means that another node has the key.
	slotLost
)

// slot is one claim of this node.
type slot struct {
	record Record
	// try is the request that the claim is made for now.
	try   api.RequestID
	state slotState
	// settled is closed once the state is set.
	settled chan struct{}
}

// ledger remembers the claims of this node. Claims under way are always remembered. Others are forgotten when there are
// too many: the key-value service then names this node, which knows nothing of the request and says so.
type ledger struct {
	mu sync.Mutex
	// half is the number of settled slots after which newer becomes older and older is forgotten.
	half         int
	claiming     map[string]*slot
	newer, older map[string]*slot
}

func newLedger(max int) *ledger {
	return &ledger{half: max/2 + 1, claiming: make(map[string]*slot), newer: make(map[string]*slot)}
}

// begin returns the slot of a key. It is new if nothing is known of the key, or if its earlier tries were released:
// then it has the record of those, since that may be what the key-value service holds.
func (l *ledger) begin(key string, fresh Record, try api.RequestID) (s *slot, isNew bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.find(key)
	if known != nil && known.state != slotReleased {
		return known, false
	}
	if known != nil {
		fresh = known.record
	}
	l.drop(key)
	s = &slot{record: fresh, try: try, settled: make(chan struct{})}
	l.claiming[key] = s
	return s, true
}

// settle ends a claim under way.
func (l *ledger) settle(key string, s *slot, state slotState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.state = state
	delete(l.claiming, key)
	if state != slotLost {
		l.keep(key, s)
	}
	close(s.settled)
}

// isWon reports whether a settled slot was won and not released since.
func (l *ledger) isWon(s *slot) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return s.state == slotWon
}

// release frees a key that was won by a try.
func (l *ledger) release(key string, try api.RequestID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.find(key); s != nil && s.state == slotWon && s.try == try {
		s.state = slotReleased
	}
}

// entries returns the claims that name this node.
func (l *ledger) entries() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var entries []Entry
	for _, slots := range []map[string]*slot{l.newer, l.older} {
		for key, s := range slots {
			if s.state == slotWon {
				entries = append(entries, Entry{Key: key, Record: s.record})
			}
		}
	}
	return entries
}

func (l *ledger) find(key string) *slot {
	for _, slots := range []map[string]*slot{l.claiming, l.newer, l.older} {
		if s := slots[key]; s != nil {
			return s
		}
	}
	return nil
}

func (l *ledger) drop(key string) {
	delete(l.newer, key)
	delete(l.older, key)
}

func (l *ledger) keep(key string, s *slot) {
	if len(l.newer) >= l.half {
		l.older = l.newer
		l.newer = make(map[string]*slot)
	}
	l.newer[key] = s
}
