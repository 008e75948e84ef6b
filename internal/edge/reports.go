package edge

import (
	"bytes"
	"context"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/selfreport"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
)

// reportShareInterval is the interval at which reports of servers are written to the store, several in one transaction.
const reportShareInterval = 200 * time.Millisecond

// writeRetryDelay is the minimum wait after a failed write of reports, and writeRetryDelayPerNode times the number of nodes that of a large fleet,
// whose nodes may all have something to write.
const (
	writeRetryDelay        = 500 * time.Millisecond
	writeRetryDelayPerNode = 5 * time.Millisecond
)

// writeRetry delays the writes after a failed one.
type writeRetry struct{ until time.Time }

func (r *writeRetry) isTooSoon(now time.Time) bool { return now.Before(r.until) }

func (r *writeRetry) failed(now time.Time, nodes int) {
	r.until = now.Add(max(writeRetryDelay, writeRetryDelayPerNode*time.Duration(nodes)))
}

// isReportKey reports whether a key of the store holds a report of a server.
func isReportKey(key string) bool { return strings.HasPrefix(key, selfreport.KeyPrefix) }

// loadReports applies the reports of servers in the store. A report whose server isn't known yet is applied once it is.
func (n *Node) loadReports() {
	now, nodes := time.Now(), n.countRecentNodes()
	for _, pair := range n.mirror.List(selfreport.KeyPrefix) {
		shared, err := selfreport.DecodeShared(pair.Value)
		if err != nil {
			n.log.WithField("key", pair.Key).WithError(err).Warn("ignored invalid report of a server")
			continue
		}
		share := selfreport.NewShare(n.opts.Settings.Node, shared.Server, nodes)
		if n.backends.Hear(shared, share, now) {
			n.log.WithFields(log.Fields{
				"server": string(shared.Server), "leaving": shared.IsLeaving, "has_limit": shared.HasLimit, "limit": float64(shared.Limit), "nodes": nodes,
			}).Info("another node shared a server's report")
		}
	}
}

// shareReports writes the reports that servers made to this node until ctx ends.
func (n *Node) shareReports(ctx context.Context) error {
	var retry writeRetry
	return sleep.Every(ctx, reportShareInterval, func(now time.Time) {
		if retry.isTooSoon(now) {
			return
		}
		due := n.reports.Take()
		if len(due) == 0 {
			return
		}
		if err := n.writeReports(ctx, due); err != nil {
			n.log.WithField("reports", len(due)).WithError(err).Warn("could not share reports of servers")
			n.reports.Return(due)
			retry.failed(now, n.countNodes())
		}
	})
}

// writeReports writes the reports that the store doesn't have yet: other nodes may have heard and written the same.
func (n *Node) writeReports(ctx context.Context, reports []selfreport.Shared) error {
	var txn kv.Txn
	for _, shared := range reports {
		value, err := shared.Encode()
		if err != nil {
			return err
		}
		held := n.mirror.Get(shared.Key())
		isNothing := !shared.IsLeaving && !shared.HasLimit
		if bytes.Equal(held.Value, value) || isNothing && held.Version == 0 {
			continue
		}
		txn.Then = append(txn.Then, kv.Op{Kind: kv.OpPut, Key: shared.Key(), Value: value})
	}
	if len(txn.Then) == 0 {
		return nil
	}
	lease, err := n.writes.serverReports.Grant(ctx, selfreport.SharedTTL)
	if err != nil {
		return err
	}
	for i := range txn.Then {
		txn.Then[i].Lease = lease.ID
	}
	_, err = n.writes.serverReports.Commit(ctx, txn)
	return err
}
