package gateway

import (
	"slices"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/backend"
	"github.com/monsoonrail/monsoonrail/internal/placement"
	"github.com/monsoonrail/monsoonrail/internal/rendezvous"
)

// onTrial sends requests of a new version to the one of its servers that is to be filled, and the others elsewhere while it isn't full.
func (r *run) onTrial(members []*backend.TrackedServer, now time.Time) []*backend.TrackedServer {
	if !r.choice.UseTarget || r.choice.FillShare == 0 {
		return members
	}
	ranked := rendezvous.Rank(string(r.choice.Target), members, func(m *backend.TrackedServer) string { return string(m.ID) })
	var sound, avoided []*backend.TrackedServer
	for _, m := range ranked {
		if m.View(now).IsAvoided {
			avoided = append(avoided, m)
		} else {
			sound = append(sound, m)
		}
	}
	ranked = append(sound, avoided...)
	slots := make([]int, len(ranked))
	for i, m := range ranked {
		slots[i] = m.Slots
	}
	filled := placement.FillTarget(slots, r.choice.FillShare, r.g.opts.NodeCount(), string(r.g.opts.Node))
	candidate := r.candidate(ranked[filled], now)
	isQuick := r.PromptTokens <= maxReadShare*r.expectedTokens() || candidate.View.PendingPromptTokens == 0 && candidate.View.Load.Waiting < maxFillWaiting
	if isQuick && placement.HasFillRoom(candidate, r.choice.FillShare, r.g.opts.NodeCount()) {
		r.isFilling = true
		return ranked[filled : filled+1]
	}
	if len(ranked) > 1 {
		return slices.Delete(ranked, filled, filled+1)
	}
	return ranked
}

const (
	// maxReadShare is how many prompt tokens a generated one may come with in requests that fill a server: what is read isn't
	// running yet, and delays what runs.
	maxReadShare = 8
	// maxFillWaiting is how many requests may wait for their prompts to be read before longer prompts are sent elsewhere.
	maxFillWaiting = 4
)
