package selfreport

import (
	"encoding/json"
	"math"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/internal/rendezvous"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Error is the class of every error of the package.
var Error = errs.Class("selfreport")

const (
	// KeyPrefix precedes the keys of shared reports in the store.
	KeyPrefix = "monsoonrail/reports/"
	// SharedTTL is how long a shared report stays in the store: longer than a server takes to leave.
	SharedTTL = 10 * time.Minute
	// maxOutbox bounds the reports that wait to be shared, maxTaken those that Take returns at once.
	maxOutbox = 1000
	maxTaken  = 16
)

// Shared is what one start of a server has reported to some node and concerns all nodes. Nodes share it through the store.
type Shared struct {
	Server api.ServerID
	// Start is the server's start time in Unix milliseconds.
	Start     int64
	IsLeaving bool
	// Limit is valid if HasLimit. Otherwise the server names no limit any more.
	Limit    Rate
	HasLimit bool
	// Pause is how long the server wants no requests from the node that is told; 0 in reports for all nodes.
	Pause time.Duration `json:",omitempty"`
}

// Key returns the report's key in the store. It has a hash, since ids of servers may be as long as keys.
func (s Shared) Key() string {
	return KeyPrefix + strconv.FormatUint(xxhash.Sum64String(string(s.Server)+"/"+strconv.FormatInt(s.Start, 10)), 16)
}

// Encode returns the report as the value to store.
func (s Shared) Encode() ([]byte, error) {
	value, err := json.Marshal(s)
	return value, Error.Wrap(err)
}

// ErrBadLimit means that a stored limit is out of range.
type ErrBadLimit struct{ Limit Rate }

// Error implements error.
func (e *ErrBadLimit) Error() string {
	return "limit of " + strconv.FormatFloat(float64(e.Limit), 'g', -1, 64)
}

// ErrBadPause means that a report's pause is negative.
type ErrBadPause struct{ Pause time.Duration }

// Error implements error.
func (e *ErrBadPause) Error() string { return "pause of " + e.Pause.String() }

// DecodeShared decodes the value of a key with KeyPrefix.
func DecodeShared(value []byte) (Shared, error) {
	var shared Shared
	if err := json.Unmarshal(value, &shared); err != nil {
		return Shared{}, Error.Wrap(err)
	}
	if shared.Pause < 0 {
		return Shared{}, Error.Wrap(&ErrBadPause{Pause: shared.Pause})
	}
	if shared.Limit < 0 || math.IsInf(float64(shared.Limit), 0) {
		return Shared{}, Error.Wrap(&ErrBadLimit{Limit: shared.Limit})
	}
	return shared, nil
}

// NewShare returns the share of a node in a server's limit. The phase follows from both, so that it is another one for each node.
func NewShare(node api.NodeID, server api.ServerID, nodes int) Share {
	return Share{Nodes: nodes, Phase: rendezvous.Fraction(xxhash.Sum64String(string(node) + "/" + string(server)))}
}

// Hear takes in a report that the server made to another node, and returns whether it changes which requests the server takes from this one.
// A limit that the server has named to this node ends only by an answer to this node.
func (s *State) Hear(shared Shared, share Share, now time.Time) (isNews bool) {
	isNews = shared.IsLeaving && !s.IsLeaving()
	s.isLeaving = s.isLeaving || shared.IsLeaving
	if end := now.Add(min(shared.Pause, maxPause)); shared.Pause > 0 && end.After(s.pausedUntil) {
		s.pausedUntil, isNews = end, true
	}
	switch {
	case shared.HasLimit && !s.limit.isSet():
		s.limit.begin(shared.Limit, share, now)
		s.limit.isHeard = true
		return true
	case !shared.HasLimit && s.limit.isHeard:
		s.limit = limit{}
		return true
	default:
		return isNews
	}
}

// Outbox holds the reports that are to be shared, the newest of each server. It is safe for concurrent use; the zero value is ready.
type Outbox struct {
	mu sync.Mutex
	// waiting holds the reports by their keys in the store; at most maxOutbox.
	waiting map[string]Shared
}

// Put adds a report in place of an earlier one of the same start of the server. It drops the report if too many wait.
func (o *Outbox) Put(shared Shared) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.waiting == nil {
		o.waiting = make(map[string]Shared)
	}
	if len(o.waiting) < maxOutbox {
		o.waiting[shared.Key()] = shared
	}
}

// Take removes reports to share and returns them. Those that could not be shared are given back with Return.
func (o *Outbox) Take() []Shared {
	o.mu.Lock()
	defer o.mu.Unlock()
	var taken []Shared
	for key, shared := range o.waiting {
		if len(taken) == maxTaken {
			break
		}
		taken = append(taken, shared)
		delete(o.waiting, key)
	}
	return taken
}

// Return adds reports again, unless there are newer ones.
func (o *Outbox) Return(reports []Shared) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, shared := range reports {
		if _, ok := o.waiting[shared.Key()]; !ok && len(o.waiting) < maxOutbox {
			o.waiting[shared.Key()] = shared
		}
	}
}
