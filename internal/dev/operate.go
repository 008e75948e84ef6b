package dev

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/node"
	"github.com/monsoonrail/monsoonrail/internal/operator/operatorpb/operatorpbconnect"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Withdrawal returns the change by which an operator withdraws a version, based on a node's current configuration.
func Withdrawal(from *node.Node, id fleet.ChangeID, version api.VersionID, reason string) fleet.Change {
	state := from.Configs().State()
	next := *state.Config
	next.Exceptions = append(append([]fleet.Exception(nil), next.Exceptions...), fleet.Exception{
		ID: "withdraw-" + string(id), Scope: fleet.Scope{Version: version}, Withdraw: true, Reason: reason, Author: "operator",
	})
	return fleet.Change{
		ID: id, Base: state.Config.Revision, Author: "operator", Reason: reason, Time: time.Now(), Ops: state.Ops(&next),
	}
}

// OperatorClient returns a client of the operator API of the node with index i, authenticated as the operator "dev".
func (s *System) OperatorClient(i int, client *http.Client) operatorpbconnect.OperatorServiceClient {
	return NewOperatorClient(s.NodeURL(i), client)
}

// NewOperatorClient returns a client of the operator API at a node's base URL, authenticated as the operator "dev".
func NewOperatorClient(url string, client *http.Client) operatorpbconnect.OperatorServiceClient {
	withKey := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			req.Header().Set("Authorization", "Bearer "+OperatorKey)
			return next(ctx, req)
		}
	})
	return operatorpbconnect.NewOperatorServiceClient(client, url, connect.WithInterceptors(withKey))
}
