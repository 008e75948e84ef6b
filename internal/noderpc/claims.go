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
	// batchInterval is the least time between two batches of claims to a node. A claim that comes later than that after the
	// one before is sent at once.
	batchInterval = 20 * time.Millisecond
	// maxBatch bounds the claims of a batch; further ones go with the next.
	maxBatch = claim.DefaultMaxBatch
	// maxBatchWait bounds the wait of a batch for its turn; claims that would wait longer are left to their own node.
	maxBatchWait = 200 * time.Millisecond
	// batchTimeout bounds the call of a batch, so that it ends when its claims' own waits have ended.
	batchTimeout = time.Second
	// oneByOneFor is how long a node that does not know batches is sent single claims.
	oneByOneFor = time.Minute
)

// ErrMissingOutcome means that the answer to a batch does not tell what became of a claim.
type ErrMissingOutcome struct{}

// Error implements error.
func (e *ErrMissingOutcome) Error() string { return "no outcome of a claim" }

// ErrTooManyPendingBatches means that as many claims wait for a node as may.
type ErrTooManyPendingBatches struct{ Node api.NodeID }

// Error implements error.
func (e *ErrTooManyPendingBatches) Error() string {
	return fmt.Sprintf("too many claims wait for node %s", e.Node)
}

// batchKey is what the claims of a batch have in common.
type batchKey struct {
	gatherer    api.NodeID
	node        api.NodeID
	incarnation api.Incarnation
}

// claimBatch is a number of claims that go to a node together.
type claimBatch struct {
	entries []claim.Entry
	// done is closed once results and err are set.
	done    chan struct{}
	results []outcome
	// err is why there are no results.
	err error
}

type outcome struct {
	result claim.CommitResult
	err    error
}

// pace is when a node is sent claims.
type pace struct {
	// next is the earliest time of the next batch.
	next time.Time
	// oneByOne ends the time in which the node is taken not to know batches.
	oneByOne time.Time
}

// CommitAt implements claim.Gatherers. Claims to the same node go in one call; whoever begins a batch sends it.
func (c *Client) CommitAt(ctx context.Context, gatherer api.NodeID, entry claim.Entry) (claim.CommitResult, error) {
	if c.isOneByOne(gatherer, time.Now()) {
		return c.commitOne(ctx, gatherer, entry)
	}
	key := batchKey{gatherer: gatherer, node: entry.Record.Node, incarnation: entry.Record.Incarnation}
	batch, index, wait := c.join(key, entry, time.Now())
	if batch == nil {
		return claim.CommitResult{}, Error.Wrap(&ErrTooManyPendingBatches{Node: gatherer})
	}
	if index == 0 {
		c.lead(ctx, key, batch, wait)
	}
	select {
	case <-batch.done:
	case <-ctx.Done():
		return claim.CommitResult{}, Error.Wrap(ctx.Err())
	}
	if connect.CodeOf(batch.err) == connect.CodeUnimplemented {
		c.noteOneByOne(gatherer, time.Now())
		return c.commitOne(ctx, gatherer, entry)
	}
	if batch.err != nil {
		return claim.CommitResult{}, Error.Wrap(batch.err)
	}
	return batch.results[index].result, batch.results[index].err
}

// join adds a claim to an open batch or begins one, which is to be sent after a wait. There is no batch if too many wait.
func (c *Client) join(key batchKey, entry claim.Entry, now time.Time) (batch *claimBatch, index int, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch = c.open[key]
	if batch == nil || len(batch.entries) >= maxBatch {
		if c.paces[key.gatherer].next.Sub(now) > maxBatchWait {
			return nil, 0, 0
		}
		batch = &claimBatch{done: make(chan struct{})}
		c.open[key] = batch
		wait = c.reserve(key.gatherer, now)
	}
	batch.entries = append(batch.entries, entry)
	return batch, len(batch.entries) - 1, wait
}

// reserve returns the wait of the next batch to a node. The caller holds the lock.
func (c *Client) reserve(gatherer api.NodeID, now time.Time) time.Duration {
	if _, ok := c.paces[gatherer]; !ok && len(c.paces) >= maxNodes {
		clear(c.paces)
	}
	known := c.paces[gatherer]
	wait := max(known.next.Sub(now), 0)
	known.next = now.Add(wait + batchInterval)
	c.paces[gatherer] = known
	return wait
}

