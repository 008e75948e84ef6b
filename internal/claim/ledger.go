package claim

import (
	"sync"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// DefaultMaxRecentClaims bounds the claims that a node keeps in memory.
const DefaultMaxRecentClaims = 1 << 14

// claimState is the state of a local claim; the zero value means that it is in progress.
type claimState int

const (
	// claimWon means that this node has the key and that the request may have been dispatched to a server.
	claimWon claimState = iota + 1
	// claimReleased means that the stored claim names this node, or may do so later, and that the request was never
	// dispatched to a server.
	claimReleased
	// claimLost means that another node has the key.
	claimLost
)

// localClaim is a claim made by this node.
type localClaim struct {
	record Record
	// requestID is the request that the claim is presently made for; record may have an earlier one.
	requestID api.RequestID
	state     claimState
	// done is closed once state is set.
	done chan struct{}
}

// ledger records the claims made by this node. Claims in progress are always kept. Finished claims are dropped when
// there are too many: this node, which the key-value service still names as the owner, then reports that it has no record
// of the request.
type ledger struct {
	mu sync.Mutex
	// maxPerGeneration is the number of finished claims after which newer becomes older and older is dropped.
	maxPerGeneration int
	inProgress       map[string]*localClaim
	newer, older     map[string]*localClaim
}

func newLedger(max int) *ledger {
	return &ledger{maxPerGeneration: max/2 + 1, inProgress: make(map[string]*localClaim), newer: make(map[string]*localClaim)}
}

// begin returns the local claim of a key. It is new if the ledger has none, or if the earlier one was released: then
// the new claim has the earlier record, since that may be what the key-value service holds.
func (l *ledger) begin(key string, record Record, requestID api.RequestID) (c *localClaim, isNew bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.find(key)
	if known != nil && known.state != claimReleased {
		return known, false
	}
	if known != nil {
		record = known.record
	}
	l.drop(key)
	c = &localClaim{record: record, requestID: requestID, done: make(chan struct{})}
	l.inProgress[key] = c
	return c, true
}

// finish sets the state of a claim in progress.
func (l *ledger) finish(key string, c *localClaim, state claimState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.state = state
	delete(l.inProgress, key)
	if state != claimLost {
		l.store(key, c)
	}
	close(c.done)
}

// isWon reports whether a finished claim was won and has not been released since.
func (l *ledger) isWon(c *localClaim) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.state == claimWon
}

// release frees a key that was won for a request.
func (l *ledger) release(key string, requestID api.RequestID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.find(key); c != nil && c.state == claimWon && c.requestID == requestID {
		c.state = claimReleased
	}
}

// entries returns the claims won by this node.
func (l *ledger) entries() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var entries []Entry
	for _, claims := range []map[string]*localClaim{l.newer, l.older} {
		for key, c := range claims {
			if c.state == claimWon {
				entries = append(entries, Entry{Key: key, Record: c.record})
			}
		}
	}
	return entries
}

func (l *ledger) find(key string) *localClaim {
	for _, claims := range []map[string]*localClaim{l.inProgress, l.newer, l.older} {
		if c := claims[key]; c != nil {
			return c
		}
	}
	return nil
}

func (l *ledger) drop(key string) {
	delete(l.newer, key)
	delete(l.older, key)
}

func (l *ledger) store(key string, c *localClaim) {
	if len(l.newer) >= l.maxPerGeneration {
		l.older = l.newer
		l.newer = make(map[string]*localClaim)
	}
	l.newer[key] = c
}
