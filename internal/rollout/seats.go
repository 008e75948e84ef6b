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

// readServers updates and returns the status of the servers. Of a large service it reads only the next maxReads servers.
func (c *Controller) readServers(ctx context.Context, r RollOut) []ServerStatus {
	servers := c.opts.Servers()
	statuses := make([]ServerStatus, len(servers))
	var calls errgroup.Group
	calls.SetLimit(maxCalls)
	for i, server := range servers {
		statuses[i] = c.servers[server.ID]
		statuses[i].Server = server
		if (i-c.nextRead+len(servers))%len(servers) >= maxReads {
			continue
		}
		calls.Go(func() error {
			statuses[i] = c.readServer(ctx, r, statuses[i])
			return nil
		})
	}
	_ = calls.Wait()
	if len(servers) > 0 {
		c.nextRead = (c.nextRead + maxReads) % len(servers)
	}
	c.servers = make(map[api.ServerID]ServerStatus, len(servers))
	for _, status := range statuses {
		c.servers[status.Server.ID] = status
	}
	return statuses
}

// readServer returns a server's status after reading its state. If the server does not answer, its last known Status is kept.
func (c *Controller) readServer(ctx context.Context, r RollOut, status ServerStatus) ServerStatus {
	state, err := c.opts.Orders.State(ctx, status.Server)
	if err != nil {
		status.Unreachable = true
		return status
	}
	status.Unreachable = false
	status.Status = state.StatusOf(r.Plan.Version)
	switch {
	case status.Status == order.StatusLoaded:
		status.FailedAt = time.Time{}
	case status.Status == order.StatusFailed && status.FailedAt.IsZero():
		status.FailedAt = time.Now()
	}
	return status
}

func (c *Controller) sendOrders(ctx context.Context, r RollOut, servers []ServerStatus) {
	var weights Weights
	if c.opts.Weights != nil {
		// On an error the rate is unknown, so that at most maxLoadsAtUnknownRate servers load at once.
		weights, _ = c.opts.Weights.Weights(ctx, r.Plan.Version)
	}
	checks := checksFencing(c.opts.Configs.State().Config, c.opts.Service)
	for _, due := range ordersDue(r, servers, weights, time.Now()) {
		err := c.opts.Orders.Send(ctx, order.Target{Server: due.Server, ChecksFencing: checks}, order.Order{
			ID:     fmt.Sprintf("%s-%d-%s", r.Plan.ID, r.Transition, due.Server.ID),
			Action: due.Action, Version: due.Version,
		})
		if err != nil {
			c.opts.Log.WithFields(log.Fields{"service": c.opts.Service, "server": due.Server.ID, "action": due.Action}).
				WithError(err).Warn("failed to send order to server")
		}
		c.recordOrderResult(due, err)
	}
}

// recordOrderResult updates a server's FailedAt: a server that rejected the order gets no order to load for loadRetryDelay, and one that
// accepted it no longer counts as failed.
func (c *Controller) recordOrderResult(due DueOrder, err error) {
	status := c.servers[due.Server.ID]
	switch {
	case err == nil:
		status.FailedAt = time.Time{}
	case order.IsErrRejected(err):
		status.FailedAt = time.Now()
	}
	c.servers[due.Server.ID] = status
}

func checksFencing(config *fleet.Config, name api.Service) bool {
	service, ok := config.FindService(name)
	return ok && service.ChecksFencing
}
