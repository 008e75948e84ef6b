package claim

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/monsoonrail/monsoonrail/internal/idem"
	"github.com/monsoonrail/monsoonrail/internal/rendezvous"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// DefaultBatchingNodes is the number of nodes that batch the claims of all nodes.
	DefaultBatchingNodes = 4
	// DefaultTimeout bounds the time that a claim may take.
	DefaultTimeout = 3 * time.Second
	// remoteTimeout bounds the call to a batching node; after it the node makes the claim itself.
	remoteTimeout = time.Second
	// batchingNodesKey is the rendezvous hashing key that selects the batching nodes among the members.
	batchingNodesKey = "claim gatherers"
)

// Committer makes claims; *Batcher implements it.
type Committer interface {
	// Commit makes the claim of an entry and returns its result. Its error is an ErrUnavailable.
	Commit(ctx context.Context, entry Entry) (CommitResult, error)
}

// RemoteCommitter forwards claims to the Batchers of other nodes.
type RemoteCommitter interface {
	// CommitAt calls Commit of a node's Batcher. An ErrUnavailable is the result of that Batcher. After any other error
	// the node makes the claim itself, which is safe whether or not the call took effect.
	CommitAt(ctx context.Context, node api.NodeID, entry Entry) (CommitResult, error)
}

// Options configures New.
type Options struct {
	Node        api.NodeID
	Incarnation api.Incarnation
	Local       Committer
	// Remote is nil if the node makes all its claims itself.
	Remote RemoteCommitter
	// Members returns the live nodes, including this one; a wrong view only costs additional writes.
	Members func() []api.NodeID
	// BatchingNodes is the number of nodes that batch the claims of all nodes; 0 means DefaultBatchingNodes.
	BatchingNodes int
	// Timeout bounds the time that a claim may take; 0 means DefaultTimeout.
	Timeout time.Duration
	// MaxRecentClaims bounds the node's own claims that it keeps in memory; 0 means DefaultMaxRecentClaims.
	MaxRecentClaims int
}

// Claimer makes the claims of one node.
type Claimer struct {
	opts   Options
	ledger *ledger
}

// New returns a Claimer with no claims in memory.
func New(opts Options) *Claimer {
	if opts.BatchingNodes == 0 {
		opts.BatchingNodes = DefaultBatchingNodes
	}
	if opts.Timeout == 0 {
		opts.Timeout = DefaultTimeout
	}
	if opts.MaxRecentClaims == 0 {
		opts.MaxRecentClaims = DefaultMaxRecentClaims
	}
	return &Claimer{opts: opts, ledger: newLedger(opts.MaxRecentClaims)}
}

// Request is a request with a caller's own idempotency key.
type Request struct {
	Team        api.Team
	Key         api.IdempotencyKey
	RequestID   api.RequestID
	Fingerprint idem.Fingerprint
}

// Owner is the only incarnation that may run the request of a key.
type Owner struct {
	Node        api.NodeID
	Incarnation api.Incarnation
	// RequestID is the first request with the key that the owner received.
	RequestID api.RequestID
}

// Ownership is the result of a claim: who may run the request of a key.
type Ownership struct {
	// IsNew means that only this call may run the request. If it is false, the owner has run the request, is running it
	// or will run it: the caller attaches to the owner, and the result is MayHaveRun if the owner has stopped or has no
	// record of the request.
	IsNew bool
	Owner Owner
}

// Claim claims a key for this node unless it is claimed already. The error is an ErrUnavailable, after which the
// request has certainly not run, or satisfies idem.IsErrKeyReused.
func (c *Claimer) Claim(ctx context.Context, req Request) (Ownership, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	key := KeyOf(req.Team, req.Key)
	for {
		known, isNew := c.ledger.begin(key, c.newRecord(req), req.RequestID)
		if isNew {
			return c.commit(ctx, key, known, req)
		}
		select {
		case <-known.done:
		case <-ctx.Done():
			return Ownership{}, unavailable(ctx.Err())
		}
		// After a claim that failed or was lost to another node, the key is free for the next attempt.
		if c.ledger.isWon(known) {
			return c.existing(known.record, req)
		}
	}
}

// Release reports that a request which this node was to run was not dispatched to a server and never will be, so that a
// retry with its key may run here. req.RequestID must be that of the Claim call that returned IsNew.
func (c *Claimer) Release(req Request) {
	c.ledger.release(KeyOf(req.Team, req.Key), req.RequestID)
}

// commit makes a claim that the ledger has just begun.
func (c *Claimer) commit(ctx context.Context, key string, local *localClaim, req Request) (Ownership, error) {
	if local.record.Fingerprint != req.Fingerprint {
		c.ledger.finish(key, local, claimReleased)
		return Ownership{}, idem.Error.Wrap(&idem.ErrKeyReused{})
	}
	result, err := c.route(ctx, Entry{Key: key, Record: local.record})
	switch {
	case err != nil:
		// The write may still take effect; a retry recognizes its record by the nonce.
		c.ledger.finish(key, local, claimReleased)
		return Ownership{}, err
	case result.IsWon:
		c.ledger.finish(key, local, claimWon)
		return Ownership{IsNew: true, Owner: ownerOf(local.record)}, nil
	}
	c.ledger.finish(key, local, claimLost)
	return c.existing(result.Existing, req)
}

// existing returns the owner of a claimed key, or an error if the key was claimed with a different request.
func (c *Claimer) existing(record Record, req Request) (Ownership, error) {
	if record.Node != "" && record.Fingerprint != req.Fingerprint {
		return Ownership{}, idem.Error.Wrap(&idem.ErrKeyReused{})
	}
	return Ownership{Owner: ownerOf(record)}, nil
}

// route forwards an entry to the batching node of its key, or makes the claim locally if that node does not answer.
func (c *Claimer) route(ctx context.Context, entry Entry) (CommitResult, error) {
	node, ok := c.batchingNode(entry.Key)
	if !ok || node == c.opts.Node || c.opts.Remote == nil {
		return c.opts.Local.Commit(ctx, entry)
	}
	remoteCtx, cancel := context.WithTimeout(ctx, remoteTimeout)
	defer cancel()
	result, err := c.opts.Remote.CommitAt(remoteCtx, node, entry)
	if err == nil || IsErrUnavailable(err) {
		return result, err
	}
	return c.opts.Local.Commit(ctx, entry)
}

func (c *Claimer) batchingNode(key string) (api.NodeID, bool) {
	nodes := rendezvous.Top(batchingNodesKey, c.opts.Members(), c.opts.BatchingNodes)
	return rendezvous.First(key, nodes)
}

func (c *Claimer) newRecord(req Request) Record {
	return Record{
		RequestID:   req.RequestID,
		Node:        c.opts.Node,
		Incarnation: c.opts.Incarnation,
		Nonce:       uuid.NewString(),
		Fingerprint: req.Fingerprint,
	}
}

func ownerOf(r Record) Owner {
	return Owner{Node: r.Node, Incarnation: r.Incarnation, RequestID: r.RequestID}
}
