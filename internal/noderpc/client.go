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

// ErrUnknownNode means that no address of a node is known.
type ErrUnknownNode struct{ Node api.NodeID }

// Error implements error.
func (e *ErrUnknownNode) Error() string { return fmt.Sprintf("no address of node %s", e.Node) }

// errRefused is the reason of a claim that another node could not make.
type errRefused struct{ reason string }

func (e *errRefused) Error() string { return e.reason }

// ClientOptions configures NewClient.
type ClientOptions struct {
	// HTTP makes the calls and proves who makes them.
	HTTP *http.Client
	// FindURL returns the base URL that a node serves other nodes at.
	FindURL func(node api.NodeID) (url string, ok bool)
}

// maxNodes bounds the nodes whose stubs are kept; a node calls few others at a time.
const maxNodes = 64

// Client calls other nodes. It implements billing.Holder and claim.Gatherers.
type Client struct {
	opts ClientOptions

	mu sync.Mutex
	// nodes holds the stubs of the nodes called, by URL; making one costs more than a call.
	nodes map[string]noderpcpbconnect.NodeServiceClient
	// open holds the batches that claims may still join.
	open map[batchKey]*claimBatch
	// paces tells, by node, when its next batch may be sent.
	paces map[api.NodeID]pace
}

// NewClient returns a client.
func NewClient(opts ClientOptions) *Client {
	return &Client{
		opts: opts, nodes: make(map[string]noderpcpbconnect.NodeServiceClient), open: make(map[batchKey]*claimBatch),
		paces: make(map[api.NodeID]pace),
	}
}

// Hold implements billing.Holder.
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

// commitOne makes one claim by the call that every release knows.
func (c *Client) commitOne(ctx context.Context, gatherer api.NodeID, entry claim.Entry) (claim.CommitResult, error) {
	node, err := c.node(gatherer)
	if err != nil {
		return claim.CommitResult{}, err
	}
	resp, err := node.CommitClaim(ctx, connect.NewRequest(&noderpcpb.CommitClaimRequest{
		Key:   entry.Key,
		Claim: writeClaim(entry.Record),
	}))
	if err != nil {
		return claim.CommitResult{}, Error.Wrap(err)
	}
	return readOutcome(resp.Msg)
}

func readOutcome(outcome *noderpcpb.CommitClaimResponse) (claim.CommitResult, error) {
	switch {
	case outcome.GetUnavailable() != "":
		return claim.CommitResult{}, Error.Wrap(&claim.ErrUnavailable{Cause: &errRefused{outcome.Unavailable}})
	case outcome.GetIsWon():
		return claim.CommitResult{IsWon: true}, nil
	}
	existing, err := readClaim(outcome.GetExisting())
	return claim.CommitResult{Existing: existing}, err
}

func (c *Client) node(id api.NodeID) (noderpcpbconnect.NodeServiceClient, error) {
	url, ok := c.opts.FindURL(id)
	if !ok {
		return nil, Error.Wrap(&ErrUnknownNode{Node: id})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.nodes[url]; ok {
		return known, nil
	}
	if len(c.nodes) >= maxNodes {
		clear(c.nodes)
	}
	c.nodes[url] = noderpcpbconnect.NewNodeServiceClient(c.opts.HTTP, url,
		connect.WithReadMaxBytes(maxMessageBytes), connect.WithSendMaxBytes(maxMessageBytes))
	return c.nodes[url], nil
}
