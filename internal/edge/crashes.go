package edge

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/crashes"
	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/nodelist"
	"github.com/monsoonrail/monsoonrail/internal/rendezvous"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
)

// crashReportInterval is the interval at which reports of crashes are written to the store, several in one transaction.
const crashReportInterval = 100 * time.Millisecond

// probeStagger is the time between the first probes of two nodes, so that few are under way before the result of one is known.
const probeStagger = 500 * time.Millisecond

// rewriteStagger is the time between two nodes that write the same lost report again: about what a write takes to reach all nodes.
const rewriteStagger = 300 * time.Millisecond

// maxRewriteRank bounds the nodes that wait for each other before they write a lost report again.
const maxRewriteRank = 10

// probeDelay returns how long this node waits before it probes a suspect.
func (n *Node) probeDelay(suspect crashes.Suspect) time.Duration {
	return time.Duration(n.rankFor(suspect)) * probeStagger
}

// rewriteDelay returns how long this node waits before it writes a lost report again.
func (n *Node) rewriteDelay(suspect crashes.Suspect) time.Duration {
	return time.Duration(min(n.rankFor(suspect), maxRewriteRank)) * rewriteStagger
}

// rankFor returns this node's rank among the nodes for a suspect, from 0.
func (n *Node) rankFor(suspect crashes.Suspect) int {
	ranked := rendezvous.Rank(string(suspect), *n.nodes.Load(), func(node nodelist.Node) string { return string(node.ID) })
	for i, node := range ranked {
		if node.ID == n.opts.Settings.Node {
			return i
		}
	}
	return len(ranked)
}

// loadCrashReport applies a stored report of a crash, or its removal.
func (n *Node) loadCrashReport(key string) {
	pair := n.mirror.Get(key)
	if pair.Version == 0 {
		n.crashes.Removed(key, time.Now())
		return
	}
	report, err := crashes.Decode(pair)
	if err != nil {
		n.log.WithField("key", key).WithError(err).Warn("ignored invalid crash report")
		return
	}
	n.crashes.Add(report, time.Now())
}

// shareCrashReports writes this node's reports of crashes until ctx ends.
func (n *Node) shareCrashReports(ctx context.Context) error {
	var retry writeRetry
	return sleep.Every(ctx, crashReportInterval, func(now time.Time) {
		n.crashes.QueueRewrites(now)
		if retry.isTooSoon(now) {
			return
		}
		due := n.crashes.Due()
		if len(due) == 0 {
			return
		}
		if err := n.writeCrashReports(ctx, due); err != nil {
			n.log.WithField("reports", len(due)).WithError(err).Warn("could not write crash reports")
			n.crashes.Retry(due)
			retry.failed(now, n.countNodes())
		}
	})
}

func (n *Node) writeCrashReports(ctx context.Context, reports []crashes.Report) error {
	lease, err := n.writes.crashReports.Grant(ctx, crashes.ReportTTL)
	if err != nil {
		return err
	}
	var txn kv.Txn
	for _, report := range reports {
		value, err := report.Encode()
		if err != nil {
			return err
		}
		txn.Then = append(txn.Then, kv.Op{Kind: kv.OpPut, Key: report.Key(), Value: value, Lease: lease.ID})
		n.log.WithFields(log.Fields{
			"suspect": string(report.Suspect), "request": string(report.Request), "crashes": report.Crashes, "cleared": report.IsCleared,
		}).Info("crash reported")
	}
	_, err = n.writes.crashReports.Commit(ctx, txn)
	return err
}
