package client

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// issuedKeys is the answer of POST /v1/keys.
type issuedKeys struct {
	Keys []api.IdempotencyKey
}

// IssueKeys requests idempotency keys from a node. A call with one of them is run by the node's current process or not at all, and
// the node needs no other service to resolve the key. A key is valid for one call, however often that call is sent.
func (c *Client) IssueKeys(ctx context.Context) ([]api.IdempotencyKey, error) {
	node, err := c.addresses.pick(ctx, nil)
	if err != nil {
		return nil, err
	}
	return c.issueKeys(ctx, node)
}

func (c *Client) issueKeys(ctx context.Context, node api.Address) ([]api.IdempotencyKey, error) {
	call := &wireCall{
		method: http.MethodPost,
		path:   "/v1/keys?count=" + strconv.Itoa(keyBatch),
		header: http.Header{},
		node:   node,
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	response, err := c.sendTo(ctx, call, call.header)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var issued issuedKeys
	if err := json.NewDecoder(io.LimitReader(response.Body, maxProblemBytes)).Decode(&issued); err != nil {
		return nil, &ErrBadAnswer{Detail: err.Error()}
	}
	if len(issued.Keys) == 0 {
		return nil, &ErrBadAnswer{Detail: "no keys"}
	}
	return issued.Keys, nil
}

// ensureKey gives the call a key that its node issued, if it needs one and has none.
func (c *Client) ensureKey(ctx context.Context, call *wireCall) error {
	if call.key != "" || !call.needsKey || c.opts.WithoutKeys {
		return nil
	}
	key, ok := c.popKey(call.node.Node)
	if !ok {
		issued, err := c.issueKeys(ctx, call.node)
		if err != nil {
			return keyError(call.node, err)
		}
		key = issued[0]
		c.putKeys(call.node.Node, issued[1:])
	}
	call.key = key
	call.issued = true
	return nil
}

// keyError converts a failure to get a key into an error that states that the call itself was not sent.
func keyError(node api.Address, err error) error {
	if problem, ok := err.(*api.Problem); ok {
		return problem
	}
	return &ErrConnection{Node: node.Node, Cause: err}
}

func (c *Client) popKey(node api.NodeID) (api.IdempotencyKey, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	keys := c.keys[node]
	if len(keys) == 0 {
		return "", false
	}
	c.keys[node] = keys[:len(keys)-1]
	return keys[len(keys)-1], true
}

func (c *Client) putKeys(node api.NodeID, keys []api.IdempotencyKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keys[node] = append(c.keys[node], keys...)
	if over := len(c.keys[node]) - keyBatch; over > 0 {
		c.keys[node] = c.keys[node][over:]
	}
}

// dropKeys discards all unused keys: one of them is no longer valid, and others may be as old.
func (c *Client) dropKeys() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.keys)
}
