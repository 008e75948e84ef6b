package noderpc

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/monsoonrail/monsoonrail/internal/claim"
	"github.com/monsoonrail/monsoonrail/internal/noderpc/noderpcpb"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// batchInterval is the least time between two batches of claims to a node. A claim is sent at once if no batch was sent to
	// the node within this time.
	batchInterval = 20 * time.Millisecond
	// maxBatch bounds the claims of a batch; further claims go into the next batch.
	maxBatch = claim.DefaultMaxBatch
	// maxBatchWait bounds the delay of a batch. Claims that would wait longer fail, and their own node makes them.
	maxBatchWait = 200 * time.Millisecond
	// batchTimeout bounds the call of a batch: by then the callers of its claims have stopped waiting.
	batchTimeout = time.Second
	// singleClaimPeriod is how long claims are sent one by one to a node that does not implement batches.
	singleClaimPeriod = time.Minute
)

// ErrMissingOutcome means that the response to a batch lacks the outcome of a claim.
type ErrMissingOutcome struct{}

// Error implements error.
func (e *ErrMissingOutcome) Error() string { return "no outcome of a claim" }

// ErrTooManyPendingBatches means that the delay before the next batch to a node would exceed maxBatchWait.
type ErrTooManyPendingBatches struct{ Node api.NodeID }

// Error implements error.
func (e *ErrTooManyPendingBatches) Error() string {
	return fmt.Sprintf("too many claims wait for node %s", e.Node)
}

// batchKey identifies the batch that a claim may join: the node that executes it and the owner of its claims.
type batchKey struct {
	batchingNode api.NodeID
	node         api.NodeID
	incarnation  api.Incarnation
}

// claimBatch is a set of claims that are sent to a node in one call.
type claimBatch struct {
	entries []claim.Entry
	// done is closed once results and err are set.
	done    chan struct{}
	results []outcome
	// err is the error of the call; nil if there are results.
	err error
}

type outcome struct {
	result claim.CommitResult
	err    error
}

// sendSchedule limits when and how claims are sent to a node.
type sendSchedule struct {
	// next is the earliest time of the next batch.
	next time.Time
	// singleUntil is the time until which claims are sent one by one, since the node did not implement batches.
	singleUntil time.Time
}

// CommitAt implements claim.RemoteCommitter. Claims to the same node share a call, which the first caller of a batch makes.
func (c *Client) CommitAt(ctx context.Context, batchingNode api.NodeID, entry claim.Entry) (claim.CommitResult, error) {
	if c.sendsSingleClaims(batchingNode, time.Now()) {
		return c.commitOne(ctx, batchingNode, entry)
	}
	key := batchKey{batchingNode: batchingNode, node: entry.Record.Node, incarnation: entry.Record.Incarnation}
	batch, index, wait := c.join(key, entry, time.Now())
	if batch == nil {
		return claim.CommitResult{}, Error.Wrap(&ErrTooManyPendingBatches{Node: batchingNode})
	}
	if index == 0 {
		c.sendBatch(ctx, key, batch, wait)
	}
	select {
	case <-batch.done:
	case <-ctx.Done():
		return claim.CommitResult{}, Error.Wrap(ctx.Err())
	}
	if connect.CodeOf(batch.err) == connect.CodeUnimplemented {
		c.useSingleClaims(batchingNode, time.Now())
		return c.commitOne(ctx, batchingNode, entry)
	}
	if batch.err != nil {
		return claim.CommitResult{}, Error.Wrap(batch.err)
	}
	return batch.results[index].result, batch.results[index].err
}

// join adds a claim to an open batch, or opens one that is to be sent after wait. The batch is nil if its wait would exceed
// maxBatchWait.
func (c *Client) join(key batchKey, entry claim.Entry, now time.Time) (batch *claimBatch, index int, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch = c.open[key]
	if batch == nil || len(batch.entries) >= maxBatch {
		if c.schedules[key.batchingNode].next.Sub(now) > maxBatchWait {
			return nil, 0, 0
		}
		batch = &claimBatch{done: make(chan struct{})}
		c.open[key] = batch
		wait = c.reserveSendTime(key.batchingNode, now)
	}
	batch.entries = append(batch.entries, entry)
	return batch, len(batch.entries) - 1, wait
}

// reserveSendTime reserves the next send time of a node and returns the wait until then. The caller must hold c.mu.
func (c *Client) reserveSendTime(batchingNode api.NodeID, now time.Time) time.Duration {
	if _, ok := c.schedules[batchingNode]; !ok && len(c.schedules) >= maxNodes {
		clear(c.schedules)
	}
	schedule := c.schedules[batchingNode]
	wait := max(schedule.next.Sub(now), 0)
	schedule.next = now.Add(wait + batchInterval)
	c.schedules[batchingNode] = schedule
	return wait
}

