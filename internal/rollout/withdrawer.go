package rollout

import (
	"context"
	"encoding/json"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/internal/suspect"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// withdrawInterval is the time between two attempts to have a stop accepted.
	withdrawInterval = time.Second
	// withdrawTimeout bounds one attempt.
	withdrawTimeout = 5 * time.Second
	// detectingNodeGracePeriod is how long other nodes wait for the node that made a stop to have it accepted, before they try.
	detectingNodeGracePeriod = 10 * time.Second
)

// WithdrawerOptions configures NewWithdrawer.
type WithdrawerOptions struct {
	Node api.NodeID
	// Stops returns the stops in force on this node whose versions the configuration has not withdrawn yet.
	Stops    func() []suspect.Stop
	Configs  Configs
	Acceptor Acceptor
	Log      log.Interface
}

// Withdrawer turns the nodes' stops of versions into accepted configuration changes, as soon as the key-value service accepts writes.
// A stop has the same change id on all nodes, so that it is accepted once, whichever node writes it.
type Withdrawer struct {
	opts WithdrawerOptions
	// firstSeen is when a stop was first seen here, by its id.
	firstSeen map[string]time.Time
}

// NewWithdrawer returns a withdrawer.
func NewWithdrawer(opts WithdrawerOptions) *Withdrawer {
	return &Withdrawer{opts: opts, firstSeen: map[string]time.Time{}}
}

// Run has stops accepted until ctx ends.
func (w *Withdrawer) Run(ctx context.Context) error {
	return sleep.Every(ctx, withdrawInterval, func(now time.Time) { w.write(ctx, now) })
}

func (w *Withdrawer) write(ctx context.Context, now time.Time) {
	seen := map[string]time.Time{}
	for _, stop := range w.opts.Stops() {
		first, ok := w.firstSeen[stop.ID]
		if !ok {
			first = now
		}
		seen[stop.ID] = first
		if stop.Node != w.opts.Node && now.Sub(first) < detectingNodeGracePeriod {
			continue
		}
		if err := w.withdraw(ctx, stop); err != nil {
			w.opts.Log.WithFields(log.Fields{"service": stop.Service, "version": stop.Version}).WithError(err).
				Warn("withdrawal not accepted yet; the nodes keep the version stopped")
		}
	}
	w.firstSeen = seen
}

func (w *Withdrawer) withdraw(ctx context.Context, stop suspect.Stop) error {
	ctx, cancel := context.WithTimeout(ctx, withdrawTimeout)
	defer cancel()
	value, err := json.Marshal(stop.Exception())
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = w.opts.Acceptor.Accept(ctx, fleet.Change{
		ID: fleet.ChangeID(stop.ID), Base: w.opts.Configs.State().Revision(),
		Author: stop.Author, Reason: stop.Reason, Time: stop.At, Rebase: true,
		Ops: []fleet.Op{{EntityID: fleet.EntityID{Kind: fleet.KindException, Name: stop.ID}, Value: value}},
	})
	return Error.Wrap(err)
}
