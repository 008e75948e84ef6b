package noderpc

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/monsoonrail/monsoonrail/internal/limit"
	"github.com/monsoonrail/monsoonrail/internal/noderpc/noderpcpb"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// maxRates bounds the teams of a message.
const maxRates = 256

// RateLender lends parts of this node's shares of rate limits; *admission.Gate implements it.
type RateLender interface {
	Lend(peer api.Incarnation, demands []limit.Demand, now time.Time) []limit.Loan
}

// BorrowRates asks a node to lend part of its shares of rate limits.
func (c *Client) BorrowRates(ctx context.Context, peer api.NodeID, own api.Incarnation, demands []limit.Demand) ([]limit.Loan, error) {
	node, err := c.node(peer)
	if err != nil {
		return nil, err
	}
	req := &noderpcpb.LendRatesRequest{Incarnation: string(own)}
	for _, demand := range demands[:min(len(demands), maxRates)] {
		req.Demands = append(req.Demands, &noderpcpb.TeamRate{Team: string(demand.Team), RequestsPerSecond: demand.Excess})
	}
	resp, err := node.LendRates(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var loans []limit.Loan
	for _, loan := range resp.Msg.Loans {
		loans = append(loans, limit.Loan{Team: api.Team(loan.Team), Rate: loan.RequestsPerSecond})
	}
	return loans, nil
}

// LendRates implements noderpcpbconnect.NodeServiceHandler.
func (s server) LendRates(_ context.Context, req *connect.Request[noderpcpb.LendRatesRequest]) (*connect.Response[noderpcpb.LendRatesResponse], error) {
	var demands []limit.Demand
	for _, demand := range req.Msg.Demands[:min(len(req.Msg.Demands), maxRates)] {
		demands = append(demands, limit.Demand{Team: api.Team(demand.Team), Excess: demand.RequestsPerSecond})
	}
	resp := &noderpcpb.LendRatesResponse{}
	for _, loan := range s.opts.RateLender.Lend(api.Incarnation(req.Msg.Incarnation), demands, time.Now()) {
		resp.Loans = append(resp.Loans, &noderpcpb.TeamRate{Team: string(loan.Team), RequestsPerSecond: loan.Rate})
	}
	return connect.NewResponse(resp), nil
}
