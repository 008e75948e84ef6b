package rollout

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// keyPrefix begins the keys of roll-outs, one a service.
const keyPrefix = "rollout/"

// commandTries is how often a command is tried while the holder moves the roll-out.
const commandTries = 5

// KeyValue is the part of the key-value service that roll-outs need.
type KeyValue interface {
	Get(ctx context.Context, key string) (kv.Pair, error)
	List(ctx context.Context, opts kv.ListOptions) (kv.ListResult, error)
	Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error)
}

// Record is a roll-out as the key-value service holds it.
type Record struct {
	RollOut RollOut
	// Version is that of the key; the next write compares with it.
	Version kv.Version
}

// Store keeps the newest roll-out of each service.
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

// List returns the newest roll-out of every service, ordered by service; records that can't be read are left out.
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

// Begin writes a new roll-out, if the service's last one has ended. The error is IsErrRollOutUnderWay, IsErrConflict
// or that of package kv.
func (s *Store) Begin(ctx context.Context, r RollOut) (Record, error) {
	last, err := s.Find(ctx, r.Plan.Service)
	if err != nil && !IsErrRollOutNotExist(err) {
		return Record{}, err
	}
	if err == nil && last.RollOut.Plan.ID == r.Plan.ID {
		// An earlier try took effect, though its answer was lost.
		return last, nil
	}
	if err == nil && !last.RollOut.Phase.IsFinal() {
		plan := last.RollOut.Plan
		return Record{}, Error.Wrap(&ErrRollOutUnderWay{Service: plan.Service, ID: plan.ID, Author: plan.Author})
	}
	return s.Write(ctx, last, r)
}

// Write replaces a record; each guard must hold too. A lost answer is resolved by reading the record back. The error is
// IsErrConflict if another writer was first, else that of package kv; the write may be tried again from what Find returns.
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
		return Record{}, conflict(next.Plan.ID, result.Pairs[0])
	}
	return Record{RollOut: next, Version: result.Revision}, nil
}

// readBack tells whether a write whose answer was lost took effect. If it did not, it may still be on its way; the next
// write compares with the same version, so that at most one of them does.
func (s *Store) readBack(ctx context.Context, next RollOut, lost error) (Record, error) {
	found, err := s.Find(ctx, next.Plan.Service)
	if err == nil && found.RollOut.Writer == next.Writer {
		return found, nil
	}
	return Record{}, Error.Wrap(lost)
}

func conflict(id ID, pair kv.Pair) error {
	found, err := decode(pair)
	if err != nil {
		return err
	}
	return Error.Wrap(&ErrConflict{ID: id, Phase: found.RollOut.Phase, By: found.RollOut.By})
}

// CommandOptions is a command with who gives it and why.
type CommandOptions struct {
	Service api.Service
	Command Command
	By      string
	Reason  string
}

// Command carries out an operator's command; where the holder moved the roll-out meanwhile, it is tried on what that
// left. The error is IsErrRollOutNotExist, IsErrWrongPhase, IsErrConflict or that of package kv.
func (s *Store) Command(ctx context.Context, opts CommandOptions) (RollOut, error) {
	var last error
	for range commandTries {
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
