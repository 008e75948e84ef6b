package billing

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/billing/billingpb"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// takeoverInterval is the interval at which a BatchHolder looks for nodes that are no longer live.
	takeoverInterval = 5 * time.Second
	// DefaultTakeoverDelay is how long a node must be unreachable before its peer writes its lines. Writing them while
	// the node still runs is harmless.
	DefaultTakeoverDelay = 15 * time.Second
	// maxHeldSums bounds the sums and keyed requests held for all other nodes together.
	maxHeldSums = 128 << 10
)

// BatchHolderOptions configures NewBatchHolder.
type BatchHolderOptions struct {
	Store Store
	// IsAlive reports whether this node considers an incarnation of a node live.
	IsAlive func(node api.NodeID, incarnation api.Incarnation) bool
	// IsReplaced reports whether another incarnation of the node is live, which means that this one has ended. With nil
	// no incarnation counts as replaced.
	IsReplaced func(node api.NodeID, incarnation api.Incarnation) bool
	// TakeoverDelay is DefaultTakeoverDelay if 0.
	TakeoverDelay time.Duration
	Log           log.Interface
}

// BatchHolder holds batches of other nodes in memory and writes those of nodes that are no longer live. Run must run in
// the background.
type BatchHolder struct {
	opts BatchHolderOptions

	mu   sync.Mutex
	held map[api.Incarnation]*heldBacklog
	// bySenderID has the same backlogs as held, by senderID of the incarnation.
	bySenderID map[uint64]*heldBacklog
	sums       int
}

// heldBacklog is the backlog held for one incarnation.
type heldBacklog struct {
	node    api.NodeID
	backlog backlog
	cursor  cursor
	// kinds are the kinds that packed batches refer to.
	kinds kindList
	// unreachableSince is when the node was first found not to be live; zero while it is.
	unreachableSince time.Time
}

// NewBatchHolder returns an empty BatchHolder.
func NewBatchHolder(opts BatchHolderOptions) *BatchHolder {
	if opts.TakeoverDelay == 0 {
		opts.TakeoverDelay = DefaultTakeoverDelay
	}
	return &BatchHolder{opts: opts, held: make(map[api.Incarnation]*heldBacklog), bySenderID: make(map[uint64]*heldBacklog)}
}

// Hold accepts the batches that follow those held. If batches are missing in between, Held of the response is lower
// than the last batch of the request; the sender then sends its whole backlog. The error is ErrFull.
func (h *BatchHolder) Hold(req *billingpb.HoldRequest) (*billingpb.HoldResponse, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.heldFor(req)
	if held == nil {
		return &billingpb.HoldResponse{KnownKinds: 1}, nil
	}
	if batches, ok := held.decodeBatches(req); ok {
		before := held.backlog.sums
		held.apply(req.Next, batches)
		h.sums += held.backlog.sums - before
	}
	if h.sums > maxHeldSums {
		h.drop(held.cursor.incarnation)
		return nil, Error.Wrap(&ErrFull{Max: maxHeldSums})
	}
	return &billingpb.HoldResponse{Held: held.backlog.last(), KnownKinds: uint32(len(held.kinds.kinds)) + 1}, nil
}

// heldFor returns the backlog held for the sender of a request, creating it if the request has the full incarnation. It
// returns nil for an unknown sender id.
func (h *BatchHolder) heldFor(req *billingpb.HoldRequest) *heldBacklog {
	if req.Sender != 0 {
		return h.bySenderID[req.Sender]
	}
	incarnation := api.Incarnation(req.Incarnation)
	held := h.held[incarnation]
	if held == nil {
		held = &heldBacklog{node: api.NodeID(req.Node), cursor: cursor{incarnation: incarnation}, backlog: backlog{next: 1}}
		h.held[incarnation] = held
		h.bySenderID[senderID(incarnation)] = held
	}
	return held
}

// decodeBatches returns the batches of a request, or false if they refer to kinds that are unknown here.
func (h *heldBacklog) decodeBatches(req *billingpb.HoldRequest) ([]*billingpb.Segment, bool) {
	if !h.kinds.extend(req.KnownKinds, req.Kinds) {
		return nil, false
	}
	batches := req.Batches
	for _, packed := range req.Packed {
		batch, ok := h.kinds.unpack(packed)
		if !ok {
			return nil, false
		}
		batches = append(batches, batch)
	}
	return batches, true
}

