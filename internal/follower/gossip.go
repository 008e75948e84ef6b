package follower

import (
	"context"
	"encoding/json"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/peer"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// topicName names the follower's topic in the peer exchange.
	topicName = "config"
	// pushWindow is how long after its application a delta is pushed to peers; afterwards they must fetch it.
	pushWindow = 2 * time.Second
	// minSnapshotBytes is the size of deltas from which the size of a snapshot is compared; encoding a snapshot is costly.
	minSnapshotBytes = 64 << 10
	// fetchTimeout bounds one fetch from a peer.
	fetchTimeout = 2 * time.Second
)

// Name implements peer.Topic.
func (f *Follower) Name() string { return topicName }

// Since implements peer.Topic. It returns only the deltas applied within pushWindow. A peer that lacks earlier ones
// detects the gap, or the higher revision in the header of each message, and fetches them.
func (f *Follower) Since(since uint64, to peer.Member, limit int) ([]byte, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	newest := f.replica.state.Revision()
	known := max(api.Revision(since), to.Revision)
	deltas := f.replica.deltas
	firstFresh := len(deltas)
	for firstFresh > 0 && deltas[firstFresh-1].revision > known && time.Since(deltas[firstFresh-1].appliedAt) < pushWindow {
		firstFresh--
	}
	var payload []json.RawMessage
	size := 0
	for _, delta := range deltas[firstFresh:] {
		size += len(delta.data)
		if size > limit {
			break
		}
		payload = append(payload, delta.data)
	}
	if len(payload) == 0 {
		return nil, uint64(newest)
	}
	data, err := json.Marshal(payload)
	if err != nil {
		return nil, since
	}
	return data, uint64(newest)
}

// Merge implements peer.Topic. It fetches from the sender if deltas before the payload's are missing.
func (f *Follower) Merge(from peer.Member, payload []byte) (changed bool, err error) {
	var encoded []json.RawMessage
	if err := json.Unmarshal(payload, &encoded); err != nil {
		return false, Error.Wrap(&fleet.ErrCorrupt{What: "deltas of a peer", Cause: err})
	}
	raw := make([][]byte, len(encoded))
	for i, data := range encoded {
		raw[i] = data
	}
	applied, err := f.applyEncoded(raw)
	if fleet.IsErrOutOfOrder(err) {
		f.hint(from)
		err = nil
	}
	return applied > 0, err
}

func (f *Follower) applyEncoded(encoded [][]byte) (int, error) {
	deltas := make([]fleet.Delta, 0, len(encoded))
	for _, data := range encoded {
		delta, err := fleet.DecodeDelta(data)
		if err != nil {
			return 0, Error.Wrap(err)
		}
		deltas = append(deltas, delta)
	}
	return f.applyAndPublish(deltas)
}

// Revision implements peer.ConfigSource.
func (f *Follower) Revision() api.Revision { return f.State().Revision() }

// ObservePeer implements peer.ConfigSource: it schedules a fetch if the peer holds a newer revision.
func (f *Follower) ObservePeer(from peer.Member) {
	if from.Revision > f.Revision() {
		f.hint(from)
	}
}

func (f *Follower) hint(from peer.Member) {
	if from.PeerAddress == "" {
		return
	}
	select {
	case f.hints <- from:
	default:
	}
}

// After implements peer.ConfigSource. A node that is far behind, such as one of a region that was partitioned, gets a snapshot
// if that is smaller than the deltas: of many changes to a few entities only the last ones matter.
func (f *Follower) After(revision api.Revision, limit int) (snapshot []byte, deltas [][]byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	found, ok := f.replica.after(revision, limit)
	if !ok {
		return f.encodedState(), nil
	}
	size := 0
	for _, delta := range found {
		deltas = append(deltas, delta.data)
		size += len(delta.data)
	}
	if size >= minSnapshotBytes && len(f.encodedState()) < size {
		return f.encodedState(), nil
	}
	return nil, deltas
}

// encodedState returns the state's snapshot, which is encoded once per revision; the caller holds the lock.
func (f *Follower) encodedState() []byte {
	if f.snapshotOf != f.replica.state {
		f.snapshot = f.replica.state.Encode()
		f.snapshotOf = f.replica.state
	}
	return f.snapshot
}

// runFetches fetches newer revisions from the peers named by hints, until ctx ends.
func (f *Follower) runFetches(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case from := <-f.hints:
			f.fetchFrom(ctx, from)
		}
	}
}

// fetchFrom fetches until this node has reached the peer's revision, or a fetch fails or yields nothing new.
func (f *Follower) fetchFrom(ctx context.Context, from peer.Member) {
	for {
		before := f.Revision()
		if err := f.fetchOnce(ctx, from); err != nil {
			f.log.WithError(err).WithField("peer", from.PeerAddress).Warn("configuration not fetched")
			return
		}
		after := f.Revision()
		if after == before {
			return
		}
		f.notifyPeers()
		if after >= from.Revision {
			return
		}
	}
}

func (f *Follower) fetchOnce(ctx context.Context, from peer.Member) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	snapshot, deltas, err := f.peers.FetchConfig(ctx, from, f.Revision())
	if err != nil {
		return err
	}
	if len(snapshot) > 0 {
		state, err := fleet.DecodeState(snapshot)
		if err != nil {
			return Error.Wrap(err)
		}
		f.Adopt(state)
	}
	_, err = f.applyEncoded(deltas)
	return err
}
