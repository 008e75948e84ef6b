package claim

import (
	"context"
	"encoding/json"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/kv"
)

const (
	// maxWriteAttempts bounds the attempts of one transaction whose response was lost.
	maxWriteAttempts = 3
	// writeTimeout bounds all attempts of one transaction together.
	writeTimeout = 2500 * time.Millisecond
)

// write commits a batch. If some of its keys exist already, the transaction changes nothing and returns their values:
// the entries of those keys are answered, and the other entries begin the next batch.
func (b *Batcher) write(ctx context.Context, batch []*pending) {
	result, err := b.commit(ctx, batch)
	if err != nil {
		b.opts.Log.WithError(err).WithField("claims", len(batch)).Warn("claims not made")
		// The queued claims would fail as well, only later.
		b.fail(append(batch, b.drain(cap(b.queue))...), err)
		return
	}
	var rest []*pending
	for i, p := range batch {
		switch {
		case result.Succeeded:
			b.cacheAndResolve(p, p.entry.Record)
		case result.Pairs[i].Version != 0:
			b.cacheAndResolveValue(p, result.Pairs[i].Value)
		default:
			rest = append(rest, p)
		}
	}
	b.carryover = append(rest, b.carryover...)
	b.checkRevision(ctx, result.Revision)
}

// cacheAndResolve caches the record of a key and answers the entry.
func (b *Batcher) cacheAndResolve(p *pending, record Record) {
	b.cache.add(p.entry.Key, record, time.Now())
	b.resolve(p, resultOf(p.entry, record))
}

// cacheAndResolveValue decodes a stored value and calls cacheAndResolve. A value that can't be decoded is answered as
// claimed by an unknown owner.
func (b *Batcher) cacheAndResolveValue(p *pending, value []byte) {
	var record Record
	if err := json.Unmarshal(value, &record); err != nil {
		b.resolve(p, CommitResult{})
		return
	}
	b.cacheAndResolve(p, record)
}

// checkRevision writes the cached claims again if the key-value service was rolled back to an older state.
func (b *Batcher) checkRevision(ctx context.Context, revision kv.Version) {
	if revision >= b.revision {
		b.revision = revision
		return
	}
	claims := b.cache.all()
	b.opts.Log.WithFields(log.Fields{"was": b.revision, "is": revision, "claims": len(claims)}).
		Error("key-value service came back older: claims that are no longer remembered are lost")
	b.revision = revision
	for key, record := range claims {
		// Encoding can't fail because the record was encoded or decoded before.
		p, _ := newPending(ctx, Entry{Key: key, Record: record})
		p.isRestore = true
		b.carryover = append(b.carryover, p)
	}
}

// commit runs the transaction of a batch. A lost response is resolved by running the transaction again: either it had
// not taken effect, or the nonces in the existing keys show whose claims they are.
func (b *Batcher) commit(ctx context.Context, batch []*pending) (kv.TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	var last error
	for range maxWriteAttempts {
		lease, err := b.leases.current(ctx, time.Now())
		if err == nil {
			var result kv.TxnResult
			b.transactions.Add(1)
			result, err = b.opts.Store.Commit(ctx, transaction(batch, lease))
			if err == nil {
				return result, nil
			}
		}
		if kv.IsErrLeaseNotFound(err) {
			b.leases.invalidate()
		} else if !kv.IsErrUnknownOutcome(err) {
			return kv.TxnResult{}, err
		}
		last = err
	}
	return kv.TxnResult{}, last
}

func transaction(batch []*pending, lease kv.LeaseID) kv.Txn {
	var txn kv.Txn
	for _, p := range batch {
		txn.If = append(txn.If, kv.Compare{Key: p.entry.Key})
		txn.Then = append(txn.Then, kv.Op{Kind: kv.OpPut, Key: p.entry.Key, Value: p.value, Lease: lease})
		txn.Else = append(txn.Else, kv.Op{Kind: kv.OpGet, Key: p.entry.Key})
	}
	return txn
}

func (b *Batcher) resolve(p *pending, result CommitResult) {
	if result.IsWon {
		b.won.Add(1)
	} else {
		b.existing.Add(1)
	}
	p.done <- reply{result: result}
}

func (b *Batcher) fail(batch []*pending, cause error) {
	b.failed.Add(int64(len(batch)))
	for _, p := range batch {
		p.done <- reply{err: unavailable(cause)}
	}
}