// apply drops the batches before next, which are written, and adds the batches that follow those held. A request that
// begins with the first unwritten batch contains the whole backlog and replaces the held one, whose runs may be merged
// differently.
func (h *heldBacklog) apply(next uint64, batches []*billingpb.Segment) {
	next = max(1, next)
	isComplete := len(batches) > 0 && batches[0].First <= next && batches[len(batches)-1].Last >= h.backlog.last()
	if isComplete || next > h.backlog.last() {
		h.backlog = backlog{next: next}
	}
	if h.backlog.trim(next) > 0 {
		// The sender's runs have other boundaries than the runs merged here; the sender must send its whole backlog.
		h.backlog = backlog{next: next}
	}
	for _, batch := range batches {
		if batch.First <= batch.Last && batch.First == h.backlog.last()+1 {
			h.backlog.append(batch)
		}
	}
}

// Run writes the batches of nodes that are no longer live, until ctx ends.
func (h *BatchHolder) Run(ctx context.Context) error {
	return sleep.Every(ctx, takeoverInterval, func(time.Time) {
		for _, incarnation := range h.dueTakeovers(time.Now()) {
			h.takeOver(ctx, incarnation)
		}
	})
}

// dueTakeovers returns the incarnations that are replaced or have been unreachable for the takeover delay.
func (h *BatchHolder) dueTakeovers(now time.Time) []api.Incarnation {
	h.mu.Lock()
	defer h.mu.Unlock()
	var due []api.Incarnation
	for incarnation, held := range h.held {
		switch {
		case h.opts.IsAlive(held.node, incarnation):
			held.unreachableSince = time.Time{}
		case h.opts.IsReplaced != nil && h.opts.IsReplaced(held.node, incarnation):
			// The ended incarnation can't write its lines any more, and a crash of this node before the takeover may lose them.
			due = append(due, incarnation)
		case held.unreachableSince.IsZero():
			held.unreachableSince = now
		case now.Sub(held.unreachableSince) >= h.opts.TakeoverDelay:
			due = append(due, incarnation)
		}
	}
	return due
}

// takeOver writes the backlog held for an incarnation and drops it once it is written.
func (h *BatchHolder) takeOver(ctx context.Context, incarnation api.Incarnation) {
	held := h.find(incarnation)
	for held != nil && !h.isFlushed(held) {
		lost, err := flush(ctx, h.opts.Store, &held.cursor,
			func() *billingpb.Segment { return h.segment(held) },
			func(next uint64) uint64 { return h.trim(held, next) })
		entry := h.opts.Log.WithFields(log.Fields{"node": held.node, "incarnation": incarnation})
		if lost > 0 {
			entry.WithField("batches", lost).Error("bills lost: another node wrote a part of them")
		}
		if err != nil {
			entry.WithError(err).Warn("bills of a node that has gone not written")
			return
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	// The node may be live after all and have sent further batches meanwhile.
	if held != nil && held.backlog.isEmpty() {
		h.drop(incarnation)
	}
}

func (h *BatchHolder) find(incarnation api.Incarnation) *heldBacklog {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.held[incarnation]
}

func (h *BatchHolder) isFlushed(held *heldBacklog) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return held.backlog.isEmpty()
}

func (h *BatchHolder) segment(held *heldBacklog) *billingpb.Segment {
	h.mu.Lock()
	defer h.mu.Unlock()
	return held.backlog.segment()
}

func (h *BatchHolder) trim(held *heldBacklog, next uint64) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	before := held.backlog.sums
	lost := held.backlog.trim(next)
	h.sums += held.backlog.sums - before
	return lost
}

// drop removes the state of an incarnation. The caller must hold the lock.
func (h *BatchHolder) drop(incarnation api.Incarnation) {
	if held := h.held[incarnation]; held != nil {
		h.sums -= held.backlog.sums
		delete(h.held, incarnation)
		delete(h.bySenderID, senderID(incarnation))
	}
}

// HeldSize counts the sums and keyed requests held for other nodes.
func (h *BatchHolder) HeldSize() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sums
}
