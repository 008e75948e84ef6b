package rollout_test

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/acceptance"
	"github.com/monsoonrail/monsoonrail/internal/configlog"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/order"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// faulty stops a controller at one of its calls, before or after the call's effect.
type faulty struct {
	s     *system
	ctx   context.Context
	stop  context.CancelFunc
	crash func(stop context.CancelFunc)
}

// call makes a call between two points at which the controller may crash; a crashed controller makes none.
func (f faulty) call(do func() error) error {
	f.point()
	if f.ctx.Err() != nil {
		return f.ctx.Err()
	}
	err := do()
	f.point()
	if f.ctx.Err() != nil {
		return f.ctx.Err()
	}
	return err
}

// point asks crash whether to stop the controller here.
func (f faulty) point() {
	if f.crash != nil {
		f.crash(f.stop)
	}
}

type faultyStore struct {
	faulty
	kv.Store
}

func (f *faultyStore) Commit(ctx context.Context, txn kv.Txn) (result kv.TxnResult, err error) {
	err = f.call(func() error {
		result, err = f.Store.Commit(ctx, txn)
		return err
	})
	return result, err
}

type faultyOrders struct {
	faulty
	*order.Sender
}

func (f *faultyOrders) Send(ctx context.Context, target order.Target, o order.Order) error {
	return f.call(func() error { return f.Sender.Send(ctx, target, o) })
}

type faultyAcceptor struct{ faulty }

func (f *faultyAcceptor) Accept(ctx context.Context, change fleet.Change) (revision api.Revision, err error) {
	err = f.call(func() error {
		revision, err = f.s.config.Accept(ctx, change)
		return err
	})
	return revision, err
}

// configLog is the configuration of all nodes, as package acceptance has accepted it in the key-value service.
type configLog struct {
	*acceptance.Acceptor
	mu    sync.Mutex
	state *fleet.State
}

func newConfigLog(ctx context.Context, store kv.Store) *configLog {
	c := &configLog{state: fleet.NewState()}
	c.Acceptor = acceptance.New(configlog.New(store, "config/"), c, quiet())
	policy := fleet.Policy{Allowed: []string{"*"}, Services: []string{"*"}, Deadline: time.Minute, KeepAnswers: time.Minute}
	first := &fleet.Config{
		Fleet: "sur", FailureDomains: []fleet.FailureDomain{{Name: "montevideo", Region: "uruguay"}}, Defaults: policy,
		Services: []fleet.Service{{
			Name: service, Kind: fleet.KindEngine, Classes: []api.Class{"review"}, ChecksFencing: true,
			Models: []fleet.Model{{Name: "tutor", Versions: []fleet.Version{
				{Name: "v1", State: fleet.StateServing}, {Name: "v2", State: fleet.StateCandidate},
			}}},
		}},
		Teams: []fleet.Team{{Name: "notaries", KeyHashes: []string{strings.Repeat("0", 64)}, Weight: 1, Service: service}},
	}
	change := fleet.Change{ID: "first", Author: "ana", Reason: "first", Time: time.Now(), Ops: c.State().Ops(first)}
	if _, err := c.Accept(ctx, change); err != nil {
		panic(err)
	}
	return c
}

// ApplyAccepted implements acceptance.Local.
func (c *configLog) ApplyAccepted(delta fleet.Delta) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if next, err := c.state.Apply(delta); err == nil {
		c.state = next
	}
}

// Accept has a change accepted, and then reads the newest configuration, since an earlier change may be accepted although its answer
// was lost.
func (c *configLog) Accept(ctx context.Context, change fleet.Change) (api.Revision, error) {
	revision, err := c.Acceptor.Accept(ctx, change)
	if err != nil {
		return 0, err
	}
	newest, err := c.Acceptor.State(ctx)
	if err != nil {
		return revision, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if newest.Revision() > c.state.Revision() {
		c.state = newest
	}
	return revision, nil
}

// State implements acceptance.Local.
func (c *configLog) State() *fleet.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

func (c *configLog) Current() *fleet.Config { return c.State().Config }

func (c *configLog) stateOf(v api.VersionID) fleet.VersionState {
	return c.Current().StateOf(fleet.Scope{Service: service, Version: v}, time.Now())
}
