package noderpc

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"connectrpc.com/connect"

	"github.com/monsoonrail/monsoonrail/internal/billing/billingpb"
	"github.com/monsoonrail/monsoonrail/internal/claim"
	"github.com/monsoonrail/monsoonrail/internal/noderpc/noderpcpb"
	"github.com/monsoonrail/monsoonrail/internal/noderpc/noderpcpb/noderpcpbconnect"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// ErrUnknownNode means that the address of a node is unknown.
type ErrUnknownNode struct{ Node api.NodeID }

// Error implements error.
func (e *ErrUnknownNode) Error() string { return fmt.Sprintf("no address of node %s", e.Node) }

// errClaimUnavailable holds the reason for which another node could not make a claim.
type errClaimUnavailable struct{ reason string }

func (e *errClaimUnavailable) Error() string { return e.reason }

// ClientOptions configures NewClient.
type ClientOptions struct {
	// HTTP makes the calls and signs them.
	HTTP *http.Client
	// FindURL returns the base URL of a node's peer API.
	FindURL func(node api.NodeID) (url string, ok bool)
}

// maxNodes bounds the nodes for which RPC clients and schedules are kept; a node calls few others at a time.
const maxNodes = 64

// Client calls other nodes. It implements billing.HoldClient and claim.RemoteCommitter.
type Client struct {
	opts ClientOptions

	mu sync.Mutex
	// nodes caches the RPC clients by URL, since creating one costs more than a call.
	nodes map[string]noderpcpbconnect.NodeServiceClient
	// open holds the batches that claims may still join.
	open map[batchKey]*claimBatch
	// schedules holds, by node, when and how the next claims may be sent.
	schedules map[api.NodeID]sendSchedule
}

// NewClient returns a client.
func NewClient(opts ClientOptions) *Client {
	return &Client{
		opts: opts, nodes: make(map[string]noderpcpbconnect.NodeServiceClient), open: make(map[batchKey]*claimBatch),
		schedules: make(map[api.NodeID]sendSchedule),
	}
}

// Hold implements billing.HoldClient.
func (c *Client) Hold(ctx context.Context, peer api.NodeID, req *billingpb.HoldRequest) (*billingpb.HoldResponse, error) {
	node, err := c.node(peer)
	if err != nil {
		return nil, err
	}
	resp, err := node.HoldBills(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return resp.Msg, nil
}

// commitOne makes a single claim by the call that all releases implement.
func (c *Client) commitOne(ctx context.Context, batchingNode api.NodeID, entry claim.Entry) (claim.CommitResult, error) {
	node, err := c.node(batchingNode)
	if err != nil {
		return claim.CommitResult{}, err
	}
	resp, err := node.CommitClaim(ctx, connect.NewRequest(&noderpcpb.CommitClaimRequest{
		Key:   entry.Key,
		Claim: encodeClaim(entry.Record),
	}))
	if err != nil {
		return claim.CommitResult{}, Error.Wrap(err)
	}
	return decodeOutcome(resp.Msg)
}

func decodeOutcome(outcome *noderpcpb.CommitClaimResponse) (claim.CommitResult, error) {
	switch {
	case outcome.GetUnavailable() != "":
		return claim.CommitResult{}, Error.Wrap(&claim.ErrUnavailable{Cause: &errClaimUnavailable{outcome.Unavailable}})
	case outcome.GetIsWon():
		return claim.CommitResult{IsWon: true}, nil
	}
	existing, err := decodeClaim(outcome.GetExisting())
	return claim.CommitResult{Existing: existing}, err
}

func (c *Client) node(id api.NodeID) (noderpcpbconnect.NodeServiceClient, error) {
	url, ok := c.opts.FindURL(id)
	if !ok {
		return nil, Error.Wrap(&ErrUnknownNode{Node: id})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if client, ok := c.nodes[url]; ok {
		return client, nil
	}
	if len(c.nodes) >= maxNodes {
		clear(c.nodes)
	}
	c.nodes[url] = noderpcpbconnect.NewNodeServiceClient(c.opts.HTTP, url,
		connect.WithReadMaxBytes(maxMessageBytes), connect.WithSendMaxBytes(maxMessageBytes))
	return c.nodes[url], nil
}
