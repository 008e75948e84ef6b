package edge

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/nodelist"
	"github.com/monsoonrail/monsoonrail/internal/rolloutrpc"
	"github.com/monsoonrail/monsoonrail/internal/route"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/internal/storepath"
	"github.com/monsoonrail/monsoonrail/internal/versionrollout"
	"github.com/monsoonrail/monsoonrail/platform"
)

// rolloutInterval is how often a node checks for roll-out reports and states that are due: a small part of the time within which an
// unhealthy version must be stopped.
const rolloutInterval = 250 * time.Millisecond

// loadRolloutKey applies the value of a changed roll-out key; other keys are ignored.
func (n *Node) loadRolloutKey(key string) {
	pair := n.mirror.Get(key)
	if pair.Version == 0 {
		if service, ok := strings.CutPrefix(key, platform.PrefixRolloutStatus); ok {
			n.rollouts.ClearStatus(route.Service(service))
		}
		return
	}
	var err error
	switch {
	case strings.HasPrefix(key, platform.PrefixRollouts):
		err = n.loadOrder(pair)
	case strings.HasPrefix(key, platform.PrefixRolloutStatus):
		var status versionrollout.Status
		if status, err = platform.DecodeRolloutStatus(pair); err == nil {
			n.rollouts.SetStatus(status)
		}
	case strings.HasPrefix(key, versionrollout.StartKeyPrefix):
		var service route.Service
		var start versionrollout.StartRecord
		if service, start, err = versionrollout.DecodeStart(pair); err == nil {
			n.rollouts.SetStart(service, start, time.Now())
			n.loadRolloutKey(platform.PrefixRolloutStatus + string(service))
		}
	}
	if err != nil {
		n.log.WithField("key", key).WithError(err).Warn("ignored value that cannot be decoded")
	}
}

// loadOrder applies a roll-out order and the start and status that the mirror holds for it. When a node starts, keys arrive in no particular
// order, so that start and status may have been read before the order.
func (n *Node) loadOrder(pair kv.Pair) error {
	order, err := platform.DecodeRollout(pair)
	if err != nil {
		return err
	}
	var start versionrollout.StartRecord
	if held := n.mirror.Get(versionrollout.StartKey(order.Service)); held.Version > 0 {
		if _, start, err = versionrollout.DecodeStart(held); err != nil {
			n.log.WithField("key", held.Key).WithError(err).Warn("ignored value that cannot be decoded")
		}
	}
	n.rollouts.SetOrder(order, start, time.Now())
	n.loadRolloutKey(platform.PrefixRolloutStatus + string(order.Service))
	return nil
}

// runRollouts sends the reports and writes the states of roll-outs that are due, until ctx ends.
func (n *Node) runRollouts(ctx context.Context) error {
	return sleep.Every(ctx, rolloutInterval, func(now time.Time) {
		for _, work := range n.rollouts.Due(now) {
			collectors := n.collectorsFor(work.Order.Service)
			if err := n.report(ctx, work, collectors); err != nil {
				n.rollouts.MarkUnreported(work.Order.Service)
				n.log.WithField("service", string(work.Order.Service)).WithError(err).Warn("could not send roll-out report")
			}
			rank := slices.IndexFunc(collectors, func(c nodelist.Node) bool { return c.ID == n.opts.Settings.Node })
			if work.State == versionrollout.StateNone || !versionrollout.MayWrite(rank, work.PendingFor) {
				continue
			}
			if err := n.writeState(ctx, work); err != nil {
				n.log.WithField("service", string(work.Order.Service)).WithError(err).Warn("could not write roll-out state")
			}
		}
	})
}

// collectorsFor returns the nodes that may collect the reports of a service, the one that does first; this node if the list of nodes is empty.
func (n *Node) collectorsFor(service route.Service) []nodelist.Node {
	nodes := n.nodes.Load()
	if len(*nodes) == 0 {
		return []nodelist.Node{n.announcer.Node}
	}
	if n.rankedFor != nodes {
		clear(n.collectors)
		n.rankedFor = nodes
	}
	ranked, ok := n.collectors[service]
	if !ok {
		ranked = storepath.ByCapacity(string(service), *nodes)
		ranked = ranked[:min(len(ranked), versionrollout.MaxWriters)]
		n.collectors[service] = ranked
	}
	return ranked
}

// reportAttempts is the number of collectors that a node tries for one report.
const reportAttempts = 2

// report sends this node's report, if there is one, to the first collector that can be reached, and takes in the response.
func (n *Node) report(ctx context.Context, work versionrollout.Work, collectors []nodelist.Node) (err error) {
	if work.Report == nil {
		return nil
	}
	for _, collector := range collectors[:min(len(collectors), reportAttempts)] {
		if collector.ID == n.opts.Settings.Node || collector.Peers == "" {
			return nil
		}
		var collected rolloutrpc.ReportResponse
		collected, err = rolloutrpc.Send(ctx, n.peers, collector.Peers, rolloutrpc.Report{
			Service: work.Order.Service, Node: n.opts.Settings.Node, Report: *work.Report,
		})
		if err == nil {
			n.rollouts.SetCollected(work.Order, versionrollout.Collected(collected), time.Now())
			return nil
		}
	}
	return err
}

// writeState writes the state of a roll-out unless another node has written it since it was read, or the store holds another order.
func (n *Node) writeState(ctx context.Context, work versionrollout.Work) error {
	service := work.Order.Service
	value, err := platform.EncodeRolloutStatus(versionrollout.Status{
		Service: service, Target: work.Order.Target, State: work.State,
	})
	if err != nil {
		return err
	}
	key, orderKey := platform.PrefixRolloutStatus+string(service), platform.PrefixRollouts+string(service)
	txn := kv.Txn{
		If:   []kv.Compare{{Key: key, Version: work.Status.Version}, {Key: orderKey, Version: n.mirror.Get(orderKey).Version}},
		Then: []kv.Op{{Kind: kv.OpPut, Key: key, Value: value}},
	}
	if work.Status.State == versionrollout.StateNone {
		start, err := versionrollout.NewStartRecord(work.Order, work.Begin).Encode()
		if err != nil {
			return err
		}
		txn.Then = append(txn.Then, kv.Op{Kind: kv.OpPut, Key: versionrollout.StartKey(service), Value: start})
	}
	result, err := n.writes.rollouts.Commit(ctx, txn)
	if err != nil {
		return err
	}
	n.log.WithFields(log.Fields{
		"service": string(service), "target": string(work.Order.Target), "state": work.State.String(), "accepted": result.Succeeded,
	}).Info("roll-out state written")
	return nil
}
