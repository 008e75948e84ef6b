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
	// freshFor is how long a delta is pushed to peers; later they fetch it.
	freshFor = 2 * time.Second
	// snapshotFrom is the size in bytes from which deltas are weighed against a snapshot, which takes time to encode.
	snapshotFrom = 64 << 10
	// fetchTimeout bounds one fetch from a peer.
	fetchTimeout = 2 * time.Second
)

// Name implements peer.Topic.
func (f *Follower) Name() string { return topicName }

// Since implements peer.Topic. It carries the deltas learnt just now; a peer that lacks others sees the hole, or
// the higher revision that each message carries, and fetches them.
func (f *Follower) Since(since uint64, to peer.Member, limit int) ([]byte, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	newest := f.replica.state.Revision()
	has := max(api.Revision(since), to.Revision)
	deltas := f.replica.deltas
	fresh := len(deltas)
	for fresh > 0 && deltas[fresh-1].revision > has && time.Since(deltas[fresh-1].learnt) < freshFor {
		fresh--
	}
	var payload []json.RawMessage
	size := 0
	for _, delta := range deltas[fresh:] {
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

// Merge implements peer.Topic.
func (f *Follower) Merge(from peer.Member, payload []byte) (news bool, err error) {
	var encoded []json.RawMessage
	if err := json.Unmarshal(payload, &encoded); err != nil {
		return false, Error.Wrap(&fleet.ErrCorrupt{What: "deltas of a peer", Cause: err})
	}
	raw := make([][]byte, len(encoded))
	for i, data := range encoded {
		raw[i] = data
	}
	applied, err := f.takeEncoded(raw)
	if fleet.IsErrOutOfOrder(err) {
		f.hint(from)
		err = nil
	}
	return applied > 0, err
}

func (f *Follower) takeEncoded(encoded [][]byte) (int, error) {
	deltas := make([]fleet.Delta, 0, len(encoded))
	for _, data := range encoded {
		delta, err := fleet.DecodeDelta(data)
		if err != nil {
			return 0, Error.Wrap(err)
		}
		deltas = append(deltas, delta)
	}
	return f.take(deltas)
}

// Revision implements peer.ConfigSource.
func (f *Follower) Revision() api.Revision { return f.State().Revision() }

// Heard implements peer.ConfigSource.
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

// After implements peer.ConfigSource. A node that is far behind, such as one of a region that was cut off, gets a snapshot if that
// is smaller than the deltas: of many changes to a few entities the last ones matter.
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
	if size >= snapshotFrom && len(f.encodedState()) < size {
		return f.encodedState(), nil
	}
	return nil, deltas
}

// encodedState returns the state's snapshot, made once a revision; the caller holds the lock.
func (f *Follower) encodedState() []byte {
	if f.snapshotOf != f.replica.state {
		f.snapshot = f.replica.state.Encode()
		f.snapshotOf = f.replica.state
	}
	return f.snapshot
}

// runFetches fetches what peers have and this node lacks.
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

// fetchFrom fetches until this node has what the peer was known to have, or the peer brings nothing new.
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
		f.tellPeers()
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
	_, err = f.takeEncoded(deltas)
	return err
}
