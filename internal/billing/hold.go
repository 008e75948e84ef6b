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
	// maxHoldAttempts is the number of peers tried for one batch: three may be unreachable for different reasons at the
	// same time. It delays the end of an answer by at most maxHoldAttempts times HoldTimeout, 1 s by default.
	maxHoldAttempts = 4
	// holdRetryDelay is the delay before peers are tried again after all of them failed.
	holdRetryDelay = time.Second
	// peerCheckInterval is the interval at which a node without new lines checks that its peer is still live.
	peerCheckInterval = 2 * time.Second
)

// HoldClient sends batches to the BatchHolder of a peer.
type HoldClient interface {
	// Hold sends batches to a peer and returns which ones the peer holds; a failed call may be repeated.
	Hold(ctx context.Context, peer api.NodeID, req *billingpb.HoldRequest) (*billingpb.HoldResponse, error)
}

// peerState describes the peer that holds this node's batches; it is guarded by Biller.holdSem.
type peerState struct {
	node api.NodeID
	// lastHeld is the last batch that the peer has confirmed, and reportedNext the first unwritten batch last sent to
	// it.
	lastHeld, reportedNext uint64
	// acceptsPacked means that the peer accepts packed batches; knownKinds is the length of its kind list.
	acceptsPacked bool
	knownKinds    int
	// retryAt is when peers are tried again after all of them failed.
	retryAt time.Time
}

// RunHold batches the queued lines, has a peer hold each batch and then lets the answers complete, until ctx ends. One
// message is in flight at a time; lines queued meanwhile form the next batch.
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
		case p := <-b.queue:
			b.batch(ctx, p)
			if b.hasPeer() && b.pacer.wait(ctx) != nil {
				return ctx.Err()
			}
		}
	}
}

// batchQueued batches the queued lines, if there are any.
func (b *Biller) batchQueued(ctx context.Context) {
	select {
	case p := <-b.queue:
		b.batch(ctx, p)
	default:
	}
}

// batch makes a batch of a line and the lines queued behind it, has a peer hold it and lets their answers complete.
func (b *Biller) batch(ctx context.Context, first *pendingLine) {
	b.holdSem <- struct{}{}
	defer func() { <-b.holdSem }()
	b.pacer.clearUrgent()
	group := []*pendingLine{first}
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
	if !b.holdBacklog(ctx) {
		b.unprotected.Add(int64(len(group)))
		b.opts.Log.WithField("lines", len(group)).Warn("answers ended before a peer held their bills")
	}
	for _, w := range group {
		close(w.done)
	}
}

// hasPeer reports whether a peer held the last batch. If not, no delay between messages is needed: none was sent, or
// the failed calls have already taken time.
func (b *Biller) hasPeer() bool {
	b.holdSem <- struct{}{}
	defer func() { <-b.holdSem }()
	return b.peer.node != ""
}

// checkPeer has another peer hold the backlog if the present one is no longer live.
func (b *Biller) checkPeer(ctx context.Context) {
	if b.opts.HoldClient == nil {
		return
	}
	b.holdSem <- struct{}{}
	defer func() { <-b.holdSem }()
	if !b.isFlushed() && !slices.Contains(b.opts.Peers(), b.peer.node) {
		b.holdBacklog(ctx)
	}
}

// reportAllWritten reports to the peer that the backlog is written.
func (b *Biller) reportAllWritten(ctx context.Context) {
	b.holdSem <- struct{}{}
	defer func() { <-b.holdSem }()
	if b.opts.HoldClient != nil && b.peer.node != "" {
		b.holdAtPeer(ctx, b.peer.node, false)
	}
}

// holdAtSecondPeer has a second peer hold the backlog too: a node that shuts down with unwritten lines leaves them to
// its peers, and the crash of one peer must not lose them.
func (b *Biller) holdAtSecondPeer(ctx context.Context) {
	b.holdSem <- struct{}{}
	defer func() { <-b.holdSem }()
	if b.opts.HoldClient == nil {
		return
	}
	for _, peer := range b.opts.Peers() {
		if peer != b.peer.node && b.holdAtPeer(ctx, peer, true) == peerHoldsAll {
			return
		}
	}
}

// holdBacklog has one of the peers hold the backlog and reports whether a peer does.
func (b *Biller) holdBacklog(ctx context.Context) bool {
	if b.opts.HoldClient == nil || time.Now().Before(b.peer.retryAt) {
		return false
	}
	peers := b.opts.Peers()
	if i := slices.Index(peers, b.peer.node); i > 0 {
		// A new order of the peers alone is no reason to change the peer.
		peers = slices.Concat(peers[i:i+1], peers[:i], peers[i+1:])
	}
	for _, peer := range peers[:min(maxHoldAttempts, len(peers))] {
		status := b.holdAtPeer(ctx, peer, peer != b.peer.node)
		if status == peerLacksSome {
			status = b.holdAtPeer(ctx, peer, true)
		}
		if status == peerHoldsAll {
			return true
		}
	}
	b.peer = peerState{retryAt: time.Now().Add(holdRetryDelay)}
	return false
}

// holdStatus is the result of sending batches to a peer.
type holdStatus int

const (
	peerFailed holdStatus = iota
	peerLacksSome
	peerHoldsAll
)

// holdAtPeer sends a peer the batches that it lacks, or the whole backlog if all is set.
func (b *Biller) holdAtPeer(ctx context.Context, peer api.NodeID, all bool) holdStatus {
	batches, next, last := b.unheldBatches(all)
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
	b.peer = peerState{
		node: peer, lastHeld: resp.Held, reportedNext: next,
		acceptsPacked: resp.KnownKinds > 0, knownKinds: max(0, int(resp.KnownKinds)-1),
	}
	return peerHoldsAll
}

// unheldBatches returns the batches that the peer lacks, or the whole backlog if all is set, with the numbers of the
// first unwritten batch and of the last batch.
func (b *Biller) unheldBatches(all bool) (batches []*billingpb.Segment, next, last uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := 0
	if !all {
		first, _ = slices.BinarySearchFunc(b.backlog.runs, b.peer.lastHeld+1, func(s *billingpb.Segment, number uint64) int {
			return int(s.Last) - int(number)
		})
	}
	return slices.Clone(b.backlog.runs[first:]), b.backlog.next, b.backlog.last()
}

// holdRequest packs the batches for a peer that already has state for this incarnation. For any other peer the request
// has the node, the incarnation and full batches.
func (b *Biller) holdRequest(batches []*billingpb.Segment, next uint64, all bool) *billingpb.HoldRequest {
	if all || !b.peer.acceptsPacked {
		return &billingpb.HoldRequest{
			Node: string(b.opts.Node), Incarnation: string(b.opts.Incarnation), Next: next, Batches: batches,
		}
	}
	if len(b.kinds.kinds) > maxKinds {
		b.kinds, b.peer.knownKinds = kindList{}, 0
	}
	req := &billingpb.HoldRequest{Sender: senderID(b.opts.Incarnation), KnownKinds: uint32(b.peer.knownKinds)}
	if next != b.peer.reportedNext {
		req.Next = next
	}
	for _, batch := range batches {
		req.Packed = append(req.Packed, b.kinds.pack(batch))
	}
	req.Kinds = b.kinds.encodeFrom(b.peer.knownKinds)
	return req
}
