package kvfake

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/standalone/kvwire"
)

// requestError is the error of an invalid request, which fails on every retry.
type requestError string

// Error implements error.
func (e requestError) Error() string { return string(e) }

const (
	errTooManyOps   requestError = kvwire.MessageTooManyOps
	errDuplicateKey requestError = kvwire.MessageDuplicateKey
	errUnsupported  requestError = "kvfake: not supported"
)

// ServeHTTP serves the calls of the etcd gateway.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case kvwire.PathRange:
		serve(s, w, r, CallRead, s.serveRange)
	case kvwire.PathTxn:
		serve(s, w, r, CallWrite, s.serveTxn)
	case kvwire.PathGrant:
		serve(s, w, r, CallLease, s.serveGrant)
	case kvwire.PathKeepAlive:
		serve(s, w, r, CallLease, s.serveKeepAlive)
	case kvwire.PathRevoke:
		serve(s, w, r, CallLease, s.serveRevoke)
	case kvwire.PathWatch:
		s.serveWatch(w, r)
	default:
		http.NotFound(w, r)
	}
}

// serve decodes a request, applies it and encodes the response.
func serve[Req, Resp any](s *Service, w http.ResponseWriter, r *http.Request, kind CallKind, apply func(Req) (Resp, error)) {
	var req Req
	if !decode(w, r, &req) {
		return
	}
	var resp Resp
	err := s.call(r.Context(), kind, func() (err error) {
		resp, err = apply(req)
		return err
	})
	if err != nil {
		respondError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(resp)
}

func decode(w http.ResponseWriter, r *http.Request, req any) bool {
	if err := json.NewDecoder(r.Body).Decode(req); err != nil {
		respondError(w, requestError(err.Error()))
		return false
	}
	return true
}

// respondError writes an error response, or breaks the connection if the fault is to lose the response.
func respondError(w http.ResponseWriter, err error) {
	var tooLarge *kv.ErrTooLarge
	switch {
	case errors.Is(err, errLost):
		panic(http.ErrAbortHandler)
	case errors.Is(err, errRefused):
		writeErrorResponse(w, http.StatusServiceUnavailable, kvwire.CodeUnavailable, kvwire.MessageNoLeader)
	case errors.Is(err, errRateLimited):
		writeErrorResponse(w, http.StatusTooManyRequests, kvwire.CodeResourceExhausted, kvwire.MessageTooManyRequests)
	case kv.IsErrLeaseNotFound(err):
		writeErrorResponse(w, http.StatusNotFound, kvwire.CodeNotFound, kvwire.MessageLeaseNotFound)
	case errors.As(err, &tooLarge):
		writeErrorResponse(w, http.StatusBadRequest, kvwire.CodeInvalidArgument, kvwire.MessageTooLarge)
	default:
		writeErrorResponse(w, http.StatusBadRequest, kvwire.CodeInvalidArgument, err.Error())
	}
}

func writeErrorResponse(w http.ResponseWriter, status, code int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(kvwire.ErrorResponse{Message: message, Code: code})
}

func (s *Service) serveRange(req kvwire.RangeRequest) (kvwire.RangeResponse, error) {
	pairs, more, revision := s.find(string(req.Key), string(req.RangeEnd), int(req.Limit))
	return rangeResponse(pairs, more, revision), nil
}

func rangeResponse(pairs []kv.Pair, more bool, revision kv.Version) kvwire.RangeResponse {
	resp := kvwire.RangeResponse{Header: header(revision), More: more, Count: kvwire.Int64(len(pairs))}
	for _, pair := range pairs {
		resp.KVs = append(resp.KVs, wireKV(pair))
	}
	return resp
}

func (s *Service) serveTxn(req kvwire.TxnRequest) (kvwire.TxnResponse, error) {
	txn, err := readTxn(req)
	if err != nil {
		return kvwire.TxnResponse{}, err
	}
	result, err := s.commit(txn)
	if err != nil {
		return kvwire.TxnResponse{}, err
	}
	ops := txn.Then
	if !result.Succeeded {
		ops = txn.Else
	}
	resp := kvwire.TxnResponse{Header: header(result.Revision), Succeeded: result.Succeeded}
	for _, op := range ops {
		switch op.Kind {
		case kv.OpPut:
			resp.Responses = append(resp.Responses, kvwire.ResponseOp{Put: &kvwire.Empty{}})
		case kv.OpDelete:
			resp.Responses = append(resp.Responses, kvwire.ResponseOp{Delete: &kvwire.Empty{}})
		case kv.OpGet:
			found := rangeResponse(existing(result.Pairs[:1]), false, result.Revision)
			result.Pairs = result.Pairs[1:]
			resp.Responses = append(resp.Responses, kvwire.ResponseOp{Range: &found})
		}
	}
	return resp, nil
}

// existing returns no pairs if the key of the first one is missing.
func existing(pairs []kv.Pair) []kv.Pair {
	if pairs[0].Version == 0 {
		return nil
	}
	return pairs
}

func readTxn(req kvwire.TxnRequest) (kv.Txn, error) {
	var txn kv.Txn
	for _, c := range req.Compare {
		if c.Result != kvwire.ResultEqual || c.Target != kvwire.TargetMod {
			return kv.Txn{}, errUnsupported
		}
		txn.If = append(txn.If, kv.Compare{Key: string(c.Key), Version: kv.Version(c.ModRevision)})
	}
	var err error
	if txn.Then, err = readOps(req.Success); err != nil {
		return kv.Txn{}, err
	}
	txn.Else, err = readOps(req.Failure)
	return txn, err
}

func readOps(requests []kvwire.RequestOp) ([]kv.Op, error) {
	var ops []kv.Op
	for _, req := range requests {
		switch {
		case req.Put != nil:
			ops = append(ops, kv.Op{Kind: kv.OpPut, Key: string(req.Put.Key), Value: req.Put.Value, Lease: kv.LeaseID(req.Put.Lease)})
		case req.Delete != nil:
			ops = append(ops, kv.Op{Kind: kv.OpDelete, Key: string(req.Delete.Key)})
		case req.Range != nil && len(req.Range.RangeEnd) == 0:
			ops = append(ops, kv.Op{Kind: kv.OpGet, Key: string(req.Range.Key)})
		default:
			return nil, errUnsupported
		}
	}
	return ops, nil
}

func (s *Service) serveGrant(req kvwire.GrantRequest) (kvwire.LeaseResponse, error) {
	granted := s.grant(time.Duration(req.TTL) * time.Second)
	return leaseResponse(granted), nil
}

func (s *Service) serveKeepAlive(req kvwire.LeaseRequest) (kvwire.KeepAliveResponse, error) {
	kept, err := s.keepAlive(kv.LeaseID(req.ID))
	if err != nil {
		// As in etcd, a TTL of 0 means that the lease doesn't exist.
		return kvwire.KeepAliveResponse{Result: kvwire.LeaseResponse{ID: req.ID}}, nil
	}
	return kvwire.KeepAliveResponse{Result: leaseResponse(kept)}, nil
}

func (s *Service) serveRevoke(req kvwire.LeaseRequest) (kvwire.LeaseResponse, error) {
	return kvwire.LeaseResponse{}, s.revoke(kv.LeaseID(req.ID))
}

// serveWatch streams the changes of a range, one message for each batch.
func (s *Service) serveWatch(w http.ResponseWriter, r *http.Request) {
	var req kvwire.WatchRequest
	if !decode(w, r, &req) {
		return
	}
	if err := s.call(r.Context(), CallWatch, func() error { return nil }); err != nil {
		respondError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	flusher := http.NewResponseController(w)
	send := func(result kvwire.WatchResult) error {
		if err := json.NewEncoder(w).Encode(kvwire.WatchResponse{Result: &result}); err != nil {
			return err
		}
		return flusher.Flush()
	}
	if send(kvwire.WatchResult{Header: header(s.Revision()), Created: true}) != nil {
		return
	}
	match := inRange(string(req.Create.Key), string(req.Create.RangeEnd))
	err := s.watch(r.Context(), match, kv.Version(req.Create.StartRevision), func(batch kv.WatchBatch) error {
		return send(watchResult(batch))
	})
	var compacted *kv.ErrCompacted
	if errors.As(err, &compacted) {
		_ = send(kvwire.WatchResult{Canceled: true, CompactRevision: kvwire.Int64(compacted.Oldest)})
		return
	}
	panic(http.ErrAbortHandler)
}

func watchResult(batch kv.WatchBatch) kvwire.WatchResult {
	result := kvwire.WatchResult{Header: header(batch.Revision)}
	for _, event := range batch.Events {
		sent := kvwire.Event{KV: wireKV(event.Pair)}
		if event.Deleted {
			sent.Type = kvwire.EventDelete
		}
		result.Events = append(result.Events, sent)
	}
	return result
}

func header(revision kv.Version) kvwire.Header {
	return kvwire.Header{Revision: kvwire.Int64(revision)}
}

func leaseResponse(l kv.Lease) kvwire.LeaseResponse {
	return kvwire.LeaseResponse{ID: kvwire.Int64(l.ID), TTL: kvwire.Int64(l.TTL / time.Second)}
}

func wireKV(pair kv.Pair) kvwire.KeyValue {
	return kvwire.KeyValue{
		Key:         []byte(pair.Key),
		Value:       pair.Value,
		ModRevision: kvwire.Int64(pair.Version),
		Lease:       kvwire.Int64(pair.Lease),
	}
}
