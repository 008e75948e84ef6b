package peer

import (
	"context"

	"connectrpc.com/connect"

	"github.com/monsoonrail/monsoonrail/internal/peer/peerpb"
)

// Serve has an exchange answer a bundle; a refused one has no answer.
func Serve(e *Exchange, bundle *peerpb.Bundle) *peerpb.Bundle {
	resp, err := service{e}.Exchange(context.Background(), connect.NewRequest(&peerpb.ExchangeRequest{Bundle: bundle}))
	if err != nil {
		return nil
	}
	return resp.Msg.Bundle
}

// PulseIDs returns the ids under which heartbeats of incarnations travel.
func PulseIDs(incarnations ...string) []uint32 {
	ids := make([]uint32, len(incarnations))
	for i, incarnation := range incarnations {
		ids[i] = pulseID(incarnation)
	}
	return ids
}
