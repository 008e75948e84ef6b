package follower

import (
	"time"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// maxDeltas and maxBytes bound the deltas that a node keeps for its peers.
	maxDeltas = 2000
	maxBytes  = 2 << 20
)

// kept is a delta as it is handed on.
type kept struct {
	revision api.Revision
	id       fleet.ChangeID
	data     []byte
	// learnt is when this node applied it.
	learnt time.Time
}

// replica is a state with the newest deltas that led to it. It does no locking.
type replica struct {
	state *fleet.State
	// deltas has no holes and ends with the state's revision; empty after a snapshot.
	deltas []kept
	bytes  int
}

// apply applies the deltas that come next and skips those that the state holds; a hole ends it with fleet.ErrNotNext,
// a delta of another history with fleet.ErrForked.
func (r *replica) apply(deltas []fleet.Delta, now time.Time) (applied int, err error) {
	for _, delta := range deltas {
		if delta.Revision <= r.state.Revision() {
			if err := r.compare(delta.Revision, delta.ID); err != nil {
				return applied, err
			}
			continue
		}
		next, err := r.state.Apply(delta)
		if err != nil {
			return applied, err
		}
		r.state = next
		r.keep(delta, now)
		applied++
	}
	return applied, nil
}

// compare returns fleet.ErrForked if a revision is another change here.
func (r *replica) compare(revision api.Revision, id fleet.ChangeID) error {
	have, ok := r.changeAt(revision)
	if ok && have != id {
		return fleet.Error.Wrap(&fleet.ErrForked{Revision: revision, Have: have, Got: id})
	}
	return nil
}

// changeAt returns the change that made a revision, if it is still known.
func (r *replica) changeAt(revision api.Revision) (fleet.ChangeID, bool) {
	if revision == r.state.Revision() {
		return r.state.ChangeID, true
	}
	if i, ok := r.indexOf(revision); ok {
		return r.deltas[i].id, true
	}
	return "", false
}

func (r *replica) indexOf(revision api.Revision) (int, bool) {
	if len(r.deltas) == 0 {
		return 0, false
	}
	i := int(revision - r.deltas[0].revision)
	return i, i >= 0 && i < len(r.deltas)
}

func (r *replica) keep(delta fleet.Delta, now time.Time) {
	data := delta.Encode()
	r.deltas = append(r.deltas, kept{revision: delta.Revision, id: delta.ID, data: data, learnt: now})
	r.bytes += len(data)
	for len(r.deltas) > 1 && (len(r.deltas) > maxDeltas || r.bytes > maxBytes) {
		r.bytes -= len(r.deltas[0].data)
		r.deltas = r.deltas[1:]
	}
}

// adopt replaces the state by a newer one and reports whether it is newer.
func (r *replica) adopt(state *fleet.State) bool {
	if state.Revision() <= r.state.Revision() {
		return false
	}
	*r = replica{state: state}
	return true
}

// after returns the deltas after a revision in at most limit bytes, or false if they are no longer kept.
func (r *replica) after(revision api.Revision, limit int) ([]kept, bool) {
	if revision >= r.state.Revision() {
		return nil, true
	}
	i, ok := r.indexOf(revision + 1)
	if !ok {
		return nil, false
	}
	end := i
	for size := 0; end < len(r.deltas); end++ {
		size += len(r.deltas[end].data)
		if size > limit && end > i {
			break
		}
	}
	return r.deltas[i:end], true
}
