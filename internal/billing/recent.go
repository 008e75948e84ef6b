package billing

import "github.com/monsoonrail/monsoonrail/pkg/api"

// maxRecentIDs bounds the request ids that a node keeps in each of two generations.
const maxRecentIDs = 16 << 10

// recentIDs is the set of the request ids that a node billed most recently, for deduplication.
type recentIDs struct{ newer, older map[api.RequestID]struct{} }

func newRecentIDs() recentIDs { return recentIDs{newer: make(map[api.RequestID]struct{})} }

func (r *recentIDs) has(id api.RequestID) bool {
	_, isNewer := r.newer[id]
	_, isOlder := r.older[id]
	return isNewer || isOlder
}

func (r *recentIDs) add(id api.RequestID) {
	if len(r.newer) >= maxRecentIDs {
		r.older = r.newer
		r.newer = make(map[api.RequestID]struct{})
	}
	r.newer[id] = struct{}{}
}
