package rollout

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// keyPrefix precedes the service's name in the key of its roll-out.
const keyPrefix = "rollout/"

// maxCommandAttempts is how often a command is tried if the controller changes the roll-out concurrently.
const maxCommandAttempts = 5

// KeyValue is the part of the key-value service that Store uses.
type KeyValue interface {
	Get(ctx context.Context, key string) (kv.Pair, error)
	List(ctx context.Context, opts kv.ListOptions) (kv.ListResult, error)
	Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error)
}

// Record is a stored roll-out.
type Record struct {
	RollOut RollOut
	// Version is the version of the key; the next write is conditional on it.
	Version kv.Version
}

// Store stores the newest roll-out of each service in the key-value service.
type Store struct{ kv KeyValue }

// NewStore returns a store.
func NewStore(service KeyValue) *Store { return &Store{kv: service} }

// Find returns the newest roll-out of a service. The error is IsErrRollOutNotExist, IsErrBadRecord or that of package kv.
func (s *Store) Find(ctx context.Context, service api.Service) (Record, error) {
	pair, err := s.kv.Get(ctx, keyPrefix+string(service))
	if err != nil {
		return Record{}, Error.Wrap(err)
	}
	if pair.Version == 0 {
		return Record{}, Error.Wrap(&ErrRollOutNotExist{Service: service})
	}
	return decode(pair)
}

// List returns the newest roll-out of every service, ordered by service. It skips records that can't be decoded.
func (s *Store) List(ctx context.Context) ([]RollOut, error) {
	result, err := s.kv.List(ctx, kv.ListOptions{Prefix: keyPrefix})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var found []RollOut
	for _, pair := range result.Pairs {
		if record, err := decode(pair); err == nil {
			found = append(found, record.RollOut)
		}
	}
	return found, nil
}

func decode(pair kv.Pair) (Record, error) {
	record := Record{Version: pair.Version}
	if err := json.Unmarshal(pair.Value, &record.RollOut); err != nil {
		return Record{}, Error.Wrap(&ErrBadRecord{Cause: err})
	}
	if err := record.RollOut.Plan.Check(); err != nil {
		return Record{}, Error.Wrap(&ErrBadRecord{Cause: err})
	}
	return record, nil
}

// Begin stores a new roll-out if the service's last one has ended. It may be repeated with the same plan. The error is
// IsErrRollOutUnderWay, IsErrConflict, IsErrBadRecord or that of package kv.
func (s *Store) Begin(ctx context.Context, r RollOut) (Record, error) {
	last, err := s.Find(ctx, r.Plan.Service)
	if err != nil && !IsErrRollOutNotExist(err) {
		return Record{}, err
	}
	if err == nil && last.RollOut.Plan.ID == r.Plan.ID {
		// An earlier attempt succeeded, although its answer was lost.
		return last, nil
	}
	if err == nil && !last.RollOut.Phase.IsFinal() {
		plan := last.RollOut.Plan
		return Record{}, Error.Wrap(&ErrRollOutUnderWay{Service: plan.Service, ID: plan.ID, Author: plan.Author})
	}
	return s.Write(ctx, last, r)
}

// Write replaces the record last with next, on condition that last is unchanged and that each guard holds. If the answer is lost, it
// reads the record back. The error is IsErrConflict if another writer was first, else that of package kv; the caller may retry with
// the record that Find returns.
func (s *Store) Write(ctx context.Context, last Record, next RollOut, guards ...kv.Compare) (Record, error) {
	next.Writer = uuid.NewString()
	value, err := json.Marshal(next)
	if err != nil {
		return Record{}, Error.Wrap(err)
	}
	key := keyPrefix + string(next.Plan.Service)
	result, err := s.kv.Commit(ctx, kv.Txn{
		If:   append([]kv.Compare{{Key: key, Version: last.Version}}, guards...),
		Then: []kv.Op{{Kind: kv.OpPut, Key: key, Value: value}},
		Else: []kv.Op{{Kind: kv.OpGet, Key: key}},
	})
	switch {
	case kv.IsErrUnknownOutcome(err):
		return s.readBack(ctx, next, err)
	case err != nil:
		return Record{}, Error.Wrap(err)
	case !result.Succeeded:
		return Record{}, conflictError(next.Plan.ID, result.Pairs[0])
	}
	return Record{RollOut: next, Version: result.Revision}, nil
}

// readBack returns the stored record if a write whose answer was lost has taken effect, else the error lost. The write may still take
// effect later; since the next write is conditional on the same version, only one of them can succeed.
func (s *Store) readBack(ctx context.Context, next RollOut, lost error) (Record, error) {
	found, err := s.Find(ctx, next.Plan.Service)
	if err == nil && found.RollOut.Writer == next.Writer {
		return found, nil
	}
	return Record{}, Error.Wrap(lost)
}

func conflictError(id ID, pair kv.Pair) error {
	found, err := decode(pair)
	if err != nil {
		return err
	}
	return Error.Wrap(&ErrConflict{ID: id, Phase: found.RollOut.Phase, By: found.RollOut.By})
}

// CommandOptions is a command to a service's roll-out, with the operator who gives it and the reason.
type CommandOptions struct {
	Service api.Service
	Command Command
	By      string
	Reason  string
}

// Command applies an operator's command to the stored roll-out and returns the result. If the controller changes the roll-out
// concurrently, the command is retried on the new record. The error is IsErrRollOutNotExist, IsErrBadRecord, IsErrWrongPhase,
// IsErrConflict or that of package kv.
func (s *Store) Command(ctx context.Context, opts CommandOptions) (RollOut, error) {
	var last error
	for range maxCommandAttempts {
		record, err := s.Find(ctx, opts.Service)
		if err != nil {
			return RollOut{}, err
		}
		next, err := record.RollOut.Apply(opts.Command, opts.By, opts.Reason, time.Now())
		if err != nil {
			return record.RollOut, err
		}
		written, err := s.Write(ctx, record, next)
		if !IsErrConflict(err) {
			return written.RollOut, err
		}
		last = err
	}
	return RollOut{}, last
}
