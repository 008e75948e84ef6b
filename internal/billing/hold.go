package billing

import (
	"context"
	"slices"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/billing/billingpb"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// holdTries is how many peers are asked for one batch: three may be out of reach for different reasons at once. An answer's end
	// waits for at most that many times the HoldTimeout, 1 s by default.
	holdTries = 4
	// holdPause is how long no peer is asked after all of them failed.
	holdPause = time.Second
	// peerCheckInterval is how often the peer of a node without new lines is looked after.
	peerCheckInterval = 2 * time.Second
)

// HoldClient hands batches to the Keeper of a peer.
type HoldClient interface {
	// Hold returns what the peer holds; a call that failed may be made again.
	Hold(ctx context.Context, peer api.NodeID, req *billingpb.HoldRequest) (*billingpb.HoldResponse, error)
}

// peerState is what the biller knows of the peer that holds its lines; it is used within a hold step.
type peerState struct {
	node api.NodeID
	// held is the last batch that the peer was heard to hold, and next the first unwritten one that it was told of.
	held, next uint64
	// packs tells that the peer takes packed batches, and kinds how many kinds it knows.
	packs bool
	kinds int
	// retryAt is when peers are asked again after all failed.
	retryAt time.Time
}

// RunHold batches lines, has a peer hold them and lets their answers end, until ctx ends. One message is on its way
// at a time, and the lines that come meanwhile make up the next batch.
func (b *Biller) RunHold(ctx context.Context) error {
	check := sleep.NewTimer(peerCheckInterval)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-check.C:
			b.checkPeer(ctx)
			check.Reset(peerCheckInterval)
		case w := <-b.queue:
			b.batch(ctx, w)
			if b.hasPeer() && b.pace.pause(ctx) != nil {
				return ctx.Err()
			}
		}
	}
}

// holdStep batches the lines that wait.
func (b *Biller) holdStep(ctx context.Context) {
	select {
	case w := <-b.queue:
		b.batch(ctx, w)
	default:
	}
}

// batch makes a batch of a line and all that wait behind it.
func (b *Biller) batch(ctx context.Context, first *waiting) {
	b.holding <- struct{}{}
	defer func() { <-b.holding }()
	b.pace.calm()
	group := []*waiting{first}
	for len(group) < maxBatchLines && len(b.queue) > 0 {
		group = append(group, <-b.queue)
	}
	lines := make([]Line, len(group))
	for i, w := range group {
		lines[i] = w.line
	}
	b.mu.Lock()
	b.backlog.append(batchOf(b.backlog.last()+1, lines))
	b.unbatched -= len(lines)
	b.mu.Unlock()
	if !b.hold(ctx) {
		b.unprotected.Add(int64(len(group)))
		b.opts.Log.WithField("lines", len(group)).Warn("answers ended before a peer held their bills")
	}
	for _, w := range group {
		close(w.safe)
	}
}

// hasPeer reports whether a peer held the last batch; without one no message went out or its failure is the pause.
func (b *Biller) hasPeer() bool {
	b.holding <- struct{}{}
	defer func() { <-b.holding }()
	return b.peer.node != ""
}

// checkPeer has another peer hold the backlog if the one that does has gone.
func (b *Biller) checkPeer(ctx context.Context) {
	if b.opts.HoldClient == nil {
		return
	}
	b.holding <- struct{}{}
	defer func() { <-b.holding }()
	if !b.isFlushed() && !slices.Contains(b.opts.Peers(), b.peer.node) {
		b.hold(ctx)
	}
}

// holdRest tells the peer that all is written.
func (b *Biller) holdRest(ctx context.Context) {
	b.holding <- struct{}{}
	defer func() { <-b.holding }()
	if b.opts.HoldClient != nil && b.peer.node != "" {
		b.holdAt(ctx, b.peer.node, false)
	}
}

// holdAtSecond has another peer than the present one hold the backlog as well: a node that ends with unwritten lines leaves
// them to its peers, and the crash of one of them must not lose them.
func (b *Biller) holdAtSecond(ctx context.Context) {
	b.holding <- struct{}{}
	defer func() { <-b.holding }()
	if b.opts.HoldClient == nil {
		return
	}
	for _, peer := range b.opts.Peers() {
		if peer != b.peer.node && b.holdAt(ctx, peer, true) == peerHoldsAll {
			return
		}
	}
}

// hold has one of the peers hold the backlog and reports whether one does.
func (b *Biller) hold(ctx context.Context) bool {
	if b.opts.HoldClient == nil || time.Now().Before(b.peer.retryAt) {
		return false
	}
	peers := b.opts.Peers()
	if i := slices.Index(peers, b.peer.node); i > 0 {
		// A change of the order is no reason to move.
		peers = slices.Concat(peers[i:i+1], peers[:i], peers[i+1:])
	}
	for _, peer := range peers[:min(holdTries, len(peers))] {
		answer := b.holdAt(ctx, peer, peer != b.peer.node)
		if answer == peerLacksSome {
			answer = b.holdAt(ctx, peer, true)
		}
		if answer == peerHoldsAll {
			return true
		}
	}
	b.peer = peerState{retryAt: time.Now().Add(holdPause)}
	return false
}

// holdAnswer is what a peer answered.
type holdAnswer int

const (
	peerFailed holdAnswer = iota
	peerLacksSome
	peerHoldsAll
)

// holdAt sends a peer the batches that it lacks, or all.
func (b *Biller) holdAt(ctx context.Context, peer api.NodeID, all bool) holdAnswer {
	batches, next, last := b.unheld(all)
	req := b.holdRequest(batches, next, all)
	ctx, cancel := context.WithTimeout(ctx, b.opts.HoldTimeout)
	defer cancel()
	resp, err := b.opts.HoldClient.Hold(ctx, peer, req)
	if err != nil {
		return peerFailed
	}
	if resp.Held < last {
		return peerLacksSome
	}
	b.peer = peerState{node: peer, held: resp.Held, next: next, packs: resp.KnownKinds > 0, kinds: max(0, int(resp.KnownKinds)-1)}
	return peerHoldsAll
}

// unheld returns the batches that the peer lacks, or all, with the first unwritten batch and the last.
func (b *Biller) unheld(all bool) (batches []*billingpb.Segment, next, last uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := 0
	if !all {
		first, _ = slices.BinarySearchFunc(b.backlog.pieces, b.peer.held+1, func(s *billingpb.Segment, number uint64) int {
			return int(s.Last) - int(number)
		})
	}
	return slices.Clone(b.backlog.pieces[first:]), b.backlog.next, b.backlog.last()
}

// holdRequest packs batches for a peer that knows this incarnation, and names everything to another.
func (b *Biller) holdRequest(batches []*billingpb.Segment, next uint64, all bool) *billingpb.HoldRequest {
	if all || !b.peer.packs {
		return &billingpb.HoldRequest{
			Node: string(b.opts.Node), Incarnation: string(b.opts.Incarnation), Next: next, Batches: batches,
		}
	}
	if len(b.kinds.kinds) > maxKinds {
		b.kinds, b.peer.kinds = kindList{}, 0
	}
	req := &billingpb.HoldRequest{Sender: senderOf(b.opts.Incarnation), KnownKinds: uint32(b.peer.kinds)}
	if next != b.peer.next {
		req.Next = next
	}
	for _, batch := range batches {
		req.Packed = append(req.Packed, b.kinds.pack(batch))
	}
	req.Kinds = b.kinds.from(b.peer.kinds)
	return req
}
