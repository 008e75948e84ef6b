package rollout

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/lease"
	"github.com/monsoonrail/monsoonrail/internal/order"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/internal/suspect"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// stepInterval is the time between two steps while a roll-out is in progress.
	stepInterval = time.Second
	// stepTimeout bounds one step, so that it ends before the lease expires.
	stepTimeout = 8 * time.Second
	// idleInterval is the time between two steps while no roll-out is in progress.
	idleInterval = 5 * time.Second
	// maxCalls bounds the concurrent calls to servers.
	maxCalls = 8
	// maxReads bounds the servers whose state is read in one step.
	maxReads = 64
)

// Lease is the lease of the roll-out duty of a service; *lease.Lease implements it.
type Lease interface {
	Held(now time.Time) (lease.Fencing, time.Duration, bool)
	Guard() kv.Compare
}

// Orders sends orders to engines and reads their state; *order.Sender implements it.
type Orders interface {
	Send(ctx context.Context, to order.Target, o order.Order) error
	State(ctx context.Context, server fleet.Server) (order.State, error)
}

// Configs is the node's copy of the configuration.
type Configs interface {
	State() *fleet.State
}

// Acceptor has configuration changes accepted and returns their revision. For a change whose id was accepted before, it returns the
// revision of that time.
type Acceptor interface {
	Accept(ctx context.Context, change fleet.Change) (api.Revision, error)
}

// Results provides the evidence and the use of grants that the nodes report on a candidate, and sends grants to the nodes.
type Results interface {
	// Findings returns the merged evidence on the plan's candidate, one finding for each class.
	Findings(plan Plan) []suspect.Finding
	// Uses returns the newest use of each node that has reported within the last seconds, and the number of completed requests over
	// all nodes.
	Uses(id ID) (uses []Use, completed uint64)
	// Grant sends grants to the nodes.
	Grant(grants []Grant)
}

// WeightStore returns what determines how fast a version can be loaded.
type WeightStore interface {
	Weights(ctx context.Context, version api.VersionID) (Weights, error)
}

// ControllerOptions configures NewController.
type ControllerOptions struct {
	Service  api.Service
	Store    *Store
	Lease    Lease
	Orders   Orders
	Configs  Configs
	Acceptor Acceptor
	Results  Results
	// Weights may be nil; at most maxLoadsAtUnknownRate servers then load at once.
	Weights WeightStore
	// Servers returns the servers of the service, including leaving ones.
	Servers func() []fleet.Server
	// AwaitsRatings is set if answers of the service are rated.
	AwaitsRatings bool
	// CanCopy is set if the nodes can send copies of answered requests to a candidate.
	CanCopy bool
	Log     log.Interface
}

// Controller advances the roll-out of one service while its node holds the lease. It keeps no state that the next lease holder would
// need: each step reads the record, takes the actions of its phase (which are idempotent) and writes at most one transition by
// compare-and-swap, on condition that its node still holds the lease.
type Controller struct {
	opts ControllerOptions
	// servers holds the last known status of each server, by id.
	servers map[api.ServerID]ServerStatus
	// seq numbers the grants.
	seq uint64
	// nextRead is the index in the list of servers at which the next step begins to read states.
	nextRead int
}

// NewController returns a controller.
func NewController(opts ControllerOptions) *Controller {
	return &Controller{opts: opts, servers: map[api.ServerID]ServerStatus{}}
}

// Run advances the service's roll-outs until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep.For(ctx, c.stepIfLeased(ctx))
	}
	return ctx.Err()
}

// stepIfLeased makes a step if the lease is held, and returns the time to wait before the next call.
func (c *Controller) stepIfLeased(ctx context.Context) time.Duration {
	if _, _, held := c.opts.Lease.Held(time.Now()); !held {
		return stepInterval
	}
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	record, err := c.Step(ctx)
	if err != nil && !IsErrRollOutNotExist(err) {
		c.opts.Log.WithField("service", c.opts.Service).WithError(err).Warn("roll-out not carried on")
	}
	if IsErrRollOutNotExist(err) || err == nil && record.RollOut.Phase.IsFinal() {
		return idleInterval
	}
	return stepInterval
}

// Step advances the roll-out by at most one transition and returns its record.
func (c *Controller) Step(ctx context.Context) (Record, error) {
	record, err := c.opts.Store.Find(ctx, c.opts.Service)
	if err != nil {
		return Record{}, err
	}
	if record.RollOut.Phase == PhaseAborted {
		c.grant(record.RollOut, Snapshot{})
		return record, nil
	}
	if record, err = c.applyChange(ctx, record); err != nil {
		return record, err
	}
	servers := c.readServers(ctx, record.RollOut)
	c.sendOrders(ctx, record.RollOut, servers)
	snap := c.snapshot(record.RollOut, servers)
	if next, due := Next(record.RollOut, snap); due {
		if record, err = c.write(ctx, record, next); err != nil {
			return record, err
		}
		c.opts.Log.WithFields(log.Fields{
			"service": c.opts.Service, "version": next.Plan.Version, "phase": next.Phase, "step": next.Step, "reason": next.Reason,
		}).Info("roll-out advanced")
	}
	c.grant(record.RollOut, snap)
	return record, nil
}

func (c *Controller) write(ctx context.Context, last Record, next RollOut) (Record, error) {
	return c.opts.Store.Write(ctx, last, next, c.opts.Lease.Guard())
}

// applyChange has the transition's configuration change accepted and stores its revision, unless that was done before.
func (c *Controller) applyChange(ctx context.Context, record Record) (Record, error) {
	if record.RollOut.Applied > 0 {
		return record, nil
	}
	state := c.opts.Configs.State()
	next, err := withPhaseApplied(state.Config, record.RollOut)
	if err != nil {
		return record, err
	}
	revision := state.Revision()
	if ops := state.Ops(next); len(ops) > 0 {
		revision, err = c.opts.Acceptor.Accept(ctx, fleet.Change{
			ID:   fleet.ChangeID(fmt.Sprintf("rollout-%s-%d", record.RollOut.Plan.ID, record.RollOut.Transition)),
			Base: state.Revision(), Author: changeAuthor(record.RollOut), Reason: record.RollOut.Reason,
			Time: time.Now(), Rebase: true, Ops: ops,
		})
	}
	if err != nil {
		return record, Error.Wrap(err)
	}
	updated := record.RollOut
	updated.Applied = revision
	return c.write(ctx, record, updated)
}

func changeAuthor(r RollOut) string {
	if r.By == automaticAuthor {
		return suspect.Author
	}
	return r.By
}

func (c *Controller) snapshot(r RollOut, servers []ServerStatus) Snapshot {
	now := time.Now()
	_, completed := c.opts.Results.Uses(r.Plan.ID)
	findings := c.opts.Results.Findings(r.Plan)
	return Snapshot{
		Now: now, Config: c.opts.Configs.State().Config, Pool: countServers(servers, now),
		Findings: findings, Results: countResults(findings, completed), AwaitsRatings: c.opts.AwaitsRatings,
	}
}

// grant sends the nodes new grants, if the lease is still held.
func (c *Controller) grant(r RollOut, snap Snapshot) {
	fencing, _, held := c.opts.Lease.Held(time.Now())
	if !held {
		return
	}
	c.seq++
	uses, _ := c.opts.Results.Uses(r.Plan.ID)
	c.opts.Results.Grant(Split(SplitOptions{
		Plan: r.Plan, Fencing: int64(fencing), Seq: c.seq, Exposure: r.Exposure(snap.Findings, c.opts.CanCopy),
		Ended: r.Phase.IsFinal(), Uses: uses,
	}))
}
