package peer

import (
	"context"

	"connectrpc.com/connect"

	"github.com/monsoonrail/monsoonrail/internal/peer/peerpb"
)

// Serve returns an exchange's response to a bundle, or nil if the bundle is rejected.
func Serve(e *Exchange, bundle *peerpb.Bundle) *peerpb.Bundle {
	resp, err := service{e}.Exchange(context.Background(), connect.NewRequest(&peerpb.ExchangeRequest{Bundle: bundle}))
	if err != nil {
		return nil
	}
	return resp.Msg.Bundle
}

// PulseIDs returns the ids that identify the heartbeats of incarnations on the wire.
func PulseIDs(incarnations ...string) []uint32 {
	ids := make([]uint32, len(incarnations))
	for i, incarnation := range incarnations {
		ids[i] = pulseID(incarnation)
	}
	return ids
}
