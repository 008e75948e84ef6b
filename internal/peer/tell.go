package peer

import (
	"context"

	"github.com/monsoonrail/monsoonrail/internal/peer/peerpb"
)

// Send hands a payload of a topic to one member at once, which is for that member alone. An error leaves open whether it took it
// in, but for ErrNotTaken.
func (e *Exchange) Send(ctx context.Context, to Member, topic string, payload []byte) error {
	bundle := e.build(call{to: to, urgent: map[string]bool{}})
	bundle.Topics = append(bundle.Topics, &peerpb.TopicPart{Name: topic, Payload: payload})
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := e.exchange(ctx, to.PeerAddress, bundle)
	if err != nil {
		e.failed(to, err)
		return err
	}
	e.absorb(answer, to.PeerAddress)
	if answer.Sender.Incarnation != string(to.Incarnation) || answer.Sender.Protocol < DirectSendProtocol {
		return Error.Wrap(&ErrNotAccepted{})
	}
	return nil
}
