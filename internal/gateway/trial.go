package gateway

import (
	"slices"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/backend"
	"github.com/monsoonrail/monsoonrail/internal/placement"
	"github.com/monsoonrail/monsoonrail/internal/rendezvous"
)

// preferFillTarget narrows the servers of a candidate version: to the server that is being filled with requests, if the request may go
// there, and to all others if not.
func (d *dispatcher) preferFillTarget(servers []*backend.TrackedServer, now time.Time) []*backend.TrackedServer {
	if len(servers) == 0 {
		return nil
	}
	ranked := rendezvous.Rank(string(d.versionChoice.Target), servers, func(m *backend.TrackedServer) string { return string(m.ID) })
	var preferred, avoided []*backend.TrackedServer
	for _, m := range ranked {
		if m.View(now).IsAvoided {
			avoided = append(avoided, m)
		} else {
			preferred = append(preferred, m)
		}
	}
	ranked = append(preferred, avoided...)
	slots := make([]int, len(ranked))
	for i, m := range ranked {
		slots[i] = m.Slots
	}
	target := placement.FillTarget(slots, d.versionChoice.FillShare, d.g.opts.NodeCount(), string(d.g.opts.Node))
	candidate := d.placementCandidate(ranked[target], now)
	startsSoon := d.PromptTokens <= maxPromptPerAnswerToken*d.expectedAnswerTokens() ||
		candidate.View.Unread == 0 && candidate.View.Load.Waiting < maxFillWaiting
	if startsSoon && placement.HasFillRoom(candidate, d.versionChoice.FillShare, d.g.opts.NodeCount()) {
		d.isFillAttempt = true
		return ranked[target : target+1]
	}
	if len(ranked) > 1 {
		return slices.Delete(ranked, target, target+1)
	}
	return ranked
}

// maxFillWaiting is the number of requests waiting at the server from which on longer prompts are sent to other servers.
const maxFillWaiting = 4
