package follower

import (
	"time"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// maxDeltas and maxBytes bound the deltas that a node retains for its peers.
	maxDeltas = 2000
	maxBytes  = 2 << 20
)

// retainedDelta is a delta that is retained in its encoded form for peers.
type retainedDelta struct {
	revision api.Revision
	id       fleet.ChangeID
	data     []byte
	// appliedAt is when this node applied the delta.
	appliedAt time.Time
}

// replica is a state with the newest deltas that led to it. It is not safe for concurrent use.
type replica struct {
	state *fleet.State
	// deltas has no gaps and ends with the state's revision; it is empty after a snapshot was adopted.
	deltas []retainedDelta
	bytes  int
}

// apply applies deltas in order, skips those that the state includes already, and returns the number applied. It returns
// fleet.ErrOutOfOrder at a gap, and fleet.ErrForked at a delta of another history.
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
		r.retain(delta, now)
		applied++
	}
	return applied, nil
}

// compare returns fleet.ErrForked if the replica has a different change under a revision.
func (r *replica) compare(revision api.Revision, id fleet.ChangeID) error {
	have, ok := r.changeAt(revision)
	if ok && have != id {
		return fleet.Error.Wrap(&fleet.ErrForked{Revision: revision, Have: have, Got: id})
	}
	return nil
}

// changeAt returns the change that made a revision; false if its delta is no longer retained.
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

func (r *replica) retain(delta fleet.Delta, now time.Time) {
	data := delta.Encode()
	r.deltas = append(r.deltas, retainedDelta{revision: delta.Revision, id: delta.ID, data: data, appliedAt: now})
	r.bytes += len(data)
	for len(r.deltas) > 1 && (len(r.deltas) > maxDeltas || r.bytes > maxBytes) {
		r.bytes -= len(r.deltas[0].data)
		r.deltas = r.deltas[1:]
	}
}

// adopt replaces the state if the given one is newer, and reports whether it did.
func (r *replica) adopt(state *fleet.State) bool {
	if state.Revision() <= r.state.Revision() {
		return false
	}
	*r = replica{state: state}
	return true
}

// after returns the deltas after a revision in at most limit bytes, but at least one; false if they are no longer retained.
func (r *replica) after(revision api.Revision, limit int) ([]retainedDelta, bool) {
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
