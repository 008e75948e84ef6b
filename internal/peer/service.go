package peer

import (
	"context"
	"errors"
	"net/http"

	"connectrpc.com/connect"

	"github.com/monsoonrail/monsoonrail/internal/peer/peerpb"
	"github.com/monsoonrail/monsoonrail/internal/peer/peerpb/peerpbconnect"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Handler returns the path prefix and the handler that serve peers.
func (e *Exchange) Handler() (string, http.Handler) {
	path, handler := peerpbconnect.NewPeerServiceHandler(service{e},
		connect.WithReadMaxBytes(maxMessageBytes), connect.WithSendMaxBytes(maxMessageBytes), connect.WithCompression("gzip", nil, nil))
	return path, authenticate(e.opts.Keys, handler)
}

// service serves an exchange to peers.
type service struct{ exchange *Exchange }

// Exchange implements peerpbconnect.PeerServiceHandler.
func (s service) Exchange(_ context.Context, req *connect.Request[peerpb.ExchangeRequest]) (*connect.Response[peerpb.ExchangeResponse], error) {
	e := s.exchange
	bundle := req.Msg.Bundle
	if err := e.check(bundle.GetSender()); err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	e.meters.served.Inc(1)
	from := e.absorb(bundle, "")
	answer := call{to: from, isAnswer: true}
	if bundle.Rumour {
		answer.urgent = map[string]bool{}
	}
	return connect.NewResponse(&peerpb.ExchangeResponse{Bundle: e.build(answer)}), nil
}

// FetchConfig implements peerpbconnect.PeerServiceHandler.
func (s service) FetchConfig(_ context.Context, req *connect.Request[peerpb.FetchConfigRequest]) (*connect.Response[peerpb.FetchConfigResponse], error) {
	e := s.exchange
	if err := e.check(req.Msg.Sender); err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	if e.opts.Config == nil {
		return nil, connect.NewError(connect.CodeNotFound, Error.Wrap(&ErrNoConfig{}))
	}
	snapshot, deltas := e.opts.Config.After(api.Revision(req.Msg.After), maxFetchBytes)
	return connect.NewResponse(&peerpb.FetchConfigResponse{Sender: e.sender(), Snapshot: snapshot, Deltas: deltas}), nil
}

// check reports whether a message can be understood.
func (e *Exchange) check(sender *peerpb.Sender) error {
	if sender == nil || sender.Incarnation == "" {
		return Error.Wrap(&ErrMissingBundle{})
	}
	if sender.Protocol < e.opts.MinProtocol || sender.MinProtocol > e.opts.Protocol {
		return Error.Wrap(&ErrProtocol{Protocol: sender.Protocol, Min: sender.MinProtocol})
	}
	return nil
}

func (e *Exchange) clientFor(address string) peerpbconnect.PeerServiceClient {
	return peerpbconnect.NewPeerServiceClient(e.client, "http://"+address,
		connect.WithReadMaxBytes(maxMessageBytes), connect.WithSendMaxBytes(maxMessageBytes), connect.WithAcceptCompression("gzip", nil, nil))
}

func (e *Exchange) exchange(ctx context.Context, address string, bundle *peerpb.Bundle) (*peerpb.Bundle, error) {
	e.meters.calls.Inc(1)
	e.meters.countBundle(bundle)
	resp, err := e.clientFor(address).Exchange(ctx, connect.NewRequest(&peerpb.ExchangeRequest{Bundle: bundle}))
	if err != nil {
		return nil, Error.Wrap(typed(err))
	}
	answer := resp.Msg.Bundle
	e.meters.countBundle(answer)
	return answer, e.check(answer.GetSender())
}

// FetchConfig fetches the configuration after a revision from a member.
func (e *Exchange) FetchConfig(ctx context.Context, from Member, after api.Revision) (snapshot []byte, deltas [][]byte, err error) {
	e.meters.fetches.Inc(1)
	req := &peerpb.FetchConfigRequest{Sender: e.sender(), After: int64(after)}
	resp, err := e.clientFor(from.PeerAddress).FetchConfig(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, nil, Error.Wrap(typed(err))
	}
	e.meters.countFetch(req, resp.Msg)
	return resp.Msg.Snapshot, resp.Msg.Deltas, e.check(resp.Msg.Sender)
}

// typed turns a refusal that the peer sent into the package's own error.
func typed(err error) error {
	var refused *connect.Error
	if !errors.As(err, &refused) {
		return err
	}
	switch refused.Code() {
	case connect.CodeFailedPrecondition:
		return errors.Join(&ErrProtocol{}, err)
	case connect.CodeUnauthenticated:
		return errors.Join(&ErrUnauthenticated{Detail: "the peer has other keys or another clock"}, err)
	}
	return err
}
