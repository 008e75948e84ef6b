// Package noderpc implements the calls from one node to another: holding bills, making claims in batches, lending rates and
// finding servers.
package noderpc

import (
	"context"
	"fmt"
	"net/http"

	"connectrpc.com/connect"
	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/internal/billing/billingpb"
	"github.com/monsoonrail/monsoonrail/internal/claim"
	"github.com/monsoonrail/monsoonrail/internal/idem"
	"github.com/monsoonrail/monsoonrail/internal/noderpc/noderpcpb"
	"github.com/monsoonrail/monsoonrail/internal/noderpc/noderpcpb/noderpcpbconnect"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Error is the class of every error of the package.
var Error = errs.Class("noderpc")

// maxMessageBytes bounds a message in either direction.
const maxMessageBytes = 4 << 20

// minCompressedBytes is the smallest size of a response that is compressed.
const minCompressedBytes = 4 << 10

// BillHolder holds the bills of other nodes; *billing.BatchHolder implements it.
type BillHolder interface {
	Hold(req *billingpb.HoldRequest) (*billingpb.HoldResponse, error)
}

// ServerOptions configures NewHandler.
type ServerOptions struct {
	BillHolder BillHolder
	// ClaimCommitter makes the claims of all nodes; *claim.Batcher implements it.
	ClaimCommitter claim.Committer
	RateLender     RateLender
	ServerFinder   ServerFinder
}

// NewHandler returns the path prefix and the handler for the calls of other nodes. It does not authenticate callers: wrap it in
// a handler that does.
func NewHandler(opts ServerOptions) (string, http.Handler) {
	return noderpcpbconnect.NewNodeServiceHandler(server{opts},
		connect.WithReadMaxBytes(maxMessageBytes), connect.WithSendMaxBytes(maxMessageBytes),
		connect.WithCompressMinBytes(minCompressedBytes))
}

type server struct{ opts ServerOptions }

// HoldBills implements noderpcpbconnect.NodeServiceHandler.
func (s server) HoldBills(_ context.Context, req *connect.Request[billingpb.HoldRequest]) (*connect.Response[billingpb.HoldResponse], error) {
	resp, err := s.opts.BillHolder.Hold(req.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeResourceExhausted, err)
	}
	return connect.NewResponse(resp), nil
}

// CommitClaim implements noderpcpbconnect.NodeServiceHandler.
func (s server) CommitClaim(ctx context.Context, req *connect.Request[noderpcpb.CommitClaimRequest]) (*connect.Response[noderpcpb.CommitClaimResponse], error) {
	record, err := decodeClaim(req.Msg.Claim)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	entry := claim.Entry{Key: req.Msg.Key, Record: record}
	if !isValid(entry) {
		return nil, connect.NewError(connect.CodeInvalidArgument, Error.Wrap(&ErrInvalidClaim{}))
	}
	return connect.NewResponse(encodeOutcome(s.opts.ClaimCommitter.Commit(ctx, entry))), nil
}

func isValid(entry claim.Entry) bool {
	return claim.IsKey(entry.Key) && entry.Record.Nonce != "" && entry.Record.Node != ""
}

func encodeOutcome(result claim.CommitResult, err error) *noderpcpb.CommitClaimResponse {
	if err != nil {
		return &noderpcpb.CommitClaimResponse{Unavailable: err.Error()}
	}
	return &noderpcpb.CommitClaimResponse{IsWon: result.IsWon, Existing: encodeClaim(result.Existing)}
}

// ErrInvalidClaim means that a message has no valid claim.
type ErrInvalidClaim struct {
	// FingerprintBytes is the size of the fingerprint in the message.
	FingerprintBytes int
}

// Error implements error.
func (e *ErrInvalidClaim) Error() string {
	return fmt.Sprintf("bad claim with a fingerprint of %d bytes", e.FingerprintBytes)
}

func decodeClaim(c *noderpcpb.Claim) (claim.Record, error) {
	var fingerprint idem.Fingerprint
	if len(c.GetFingerprint()) != len(fingerprint) {
		return claim.Record{}, Error.Wrap(&ErrInvalidClaim{FingerprintBytes: len(c.GetFingerprint())})
	}
	copy(fingerprint[:], c.Fingerprint)
	return claim.Record{
		RequestID:   api.RequestID(c.RequestId),
		Node:        api.NodeID(c.Node),
		Incarnation: api.Incarnation(c.Incarnation),
		Nonce:       c.Nonce,
		Fingerprint: fingerprint,
	}, nil
}

func encodeClaim(r claim.Record) *noderpcpb.Claim {
	return &noderpcpb.Claim{
		RequestId:   string(r.RequestID),
		Node:        string(r.Node),
		Incarnation: string(r.Incarnation),
		Nonce:       r.Nonce,
		Fingerprint: r.Fingerprint[:],
	}
}
