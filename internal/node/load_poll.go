package node

import (
	"context"
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/registry"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
)

const (
	// loadPollTimeout bounds one poll of a load report.
	loadPollTimeout = 2 * time.Second
	// minLoadPollStep limits the polls to 14 a second, which use most of a budget of 5 KB/s. With more servers, each server is polled
	// less often than the settings say.
	minLoadPollStep = 70 * time.Millisecond
	// loadPollConcurrency bounds the polls in flight.
	loadPollConcurrency = 16
)

// pollLoads is a duty that polls the load of every server of the subset, evenly over the interval to avoid bursts.
func (n *Node) pollLoads(ctx context.Context) error {
	slots := make(chan struct{}, loadPollConcurrency)
	var polls sync.WaitGroup
	defer polls.Wait()
	for {
		servers := n.registry.All()
		step := max(n.opts.Settings.Platform.LoadPoll/time.Duration(max(len(servers), 1)), minLoadPollStep)
		for _, server := range servers {
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return ctx.Err()
			}
			polls.Go(func() {
				defer func() { <-slots }()
				n.pollLoad(ctx, server)
			})
			if !sleep.For(ctx, step) {
				return ctx.Err()
			}
		}
		if len(servers) == 0 && !sleep.For(ctx, step) {
			return ctx.Err()
		}
	}
}

func (n *Node) pollLoad(ctx context.Context, server *registry.Server) {
	pollCtx, cancel := context.WithTimeout(ctx, loadPollTimeout)
	defer cancel()
	server.MarkPolled(time.Now())
	report, err := n.engines.Load(pollCtx, server.Address)
	n.router.RecordLoadPoll(ctx, server, err)
	if err != nil {
		n.metrics.Counter("load_report_failures").Inc(1)
		return
	}
	server.SetReport(report)
	n.serverChooser.Report(server, report)
}
