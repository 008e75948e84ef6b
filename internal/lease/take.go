package lease

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// holderPrefix and fencingPrefix are the prefixes of a duty's keys: its holder, which is deleted with the lease, and the highest fencing
// number, which is kept.
const (
	holderPrefix  = "lease/holder/"
	fencingPrefix = "lease/fencing/"
)

// Holder is the value of HolderKey.
type Holder struct {
	Node        api.NodeID
	Incarnation api.Incarnation
	Fencing     Fencing
	// Nonce identifies the write, so that the writer can find out whether a write with a lost response took effect.
	Nonce string
}

// HolderKey returns the key of the entry with a duty's holder.
func HolderKey(service api.Service, duty string) string {
	return holderPrefix + string(service) + "/" + duty
}

func fencingKey(service api.Service, duty string) string {
	return fencingPrefix + string(service) + "/" + duty
}

// acquire acquires the lease if it is free; otherwise it does nothing and returns nil.
func (l *Lease) acquire(ctx context.Context) error {
	holderKey := HolderKey(l.opts.Service, l.opts.Duty)
	holder, err := l.opts.Store.Get(ctx, holderKey)
	if err != nil || holder.Version != 0 {
		return Error.Wrap(err)
	}
	highest, err := l.opts.Store.Get(ctx, fencingKey(l.opts.Service, l.opts.Duty))
	if err != nil {
		return Error.Wrap(err)
	}
	sent := time.Now()
	granted, err := l.opts.Store.Grant(ctx, l.opts.TTL)
	if err != nil {
		return Error.Wrap(err)
	}
	next := Holder{
		Node:        l.opts.Node,
		Incarnation: l.opts.Incarnation,
		Fencing:     nextFencing(highest.Value, sent),
		Nonce:       newNonce(),
	}
	version, err := l.commit(ctx, next, highest, granted.ID)
	if err != nil || version == 0 {
		// The lease must not outlive a write with an unknown outcome.
		_ = l.opts.Store.Revoke(ctx, granted.ID)
		return Error.Wrap(err)
	}
	l.set(heldLease{
		id:      granted.ID,
		fencing: next.Fencing,
		guard:   kv.Compare{Key: holderKey, Version: version},
		since:   time.Now(),
		expires: expiry(sent, granted.TTL),
	})
	return nil
}

// commit writes the holder and the fencing number. It returns the version of the holder key, or 0 if another node was first.
func (l *Lease) commit(ctx context.Context, next Holder, highest kv.Pair, id kv.LeaseID) (kv.Version, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return 0, err
	}
	holderKey := HolderKey(l.opts.Service, l.opts.Duty)
	result, err := l.opts.Store.Commit(ctx, kv.Txn{
		If: []kv.Compare{{Key: holderKey}, {Key: highest.Key, Version: highest.Version}},
		Then: []kv.Op{
			{Kind: kv.OpPut, Key: holderKey, Value: value, Lease: id},
			{Kind: kv.OpPut, Key: highest.Key, Value: strconv.AppendInt(nil, int64(next.Fencing), 10)},
		},
	})
	switch {
	case kv.IsErrUnknownOutcome(err):
		return l.readBack(ctx, next.Nonce)
	case err != nil || !result.Succeeded:
		return 0, err
	}
	return result.Revision, nil
}

// readBack returns the version of the holder key if the write with the nonce took effect, otherwise 0.
func (l *Lease) readBack(ctx context.Context, nonce string) (kv.Version, error) {
	pair, err := l.opts.Store.Get(ctx, HolderKey(l.opts.Service, l.opts.Duty))
	if err != nil {
		return 0, err
	}
	var found Holder
	if pair.Version == 0 || json.Unmarshal(pair.Value, &found) != nil || found.Nonce != nonce {
		return 0, nil
	}
	return pair.Version, nil
}

// nextFencing returns a number that is higher than the highest one in the store. It is at least the Unix time in milliseconds, so that it is
// also higher than numbers that the service lost in a restore.
func nextFencing(highest []byte, now time.Time) Fencing {
	last, err := strconv.ParseInt(string(highest), 10, 64)
	if err != nil {
		last = 0
	}
	return Fencing(max(last+1, now.UnixMilli()))
}
