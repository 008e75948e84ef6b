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
	// DefaultBatchingNodes is how many nodes gather the claims of all.
	DefaultBatchingNodes = 4
	// DefaultTimeout bounds the wait for a claim.
	DefaultTimeout = 3 * time.Second
	// remoteTimeout bounds the wait for a gatherer before the node makes the claim itself.
	remoteTimeout = time.Second
	// gathererKey ranks the members as gatherers.
	gathererKey = "claim gatherers"
)

// Committer makes claims; *Batcher is one.
type Committer interface {
	// Commit returns what became of an entry. Its error is IsErrUnavailable.
	Commit(ctx context.Context, entry Entry) (CommitResult, error)
}

// RemoteCommitter hands claims to the batchers of other nodes.
type RemoteCommitter interface {
	// CommitAt calls Commit of a node's batcher. An error that is IsErrUnavailable came from that batcher; after
	// any other the claim is made by the node itself, which is safe whatever became of the call.
	CommitAt(ctx context.Context, node api.NodeID, entry Entry) (CommitResult, error)
}

// Options configures New.
type Options struct {
	Node        api.NodeID
	Incarnation api.Incarnation
	Local       Committer
	// Remote is nil if the node makes all its claims itself.
	Remote RemoteCommitter
	// Members returns the live nodes, this one included; a wrong view costs writes and nothing else.
	Members func() []api.NodeID
	// BatchingNodes is how many nodes gather the claims of all; 0 means DefaultGatherers.
	BatchingNodes int
	// Timeout bounds the wait for a claim; 0 means DefaultTimeout.
	Timeout time.Duration
	// MaxRecentClaims bounds the node's own claims that it remembers; 0 means DefaultMaxRemembered.
	MaxRecentClaims int
}

// Claimer makes the claims of one node.
type Claimer struct {
	opts   Options
	ledger *ledger
}

// New returns a Claims that remembers nothing.
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

// Request is a request that carries a caller's own key.
type Request struct {
	Team        api.Team
	Key         api.IdempotencyKey
	RequestID   api.RequestID
	Fingerprint idem.Fingerprint
}

// Owner names the incarnation that alone may run the request of a key.
type Owner struct {
	Node        api.NodeID
	Incarnation api.Incarnation
	// RequestID is the first one that the owner had for the key.
	RequestID api.RequestID
}

// Ownership tells who runs the request of a key.
type Ownership struct {
	// IsNew tells that this call alone may run the request. If it is false, the owner has run it, is running it
	// or will: the caller attaches there, and MayHaveRun is the answer if the owner is gone or knows of nothing.
	IsNew bool
	Owner Owner
}

// Claim claims a key for this node, unless it is claimed. The error is IsErrUnavailable, which makes a refusal "not
// run" true, or idem.IsErrKeyReused.
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
		case <-known.settled:
		case <-ctx.Done():
			return Ownership{}, unavailable(ctx.Err())
		}
		// A try that failed or lost leaves the key free for the next.
		if c.ledger.isWon(known) {
			return c.existing(known.record, req)
		}
	}
}

// Release tells that a request which this node was to run was never handed to a server and never will be, so that
// another try of its key may run here. The id is that of the call which Claim reported as new.
func (c *Claimer) Release(req Request) {
	c.ledger.release(KeyOf(req.Team, req.Key), req.RequestID)
}

// commit makes the claim of a new slot of the ledger.
func (c *Claimer) commit(ctx context.Context, key string, s *slot, req Request) (Ownership, error) {
	if s.record.Fingerprint != req.Fingerprint {
		c.ledger.settle(key, s, slotReleased)
		return Ownership{}, idem.Error.Wrap(&idem.ErrKeyReused{})
	}
	result, err := c.route(ctx, Entry{Key: key, Record: s.record})
	switch {
	case err != nil:
		// The write may still take effect; another try knows it by its nonce.
		c.ledger.settle(key, s, slotReleased)
		return Ownership{}, err
	case result.IsWon:
		c.ledger.settle(key, s, slotWon)
		return Ownership{IsNew: true, Owner: ownerOf(s.record)}, nil
	}
	c.ledger.settle(key, s, slotLost)
	return c.existing(result.Existing, req)
}

// existing returns the owner of a claimed key if the key came with the same request.
func (c *Claimer) existing(record Record, req Request) (Ownership, error) {
	if record.Node != "" && record.Fingerprint != req.Fingerprint {
		return Ownership{}, idem.Error.Wrap(&idem.ErrKeyReused{})
	}
	return Ownership{Owner: ownerOf(record)}, nil
}

// route hands an entry to the node that gathers its key, or makes the claim here if that does not answer.
func (c *Claimer) route(ctx context.Context, entry Entry) (CommitResult, error) {
	gatherer, ok := c.gatherer(entry.Key)
	if !ok || gatherer == c.opts.Node || c.opts.Remote == nil {
		return c.opts.Local.Commit(ctx, entry)
	}
	remoteCtx, cancel := context.WithTimeout(ctx, remoteTimeout)
	defer cancel()
	result, err := c.opts.Remote.CommitAt(remoteCtx, gatherer, entry)
	if err == nil || IsErrUnavailable(err) {
		return result, err
	}
	return c.opts.Local.Commit(ctx, entry)
}

func (c *Claimer) gatherer(key string) (api.NodeID, bool) {
	gatherers := rendezvous.Top(gathererKey, c.opts.Members(), c.opts.BatchingNodes)
	return rendezvous.First(key, gatherers)
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
