package rollout

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/order"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// readSeats brings what is known of the servers up to date, a bounded number of them a step.
func (h *Controller) readSeats(ctx context.Context, r RollOut) []ServerStatus {
	servers := h.opts.Servers()
	seats := make([]ServerStatus, len(servers))
	var calls errgroup.Group
	calls.SetLimit(maxCalls)
	for i, server := range servers {
		seats[i] = h.seats[server.ID]
		seats[i].Server = server
		if (i-h.next+len(servers))%len(servers) >= maxReads {
			continue
		}
		calls.Go(func() error {
			seats[i] = h.readSeat(ctx, r, seats[i])
			return nil
		})
	}
	_ = calls.Wait()
	if len(servers) > 0 {
		h.next = (h.next + maxReads) % len(servers)
	}
	h.seats = make(map[api.ServerID]ServerStatus, len(servers))
	for _, seat := range seats {
		h.seats[seat.Server.ID] = seat
	}
	return seats
}

// readSeat reads a server's state; one that does not answer is not thought to have lost anything.
func (h *Controller) readSeat(ctx context.Context, r RollOut, seat ServerStatus) ServerStatus {
	state, err := h.opts.Orders.State(ctx, seat.Server)
	if err != nil {
		seat.Unreachable = true
		return seat
	}
	seat.Unreachable = false
	seat.Status = state.StatusOf(r.Plan.Version)
	switch {
	case seat.Status == order.StatusLoaded:
		seat.FailedAt = time.Time{}
	case seat.Status == order.StatusFailed && seat.FailedAt.IsZero():
		seat.FailedAt = time.Now()
	}
	return seat
}

func (h *Controller) giveOrders(ctx context.Context, r RollOut, seats []ServerStatus) {
	var weights Weights
	if h.opts.Weights != nil {
		// An unknown rate lets loads go out a few at a time.
		weights, _ = h.opts.Weights.Weights(ctx, r.Plan.Version)
	}
	checks := checksFencing(h.opts.Configs.State().Config, h.opts.Service)
	for _, due := range ordersDue(r, seats, weights, time.Now()) {
		err := h.opts.Orders.Give(ctx, order.Target{Server: due.Server, ChecksFencing: checks}, order.Order{
			ID:     fmt.Sprintf("%s-%d-%s", r.Plan.ID, r.Transition, due.Server.ID),
			Action: due.Action, Version: due.Version,
		})
		if err != nil {
			h.opts.Log.WithFields(log.Fields{"service": h.opts.Service, "server": due.Server.ID, "action": due.Action}).
				WithError(err).Warn("order not given")
		}
		h.noteOrder(due, err)
	}
}

// noteOrder leaves a server alone for a while that refused the order, and lets one that took it fail anew.
func (h *Controller) noteOrder(due DueOrder, err error) {
	seat := h.seats[due.Server.ID]
	switch {
	case err == nil:
		seat.FailedAt = time.Time{}
	case order.IsErrRejected(err):
		seat.FailedAt = time.Now()
	}
	h.seats[due.Server.ID] = seat
}

func checksFencing(config *fleet.Config, name api.Service) bool {
	service, ok := config.FindService(name)
	return ok && service.ChecksFencing
}
