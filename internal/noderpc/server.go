// Package noderpc carries the calls from one node to one other: bills to be held, claims to be gathered,
// rates to be lent and servers to be named.
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

// minCompressedBytes is the size from which answers are compressed.
const minCompressedBytes = 4 << 10

// BillHolder holds the bills of other nodes; *billing.BillHolder is one.
type BillHolder interface {
	Hold(req *billingpb.HoldRequest) (*billingpb.HoldResponse, error)
}

// ServerOptions configures NewHandler.
type ServerOptions struct {
	BillHolder BillHolder
	// ClaimCommitter makes the claims of all nodes; *claim.Batcher is one.
	ClaimCommitter claim.Committer
	RateLender     RateLender
	ServerFinder   ServerFinder
}

// NewHandler returns the path prefix and the handler that serve the calls of other nodes. It does not check who
// calls: the caller wraps it in what does.
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
	record, err := readClaim(req.Msg.Claim)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	entry := claim.Entry{Key: req.Msg.Key, Record: record}
	if !isProper(entry) {
		return nil, connect.NewError(connect.CodeInvalidArgument, Error.Wrap(&ErrInvalidClaim{}))
	}
	return connect.NewResponse(writeOutcome(s.opts.ClaimCommitter.Commit(ctx, entry))), nil
}

func isProper(entry claim.Entry) bool {
	return claim.IsKey(entry.Key) && entry.Record.Nonce != "" && entry.Record.Node != ""
}

func writeOutcome(result claim.CommitResult, err error) *noderpcpb.CommitClaimResponse {
	if err != nil {
		return &noderpcpb.CommitClaimResponse{Unavailable: err.Error()}
	}
	return &noderpcpb.CommitClaimResponse{IsWon: result.IsWon, Existing: writeClaim(result.Existing)}
}

// ErrInvalidClaim means that a message holds no proper claim.
type ErrInvalidClaim struct {
	// FingerprintBytes is the size of its fingerprint.
	FingerprintBytes int
}

// Error implements error.
func (e *ErrInvalidClaim) Error() string {
	return fmt.Sprintf("bad claim with a fingerprint of %d bytes", e.FingerprintBytes)
}

func readClaim(c *noderpcpb.Claim) (claim.Record, error) {
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

func writeClaim(r claim.Record) *noderpcpb.Claim {
	return &noderpcpb.Claim{
		RequestId:   string(r.RequestID),
		Node:        string(r.Node),
		Incarnation: string(r.Incarnation),
		Nonce:       r.Nonce,
		Fingerprint: r.Fingerprint[:],
	}
}
