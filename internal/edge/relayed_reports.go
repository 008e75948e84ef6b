package edge

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/reportrelay"
	"github.com/monsoonrail/monsoonrail/internal/selfreport"
)

// maxRelayedReports bounds the reports that wait to be told to the nodes through which they came. Further ones are dropped.
const maxRelayedReports = 64

// relayedReport is a server's report in an answer that came through another node.
type relayedReport struct {
	// peers is the "IP:port" of that node's listener for other nodes.
	peers  string
	report selfreport.Shared
}

// relayReport queues a report for the node through which it came.
func (n *Node) relayReport(peers string, report selfreport.Shared) {
	select {
	case n.relayedReports <- relayedReport{peers: peers, report: report}:
	default:
		n.log.WithFields(log.Fields{"server": string(report.Server), "node": peers}).Warn("dropped a server's report for another node")
	}
}

// tellRelayedReports tells other nodes the reports that came through them until ctx ends.
func (n *Node) tellRelayedReports(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case due := <-n.relayedReports:
			if err := reportrelay.Tell(ctx, n.peers, due.peers, due.report); err != nil {
				n.log.WithFields(log.Fields{"server": string(due.report.Server), "node": due.peers}).WithError(err).Warn("could not tell another node a server's report")
			}
		}
	}
}

// hearRelayedReport takes a report that a server made in an answer to another node's request that went through this one.
func (n *Node) hearRelayedReport(report selfreport.Shared) {
	share := selfreport.NewShare(n.opts.Settings.Node, report.Server, n.countRecentNodes())
	if n.backends.Hear(report, share, time.Now()) {
		n.log.WithFields(log.Fields{
			"server": string(report.Server), "leaving": report.IsLeaving, "pause": report.Pause.String(), "has_limit": report.HasLimit, "limit": float64(report.Limit),
		}).Info("another node told a server's report")
	}
}