// sendBatch sends a batch after a wait. It ignores the cancellation of ctx, since the batch also has the claims of other
// callers.
func (c *Client) sendBatch(ctx context.Context, key batchKey, batch *claimBatch, wait time.Duration) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), wait+batchTimeout)
	defer cancel()
	defer close(batch.done)
	if batch.err = sleep.Wait(ctx, wait); batch.err != nil {
		return
	}
	c.mu.Lock()
	if c.open[key] == batch {
		delete(c.open, key)
	}
	c.mu.Unlock()
	batch.results, batch.err = c.commitAll(ctx, key, batch.entries)
}

func (c *Client) commitAll(ctx context.Context, key batchKey, entries []claim.Entry) ([]outcome, error) {
	node, err := c.node(key.batchingNode)
	if err != nil {
		return nil, err
	}
	req := &noderpcpb.CommitClaimsRequest{Node: string(key.node), Incarnation: string(key.incarnation)}
	for _, entry := range entries {
		req.Claims = append(req.Claims, encodeShortClaim(entry))
	}
	resp, err := node.CommitClaims(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return decodeOutcomes(resp.Msg, len(entries)), nil
}

// decodeOutcomes returns the outcomes of a batch by index. A claim without an outcome gets ErrMissingOutcome.
func decodeOutcomes(resp *noderpcpb.CommitClaimsResponse, count int) []outcome {
	results := make([]outcome, count)
	for i := range results {
		results[i].err = Error.Wrap(&ErrMissingOutcome{})
	}
	for _, index := range resp.Won {
		if int(index) < count {
			results[index] = outcome{result: claim.CommitResult{IsWon: true}}
		}
	}
	for _, other := range resp.Others {
		if int(other.Index) < count {
			result, err := decodeOutcome(other.Outcome)
			results[other.Index] = outcome{result, err}
		}
	}
	return results
}

func (c *Client) sendsSingleClaims(batchingNode api.NodeID, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.schedules[batchingNode].singleUntil)
}

func (c *Client) useSingleClaims(batchingNode api.NodeID, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	schedule := c.schedules[batchingNode]
	schedule.singleUntil = now.Add(singleClaimPeriod)
	c.schedules[batchingNode] = schedule
}

// CommitClaims implements noderpcpbconnect.NodeServiceHandler.
func (s server) CommitClaims(ctx context.Context, req *connect.Request[noderpcpb.CommitClaimsRequest]) (*connect.Response[noderpcpb.CommitClaimsResponse], error) {
	outcomes := make([]*noderpcpb.CommitClaimResponse, min(len(req.Msg.Claims), maxBatch))
	var group errgroup.Group
	for i := range outcomes {
		entry, err := decodeShortClaim(req.Msg.Claims[i], req.Msg)
		if err != nil || !isValid(entry) {
			continue
		}
		group.Go(func() error {
			outcomes[i] = encodeOutcome(s.opts.ClaimCommitter.Commit(ctx, entry))
			return nil
		})
	}
	_ = group.Wait()
	resp := &noderpcpb.CommitClaimsResponse{}
	for i, outcome := range outcomes {
		switch {
		case outcome == nil:
			// Invalid claims have no outcome in the response.
		case outcome.IsWon:
			resp.Won = append(resp.Won, uint32(i))
		default:
			resp.Others = append(resp.Others, &noderpcpb.OtherClaim{Index: uint32(i), Outcome: outcome})
		}
	}
	return connect.NewResponse(resp), nil
}

func encodeShortClaim(entry claim.Entry) *noderpcpb.ShortClaim {
	// A key that claim.KeyOf did not make has no hash; the receiver rejects the claim.
	hash, _ := claim.HashOf(entry.Key)
	short := &noderpcpb.ShortClaim{KeyHash: hash, Fingerprint: entry.Record.Fingerprint[:]}
	short.RequestUuid, short.RequestId = compactID(string(entry.Record.RequestID))
	short.NonceUuid, short.Nonce = compactID(entry.Record.Nonce)
	return short
}

func decodeShortClaim(short *noderpcpb.ShortClaim, of *noderpcpb.CommitClaimsRequest) (claim.Entry, error) {
	record, err := decodeClaim(&noderpcpb.Claim{
		RequestId: expandID(short.RequestUuid, short.RequestId), Node: of.Node, Incarnation: of.Incarnation,
		Nonce: expandID(short.NonceUuid, short.Nonce), Fingerprint: short.Fingerprint,
	})
	return claim.Entry{Key: claim.KeyOfHash(short.KeyHash), Record: record}, err
}

// compactID returns the 16 bytes of a UUID in canonical form, or the text itself if it is anything else.
func compactID(id string) (raw []byte, text string) {
	parsed, err := uuid.Parse(id)
	if err != nil || parsed.String() != id {
		return nil, id
	}
	return parsed[:], ""
}

// expandID reverses compactID.
func expandID(raw []byte, text string) string {
	parsed, err := uuid.FromBytes(raw)
	if err != nil {
		return text
	}
	return parsed.String()
}
