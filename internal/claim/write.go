package claim

import (
	"context"
	"encoding/json"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/kv"
)

const (
	// maxTries bounds the tries of one transaction whose answer was lost.
	maxTries = 3
	// writeTimeout bounds all tries of one transaction.
	writeTimeout = 2500 * time.Millisecond
)

// write commits a batch. If keys in it exist already, the transaction changes nothing and tells which: those are
// answered, and the rest begins the next batch.
func (b *Batcher) write(ctx context.Context, batch []*pending) {
	result, err := b.commit(ctx, batch)
	if err != nil {
		b.opts.Log.WithError(err).WithField("claims", len(batch)).Warn("claims not made")
		// What waits would fail as well, only later.
		b.fail(append(batch, b.drain(cap(b.queue))...), err)
		return
	}
	var rest []*pending
	for i, p := range batch {
		switch {
		case result.Succeeded:
			b.learn(p, p.entry.Record)
		case result.Pairs[i].Version != 0:
			b.learnFrom(p, result.Pairs[i].Value)
		default:
			rest = append(rest, p)
		}
	}
	b.held = append(rest, b.held...)
	b.checkRevision(ctx, result.Revision)
}

// learn remembers the record of a key and answers the entry that asked.
func (b *Batcher) learn(p *pending, record Record) {
	b.recent.add(p.entry.Key, record, time.Now())
	b.answer(p, compare(p.entry, record))
}

// learnFrom does as learn with a value of the service; one that can't be read is nobody's that is known.
func (b *Batcher) learnFrom(p *pending, value []byte) {
	var record Record
	if err := json.Unmarshal(value, &record); err != nil {
		b.answer(p, CommitResult{})
		return
	}
	b.learn(p, record)
}

// checkRevision makes the recent claims again if the service came back in an older state.
func (b *Batcher) checkRevision(ctx context.Context, revision kv.Version) {
	if revision >= b.revision {
		b.revision = revision
		return
	}
	claims := b.recent.all()
	b.opts.Log.WithFields(log.Fields{"was": b.revision, "is": revision, "claims": len(claims)}).
		Error("key-value service came back older: claims that are no longer remembered are lost")
	b.revision = revision
	for key, record := range claims {
		// A record that was read or written before can be encoded.
		p, _ := newPending(ctx, Entry{Key: key, Record: record})
		p.restores = true
		b.held = append(b.held, p)
	}
}

// commit runs a batch's transaction. A lost answer is resolved by running it again: either nothing had taken
// effect, or the keys that now exist tell by their nonces whose they are.
func (b *Batcher) commit(ctx context.Context, batch []*pending) (kv.TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	var last error
	for range maxTries {
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
			b.leases.forget()
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

func (b *Batcher) answer(p *pending, result CommitResult) {
	if result.IsWon {
		b.won.Add(1)
	} else {
		b.existing.Add(1)
	}
	p.done <- answer{result: result}
}

func (b *Batcher) fail(batch []*pending, cause error) {
	b.failed.Add(int64(len(batch)))
	for _, p := range batch {
		p.done <- answer{err: unavailable(cause)}
	}
}
