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
	// takeoverInterval is how often a keeper looks for nodes that have gone.
	takeoverInterval = 5 * time.Second
	// DefaultTakeoverDelay is how long a node must be gone before its lines are written for it. Writing them while
	// it lives is harmless.
	DefaultTakeoverDelay = 15 * time.Second
	// maxKeptSums bounds the sums and keyed lines kept for all other nodes.
	maxKeptSums = 128 << 10
)

// BatchHolderOptions configures NewKeeper.
type BatchHolderOptions struct {
	Store Store
	// IsAlive reports whether an incarnation of a node is thought to live.
	IsAlive func(node api.NodeID, incarnation api.Incarnation) bool
	// IsReplaced reports whether another incarnation of a node lives, so that this one has ended; nil never does.
	IsReplaced func(node api.NodeID, incarnation api.Incarnation) bool
	// TakeoverDelay is the default if 0.
	TakeoverDelay time.Duration
	Log           log.Interface
}

// BatchHolder holds the batches of other nodes in memory and writes those of nodes that have gone. Its duty is Run.
type BatchHolder struct {
	opts BatchHolderOptions

	mu   sync.Mutex
	kept map[api.Incarnation]*kept
	// senders holds what is kept by the short name of its incarnation.
	senders map[uint64]*kept
	sums    int
}

// kept is what is held for one incarnation.
type kept struct {
	node    api.NodeID
	backlog backlog
	cursor  cursor
	// kinds are those that packed batches refer to.
	kinds kindList
	// goneSince is when the node was first seen gone; zero while it lives.
	goneSince time.Time
}

// NewBatchHolder returns a keeper that holds nothing.
func NewBatchHolder(opts BatchHolderOptions) *BatchHolder {
	if opts.TakeoverDelay == 0 {
		opts.TakeoverDelay = DefaultTakeoverDelay
	}
	return &BatchHolder{opts: opts, kept: make(map[api.Incarnation]*kept), senders: make(map[uint64]*kept)}
}

// Hold takes the batches that follow those held. The answer's Held is lower than the last batch of the request if
// batches before it are missing; the sender then sends them all. The error is ErrFull.
func (k *BatchHolder) Hold(req *billingpb.HoldRequest) (*billingpb.HoldResponse, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	held := k.heldFor(req)
	if held == nil {
		return &billingpb.HoldResponse{KnownKinds: 1}, nil
	}
	if batches, ok := held.batches(req); ok {
		before := held.backlog.sums
		held.take(req.Next, batches)
		k.sums += held.backlog.sums - before
	}
	if k.sums > maxKeptSums {
		k.drop(held.cursor.incarnation)
		return nil, Error.Wrap(&ErrFull{Max: maxKeptSums})
	}
	return &billingpb.HoldResponse{Held: held.backlog.last(), KnownKinds: uint32(len(held.kinds.kinds)) + 1}, nil
}

// heldFor returns what is held for the sender of a request; nil if the sender is not named and not known.
func (k *BatchHolder) heldFor(req *billingpb.HoldRequest) *kept {
	if req.Sender != 0 {
		return k.senders[req.Sender]
	}
	incarnation := api.Incarnation(req.Incarnation)
	held := k.kept[incarnation]
	if held == nil {
		held = &kept{node: api.NodeID(req.Node), cursor: cursor{incarnation: incarnation}, backlog: backlog{next: 1}}
		k.kept[incarnation] = held
		k.senders[senderOf(incarnation)] = held
	}
	return held
}

// batches returns the batches of a request, or false if they refer to kinds that are not known here.
func (h *kept) batches(req *billingpb.HoldRequest) ([]*billingpb.Segment, bool) {
	if !h.kinds.learn(req.KnownKinds, req.Kinds) {
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

// take forgets what is written and adds the batches that follow. A request that begins with the first unwritten
// batch holds everything and replaces what was held, since its runs may be merged otherwise.
func (h *kept) take(next uint64, batches []*billingpb.Segment) {
	next = max(1, next)
	holdsAll := len(batches) > 0 && batches[0].First <= next && batches[len(batches)-1].Last >= h.backlog.last()
	if holdsAll || next > h.backlog.last() {
		h.backlog = backlog{next: next}
	}
	if h.backlog.trim(next) > 0 {
		// The sender's runs end elsewhere than those merged here; it has to send them all.
		h.backlog = backlog{next: next}
	}
	for _, batch := range batches {
		if batch.First <= batch.Last && batch.First == h.backlog.last()+1 {
			h.backlog.append(batch)
		}
	}
}

// Run writes the batches of nodes that have gone, until ctx ends.
func (k *BatchHolder) Run(ctx context.Context) error {
	return sleep.Every(ctx, takeoverInterval, func(time.Time) {
		for _, incarnation := range k.gone(time.Now()) {
			k.takeOver(ctx, incarnation)
		}
	})
}

// gone returns the incarnations that have been gone for long enough.
func (k *BatchHolder) gone(now time.Time) []api.Incarnation {
	k.mu.Lock()
	defer k.mu.Unlock()
	var gone []api.Incarnation
	for incarnation, held := range k.kept {
		switch {
		case k.opts.IsAlive(held.node, incarnation):
			held.goneSince = time.Time{}
		case k.opts.IsReplaced != nil && k.opts.IsReplaced(held.node, incarnation):
			// Nobody else is left to write the lines, and until then this node's crash may lose them.
			gone = append(gone, incarnation)
		case held.goneSince.IsZero():
			held.goneSince = now
		case now.Sub(held.goneSince) >= k.opts.TakeoverDelay:
			gone = append(gone, incarnation)
		}
	}
	return gone
}

// takeOver writes what is held for an incarnation and forgets it once all is written.
func (k *BatchHolder) takeOver(ctx context.Context, incarnation api.Incarnation) {
	held := k.find(incarnation)
	for held != nil && !k.isFlushed(held) {
		lost, err := flush(ctx, k.opts.Store, &held.cursor,
			func() *billingpb.Segment { return k.segment(held) },
			func(next uint64) uint64 { return k.trim(held, next) })
		entry := k.opts.Log.WithFields(log.Fields{"node": held.node, "incarnation": incarnation})
		if lost > 0 {
			entry.WithField("batches", lost).Error("bills lost: another node wrote a part of them")
		}
		if err != nil {
			entry.WithError(err).Warn("bills of a node that has gone not written")
			return
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	// The node may live after all and have sent more meanwhile.
	if held != nil && held.backlog.isEmpty() {
		k.drop(incarnation)
	}
}

func (k *BatchHolder) find(incarnation api.Incarnation) *kept {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.kept[incarnation]
}

func (k *BatchHolder) isFlushed(held *kept) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return held.backlog.isEmpty()
}

func (k *BatchHolder) segment(held *kept) *billingpb.Segment {
	k.mu.Lock()
	defer k.mu.Unlock()
	return held.backlog.segment()
}

func (k *BatchHolder) trim(held *kept, next uint64) uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	before := held.backlog.sums
	lost := held.backlog.trim(next)
	k.sums += held.backlog.sums - before
	return lost
}

// drop forgets an incarnation; the caller holds the lock.
func (k *BatchHolder) drop(incarnation api.Incarnation) {
	if held := k.kept[incarnation]; held != nil {
		k.sums -= held.backlog.sums
		delete(k.kept, incarnation)
		delete(k.senders, senderOf(incarnation))
	}
}

// HeldSize counts the sums and keyed lines held for other nodes.
func (k *BatchHolder) HeldSize() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.sums
}
