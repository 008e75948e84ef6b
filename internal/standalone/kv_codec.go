package standalone

import (
	"fmt"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/kv"

	"github.com/monsoonrail/monsoonrail/internal/standalone/kvwire"
)

// ErrMissingResponse means that an answer lacks the response to an operation of the branch that ran.
type ErrMissingResponse struct {
	// Op is the index of the operation in its branch.
	Op int
}

// Error implements error.
func (e *ErrMissingResponse) Error() string { return fmt.Sprintf("no response to operation %d", e.Op) }

// checkSize returns kv.ErrTooLarge if a value is over the service's limit, so that it is not sent at all.
func checkSize(txn kv.Txn) error {
	for _, ops := range [][]kv.Op{txn.Then, txn.Else} {
		for _, op := range ops {
			if len(op.Value) > kv.MaxValueBytes {
				return kv.Error.Wrap(&kv.ErrTooLarge{Bytes: len(op.Value)})
			}
		}
	}
	return nil
}

func wireTxn(txn kv.Txn) kvwire.TxnRequest {
	req := kvwire.TxnRequest{Success: wireOps(txn.Then), Failure: wireOps(txn.Else)}
	for _, c := range txn.If {
		req.Compare = append(req.Compare, kvwire.Compare{
			Result:      kvwire.ResultEqual,
			Target:      kvwire.TargetMod,
			Key:         []byte(c.Key),
			ModRevision: kvwire.Int64(c.Version),
		})
	}
	return req
}

func wireOps(ops []kv.Op) []kvwire.RequestOp {
	requests := make([]kvwire.RequestOp, 0, len(ops))
	for _, op := range ops {
		requests = append(requests, wireOp(op))
	}
	return requests
}

func wireOp(op kv.Op) kvwire.RequestOp {
	key := []byte(op.Key)
	switch op.Kind {
	case kv.OpPut:
		return kvwire.RequestOp{Put: &kvwire.PutRequest{Key: key, Value: op.Value, Lease: kvwire.Int64(op.Lease)}}
	case kv.OpDelete:
		return kvwire.RequestOp{Delete: &kvwire.DeleteRequest{Key: key}}
	default:
		return kvwire.RequestOp{Range: &kvwire.RangeRequest{Key: key}}
	}
}

// readTxnResult decodes the result of a transaction; ErrMissingResponse if one of its gets was not answered.
func readTxnResult(txn kv.Txn, resp kvwire.TxnResponse) (kv.TxnResult, error) {
	result := kv.TxnResult{Succeeded: resp.Succeeded, Revision: kv.Version(resp.Header.Revision)}
	ops := txn.Then
	if !resp.Succeeded {
		ops = txn.Else
	}
	for i, op := range ops {
		if op.Kind != kv.OpGet {
			continue
		}
		if i >= len(resp.Responses) || resp.Responses[i].Range == nil {
			return kv.TxnResult{}, &ErrMissingResponse{Op: i}
		}
		pair := kv.Pair{Key: op.Key}
		if found := resp.Responses[i].Range.KVs; len(found) > 0 {
			pair = readPair(found[0])
		}
		result.Pairs = append(result.Pairs, pair)
	}
	return result, nil
}

func readPair(found kvwire.KeyValue) kv.Pair {
	return kv.Pair{
		Key:     string(found.Key),
		Value:   found.Value,
		Version: kv.Version(found.ModRevision),
		Lease:   kv.LeaseID(found.Lease),
	}
}

func readLease(resp kvwire.LeaseResponse) kv.Lease {
	return kv.Lease{ID: kv.LeaseID(resp.ID), TTL: time.Duration(resp.TTL) * time.Second}
}

// readBatch decodes the events of one message of a watch.
func readBatch(result kvwire.WatchResult) kv.WatchBatch {
	batch := kv.WatchBatch{Revision: kv.Version(result.Header.Revision)}
	for _, event := range result.Events {
		batch.Events = append(batch.Events, kv.Event{
			Deleted: event.Type == kvwire.EventDelete,
			Pair:    readPair(event.KV),
		})
	}
	return batch
}
