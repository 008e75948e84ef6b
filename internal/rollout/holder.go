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
	// stepEvery is the time between two steps of the holder.
	stepEvery = time.Second
	// stepTimeout bounds one step, so that it ends within the time of the lease.
	stepTimeout = 8 * time.Second
	// finalEvery is the time between two steps while no roll-out is under way.
	finalEvery = 5 * time.Second
	// maxCalls bounds the calls to servers under way at once.
	maxCalls = 8
	// maxReads bounds the servers whose state is read in one step.
	maxReads = 64
)

// Lease is the lease of the duty.
type Lease interface {
	Held(now time.Time) (lease.Fencing, time.Duration, bool)
	Guard() kv.Compare
}

// Orders gives orders to engines.
type Orders interface {
	Give(ctx context.Context, to order.Target, o order.Order) error
	State(ctx context.Context, server fleet.Server) (order.State, error)
}

// Configs is the node's copy of the configuration.
type Configs interface {
	State() *fleet.State
}

// Acceptor has changes accepted; a change whose id was accepted before keeps its revision.
type Acceptor interface {
	Accept(ctx context.Context, change fleet.Change) (api.Revision, error)
}

// Results is what the nodes report about a candidate, and the way to them.
type Results interface {
	// Findings returns what is known of a candidate, one finding a class.
	Findings(plan Plan) []suspect.Finding
	// Uses returns the newest use of each node heard of within a few seconds, and the number of results over all nodes.
	Uses(id ID) (uses []Use, settled uint64)
	// Grant sends grants to the nodes.
	Grant(grants []Grant)
}

// WeightStore tells how fast versions can be loaded.
type WeightStore interface {
	Weights(ctx context.Context, version api.VersionID) (Weights, error)
}

// ControllerOptions configures NewHolder.
type ControllerOptions struct {
	Service  api.Service
	Store    *Store
	Lease    Lease
	Orders   Orders
	Configs  Configs
	Acceptor Acceptor
	Results  Results
	// Weights may be nil: loads then go out a few at a time.
	Weights WeightStore
	// Servers returns the servers of the service, leaving ones too.
	Servers func() []fleet.Server
	// AwaitsRatings tells that answers of the service are rated.
	AwaitsRatings bool
	// CanCopy tells that the nodes can send copies of answered requests to a candidate.
	CanCopy bool
	Log     log.Interface
}

// Controller is the duty that carries on the roll-out of one service while its node holds the lease. It keeps nothing that
// the next holder would need: each step reads the record, does what the phase wants (which may have been done before)
// and writes at most one transition by compare-and-swap, under the condition that the lease is still its own.
type Controller struct {
	opts ControllerOptions
	// seats is what is known of the servers, by id.
	seats map[api.ServerID]ServerStatus
	// seq numbers the grants.
	seq uint64
	// next is where the reading of states goes on in the list of servers.
	next int
}

// NewController returns a holder.
func NewController(opts ControllerOptions) *Controller {
	return &Controller{opts: opts, seats: map[api.ServerID]ServerStatus{}}
}

// Run carries the roll-out on until ctx ends.
func (h *Controller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep.For(ctx, h.turn(ctx))
	}
	return ctx.Err()
}

// turn makes a step if the lease is held and returns the wait until the next one.
func (h *Controller) turn(ctx context.Context) time.Duration {
	if _, _, held := h.opts.Lease.Held(time.Now()); !held {
		return stepEvery
	}
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	record, err := h.Step(ctx)
	if err != nil && !IsErrRollOutNotExist(err) {
		h.opts.Log.WithField("service", h.opts.Service).WithError(err).Warn("roll-out not carried on")
	}
	if IsErrRollOutNotExist(err) || err == nil && record.RollOut.Phase.IsFinal() {
		return finalEvery
	}
	return stepEvery
}

// Step carries the roll-out on as far as it goes now and returns it.
func (h *Controller) Step(ctx context.Context) (Record, error) {
	record, err := h.opts.Store.Find(ctx, h.opts.Service)
	if err != nil {
		return Record{}, err
	}
	if record.RollOut.Phase == PhaseAborted {
		h.grant(record.RollOut, Snapshot{})
		return record, nil
	}
	if record, err = h.applyChange(ctx, record); err != nil {
		return record, err
	}
	seats := h.readSeats(ctx, record.RollOut)
	h.giveOrders(ctx, record.RollOut, seats)
	snap := h.snapshot(record.RollOut, seats)
	if next, due := Next(record.RollOut, snap); due {
		if record, err = h.write(ctx, record, next); err != nil {
			return record, err
		}
		h.opts.Log.WithFields(log.Fields{
			"service": h.opts.Service, "version": next.Plan.Version, "phase": next.Phase, "step": next.Step, "reason": next.Reason,
		}).Info("roll-out moved")
	}
	h.grant(record.RollOut, snap)
	return record, nil
}

func (h *Controller) write(ctx context.Context, last Record, next RollOut) (Record, error) {
	return h.opts.Store.Write(ctx, last, next, h.opts.Lease.Guard())
}

// applyChange has the transition's change accepted, unless that was done before.
func (h *Controller) applyChange(ctx context.Context, record Record) (Record, error) {
	if record.RollOut.Applied > 0 {
		return record, nil
	}
	state := h.opts.Configs.State()
	next, err := changed(state.Config, record.RollOut)
	if err != nil {
		return record, err
	}
	revision := state.Revision()
	if ops := state.Ops(next); len(ops) > 0 {
		revision, err = h.opts.Acceptor.Accept(ctx, fleet.Change{
			ID:   fleet.ChangeID(fmt.Sprintf("rollout-%s-%d", record.RollOut.Plan.ID, record.RollOut.Transition)),
			Base: state.Revision(), Author: changeAuthor(record.RollOut), Reason: record.RollOut.Reason,
			Time: time.Now(), Rebase: true, Ops: ops,
		})
	}
	if err != nil {
		return record, Error.Wrap(err)
	}
	applied := record.RollOut
	applied.Applied = revision
	return h.write(ctx, record, applied)
}

func changeAuthor(r RollOut) string {
	if r.By == author {
		return suspect.Author
	}
	return r.By
}

func (h *Controller) snapshot(r RollOut, seats []ServerStatus) Snapshot {
	now := time.Now()
	_, settled := h.opts.Results.Uses(r.Plan.ID)
	findings := h.opts.Results.Findings(r.Plan)
	return Snapshot{
		Now: now, Config: h.opts.Configs.State().Config, Pool: poolOf(seats, now),
		Findings: findings, Results: resultsOf(findings, settled), AwaitsRatings: h.opts.AwaitsRatings,
	}
}

// grant renews the nodes' parts of the budget, if the lease is still held.
func (h *Controller) grant(r RollOut, snap Snapshot) {
	fencing, _, held := h.opts.Lease.Held(time.Now())
	if !held {
		return
	}
	h.seq++
	uses, _ := h.opts.Results.Uses(r.Plan.ID)
	h.opts.Results.Grant(Split(SplitOptions{
		Plan: r.Plan, Fencing: int64(fencing), Seq: h.seq, Exposure: r.Exposure(snap.Findings, h.opts.CanCopy),
		Ended: r.Phase.IsFinal(), Uses: uses,
	}))
}
