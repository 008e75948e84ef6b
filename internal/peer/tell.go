package peer

import (
	"context"

	"github.com/monsoonrail/monsoonrail/internal/peer/peerpb"
)

// Send sends a payload of a topic directly to one member; the payload is meant for that member alone. After an error
// other than ErrNotAccepted, the member may or may not have received the payload.
func (e *Exchange) Send(ctx context.Context, to Member, topic string, payload []byte) error {
	bundle := e.buildBundle(call{to: to, urgent: map[string]bool{}})
	bundle.Topics = append(bundle.Topics, &peerpb.TopicPart{Name: topic, Payload: payload})
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := e.exchange(ctx, to.PeerAddress, bundle)
	if err != nil {
		e.recordFailure(to, err)
		return err
	}
	e.mergeBundle(answer, to.PeerAddress)
	if answer.Sender.Incarnation != string(to.Incarnation) || answer.Sender.Protocol < DirectSendProtocol {
		return Error.Wrap(&ErrNotAccepted{})
	}
	return nil
}