// lead sends a batch after a wait. The claims of others go with it, so that it is sent even if its first caller has gone.
func (c *Client) lead(ctx context.Context, key batchKey, batch *claimBatch, wait time.Duration) {
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
	node, err := c.node(key.gatherer)
	if err != nil {
		return nil, err
	}
	req := &noderpcpb.CommitClaimsRequest{Node: string(key.node), Incarnation: string(key.incarnation)}
	for _, entry := range entries {
		req.Claims = append(req.Claims, writeShort(entry))
	}
	resp, err := node.CommitClaims(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return readOutcomes(resp.Msg, len(entries)), nil
}

// readOutcomes reads what became of some claims; one that the answer does not tell of failed.
func readOutcomes(resp *noderpcpb.CommitClaimsResponse, count int) []outcome {
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
			result, err := readOutcome(other.Outcome)
			results[other.Index] = outcome{result, err}
		}
	}
	return results
}

func (c *Client) isOneByOne(gatherer api.NodeID, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.paces[gatherer].oneByOne)
}

func (c *Client) noteOneByOne(gatherer api.NodeID, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.paces[gatherer]
	known.oneByOne = now.Add(oneByOneFor)
	c.paces[gatherer] = known
}

// CommitClaims implements noderpcpbconnect.NodeServiceHandler.
func (s server) CommitClaims(ctx context.Context, req *connect.Request[noderpcpb.CommitClaimsRequest]) (*connect.Response[noderpcpb.CommitClaimsResponse], error) {
	outcomes := make([]*noderpcpb.CommitClaimResponse, min(len(req.Msg.Claims), maxBatch))
	var group errgroup.Group
	for i := range outcomes {
		entry, err := readShort(req.Msg.Claims[i], req.Msg)
		if err != nil || !isProper(entry) {
			continue
		}
		group.Go(func() error {
			outcomes[i] = writeOutcome(s.opts.ClaimCommitter.Commit(ctx, entry))
			return nil
		})
	}
	_ = group.Wait()
	resp := &noderpcpb.CommitClaimsResponse{}
	for i, made := range outcomes {
		switch {
		case made == nil:
			// A claim that is not proper has no outcome.
		case made.IsWon:
			resp.Won = append(resp.Won, uint32(i))
		default:
			resp.Others = append(resp.Others, &noderpcpb.OtherClaim{Index: uint32(i), Outcome: made})
		}
	}
	return connect.NewResponse(resp), nil
}

func writeShort(entry claim.Entry) *noderpcpb.ShortClaim {
	// A key that KeyOf did not make has no hash and is refused by whoever reads it.
	hash, _ := claim.HashOf(entry.Key)
	short := &noderpcpb.ShortClaim{KeyHash: hash, Fingerprint: entry.Record.Fingerprint[:]}
	short.RequestUuid, short.RequestId = shorten(string(entry.Record.RequestID))
	short.NonceUuid, short.Nonce = shorten(entry.Record.Nonce)
	return short
}

func readShort(short *noderpcpb.ShortClaim, of *noderpcpb.CommitClaimsRequest) (claim.Entry, error) {
	record, err := readClaim(&noderpcpb.Claim{
		RequestId: lengthen(short.RequestUuid, short.RequestId), Node: of.Node, Incarnation: of.Incarnation,
		Nonce: lengthen(short.NonceUuid, short.Nonce), Fingerprint: short.Fingerprint,
	})
	return claim.Entry{Key: claim.KeyOfHash(short.KeyHash), Record: record}, err
}

// shorten returns the bytes of a UUID as uuid writes it, or the text that is none.
func shorten(id string) (raw []byte, text string) {
	parsed, err := uuid.Parse(id)
	if err != nil || parsed.String() != id {
		return nil, id
	}
	return parsed[:], ""
}

// lengthen takes shorten back.
func lengthen(raw []byte, text string) string {
	parsed, err := uuid.FromBytes(raw)
	if err != nil {
		return text
	}
	return parsed.String()
}
