package node

import (
	"context"
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/registry"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
)

const (
	// loadTimeout bounds one load report.
	loadTimeout = 2 * time.Second
	// minLoadStep bounds the reports asked for to 14 a second, which take most of 5 KB/s; with more servers each is asked
	// less often than the settings say.
	minLoadStep = 70 * time.Millisecond
	// loadConcurrency bounds the reports asked for at once.
	loadConcurrency = 16
)

// pollLoads asks every server of the subset for its load, spread over the interval so that no burst arises.
func (n *Node) pollLoads(ctx context.Context) error {
	slots := make(chan struct{}, loadConcurrency)
	var asking sync.WaitGroup
	defer asking.Wait()
	for {
		servers := n.registry.All()
		step := max(n.opts.Settings.Platform.LoadPoll/time.Duration(max(len(servers), 1)), minLoadStep)
		for _, server := range servers {
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return ctx.Err()
			}
			asking.Go(func() {
				defer func() { <-slots }()
				n.askLoad(ctx, server)
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

func (n *Node) askLoad(ctx context.Context, server *registry.Server) {
	askCtx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	server.MarkPolled(time.Now())
	report, err := n.engines.Load(askCtx, server.Address)
	n.router.RecordLoadPoll(ctx, server, err)
	if err != nil {
		n.metrics.Counter("load_report_failures").Inc(1)
		return
	}
	server.SetReport(report)
	n.choice.Report(server, report)
}
