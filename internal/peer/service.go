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

// Handler returns the path prefix and the handler of the peer service.
func (e *Exchange) Handler() (string, http.Handler) {
	path, handler := peerpbconnect.NewPeerServiceHandler(service{e},
		connect.WithReadMaxBytes(maxMessageBytes), connect.WithSendMaxBytes(maxMessageBytes), connect.WithCompression("gzip", nil, nil))
	if note := e.opts.Authenticated; note != nil {
		served := handler
		handler = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			note(req)
			served.ServeHTTP(w, req)
		})
	}
	return path, authenticate(e.opts.Keys, handler)
}

// service implements the peer service for an Exchange.
type service struct{ exchange *Exchange }

// Exchange implements peerpbconnect.PeerServiceHandler.
func (s service) Exchange(_ context.Context, req *connect.Request[peerpb.ExchangeRequest]) (*connect.Response[peerpb.ExchangeResponse], error) {
	e := s.exchange
	bundle := req.Msg.Bundle
	if err := e.check(bundle.GetSender()); err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	e.meters.served.Inc(1)
	from := e.mergeBundle(bundle, "")
	response := call{to: from, isResponse: true}
	if bundle.Rumour {
		response.urgent = map[string]bool{}
	}
	return connect.NewResponse(&peerpb.ExchangeResponse{Bundle: e.buildBundle(response)}), nil
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

// check returns an error if a message has no sender, or if the sender's protocols don't overlap with this node's.
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
		return nil, Error.Wrap(typedError(err))
	}
	answer := resp.Msg.Bundle
	e.meters.countBundle(answer)
	return answer, e.check(answer.GetSender())
}

// FetchConfig fetches the configuration after a revision from a member. The snapshot is empty if the member still has
// all deltas after the revision; ConfigSource.After describes the results.
func (e *Exchange) FetchConfig(ctx context.Context, from Member, after api.Revision) (snapshot []byte, deltas [][]byte, err error) {
	e.meters.fetches.Inc(1)
	req := &peerpb.FetchConfigRequest{Sender: e.sender(), After: int64(after)}
	resp, err := e.clientFor(from.PeerAddress).FetchConfig(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, nil, Error.Wrap(typedError(err))
	}
	e.meters.countFetch(req, resp.Msg)
	return resp.Msg.Snapshot, resp.Msg.Deltas, e.check(resp.Msg.Sender)
}

// typedError adds the package's own error to a peer's refusal; other errors stay as they are.
func typedError(err error) error {
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
