package gateway

import (
	"slices"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/backend"
	"github.com/monsoonrail/monsoonrail/internal/placement"
	"github.com/monsoonrail/monsoonrail/internal/rendezvous"
)

const (
	// bytesPerToken is about what a generated token takes on the wire.
	bytesPerToken = 10
	// tokensPerSlot is how many prompt tokens, read in chunks between the others' steps, delay as much as one more request.
	tokensPerSlot = 1500
)

// place chooses a server, or returns nil if there is none.
func (r *run) place() *backend.TrackedServer {
	now := time.Now()
	r.isFilling = false
	r.choice = r.g.opts.Versions.Pick(r.service.Name, r.Session, string(r.ID), now)
	members := r.g.opts.Backends.ForService(r.service.Name)
	fitting := r.fitting(members, true)
	if len(fitting) == 0 && !r.choice.IsStrict {
		fitting = r.fitting(members, false)
	}
	if len(fitting) == 0 {
		return nil
	}
	fitting = r.onTrial(fitting, now)
	key := r.affinity()
	if key == "" {
		key = string(r.ID)
	}
	fitting = rendezvous.Rank(key, fitting, func(m *backend.TrackedServer) string { return string(m.ID) })
	candidates := make([]placement.Candidate, len(fitting))
	parts := r.partKeys()
	for i, m := range fitting {
		candidates[i] = r.candidate(m, now)
		cached := m.CachedPromptParts(parts, now)
		if i == 0 {
			// The first by rank is where every node sends requests that share these parts.
			cached = len(parts)
		}
		for _, part := range r.Parts[:cached] {
			candidates[i].CachedTokens += part.Tokens
		}
	}
	asked := placement.Request{PromptTokens: r.PromptTokens, Bytes: len(r.body) + bytesPerToken*r.expectedTokens()}
	if r.service.Engine != nil {
		asked.TokensPerSlot = tokensPerSlot
	}
	if r.model != "" {
		r.load = placement.Utilization(candidates)
	}
	chosen := fitting[placement.Choose(asked, candidates)]
	chosen.RecordPromptParts(parts, now)
	return chosen
}

// candidate is what placement knows of a server.
func (r *run) candidate(m *backend.TrackedServer, now time.Time) placement.Candidate {
	return placement.Candidate{
		View: m.View(now), Slots: m.Slots, IsSameDomain: m.FailureDomain == r.g.opts.FailureDomain, IsTried: slices.Contains(r.tried, m.ID),
	}
}

// expectedTokens is the caller's guess of the answer's size, or half of its bound.
func (r *run) expectedTokens() int {
	if r.ExpectedAnswerTokens > 0 {
		return min(r.ExpectedAnswerTokens, r.MaxAnswerTokens)
	}
	return r.MaxAnswerTokens / 2
}

// partKeys names the parts of the prompt that other requests may share, and the model that reads them.
func (r *run) partKeys() []string {
	var keys []string
	for _, part := range r.Parts[:max(0, len(r.Parts)-1)] {
		keys = append(keys, string(r.model)+"/"+part.ID)
	}
	return keys
}

// fitting returns the servers that may take the request; ofVersion keeps to the chosen version.
func (r *run) fitting(members []*backend.TrackedServer, ofVersion bool) []*backend.TrackedServer {
	var fitting []*backend.TrackedServer
	for _, m := range members {
		if m.IsOutOfService() {
			continue
		}
		if ofVersion && r.choice.Target != "" && (m.Version == r.choice.Target) != r.choice.UseTarget {
			continue
		}
		fitting = append(fitting, m)
	}
	return fitting
}
