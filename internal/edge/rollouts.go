package edge

import (
	"context"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/internal/versionrollout"
	"github.com/monsoonrail/monsoonrail/platform"
)

// rolloutInterval is how often a node looks for something to write of a roll-out: a small part of the time within which a bad
// version must be stopped.
const rolloutInterval = 250 * time.Millisecond

// readRollout takes in a change of a key of roll-outs; other keys are passed over.
func (n *Node) readRollout(key string) {
	pair := n.mirror.Get(key)
	if pair.Version == 0 {
		return
	}
	var err error
	switch {
	case strings.HasPrefix(key, platform.PrefixRollouts):
		err = n.readOrder(pair)
	case strings.HasPrefix(key, platform.PrefixRolloutStatus):
		var status versionrollout.Status
		if status, err = platform.DecodeRolloutStatus(pair); err == nil {
			n.rollouts.SetStatus(status)
		}
	case strings.HasPrefix(key, versionrollout.Prefix):
		err = n.readRolloutDocument(pair)
	}
	if err != nil {
		n.log.WithField("key", key).WithError(err).Warn("value can't be read and is left out")
	}
}

// readOrder takes in an order and what is known of it.
func (n *Node) readOrder(pair kv.Pair) error {
	order, err := platform.DecodeRollout(pair)
	if err != nil {
		return err
	}
	n.rollouts.SetOrder(order, time.Now())
	// Keys come in no order when a node starts.
	for _, other := range n.mirror.List(versionrollout.Prefix + string(order.Service) + "/") {
		n.readRollout(other.Key)
	}
	n.readRollout(platform.PrefixRolloutStatus + string(order.Service))
	return nil
}

func (n *Node) readRolloutDocument(pair kv.Pair) error {
	service, node, ok := versionrollout.ParseKey(pair.Key)
	if !ok {
		return nil
	}
	if node != "" {
		report, err := versionrollout.DecodeReport(pair)
		if err == nil {
			n.rollouts.SetReport(service, node, report)
		}
		return err
	}
	start, err := versionrollout.DecodeStart(pair)
	if err == nil {
		n.rollouts.SetStart(service, start, time.Now())
	}
	return err
}

// runRollouts writes what is due of the roll-outs until ctx ends.
func (n *Node) runRollouts(ctx context.Context) error {
	return sleep.Every(ctx, rolloutInterval, func(now time.Time) {
		for _, work := range n.rollouts.Due(now) {
			if err := n.writeRollout(ctx, work); err != nil {
				n.rollouts.Unreported(work.Order.Service)
				n.log.WithField("service", string(work.Order.Service)).WithError(err).Warn("roll-out not written")
			}
		}
	})
}

// writeRollout writes this node's report, and the state under the condition that nobody else has written it.
func (n *Node) writeRollout(ctx context.Context, work versionrollout.Work) error {
	service := work.Order.Service
	if work.Report != nil {
		value, err := versionrollout.Encode(work.Report)
		if err != nil {
			return err
		}
		put := kv.Op{Kind: kv.OpPut, Key: versionrollout.ReportKey(service, n.opts.Settings.Node), Value: value}
		if _, err := n.store.Commit(ctx, kv.Txn{Then: []kv.Op{put}}); err != nil {
			return err
		}
	}
	if work.State == versionrollout.StateNone {
		return nil
	}
	value, err := platform.EncodeRolloutStatus(versionrollout.Status{
		Service: service, Target: work.Order.Target, State: work.State,
	})
	if err != nil {
		return err
	}
	key := platform.PrefixRolloutStatus + string(service)
	txn := kv.Txn{
		If:   []kv.Compare{{Key: key, Version: work.Status.Version}},
		Then: []kv.Op{{Kind: kv.OpPut, Key: key, Value: value}},
	}
	if work.State == versionrollout.StateInProgress {
		start, err := versionrollout.Encode(versionrollout.Start{Order: work.Order.Revision, UnixMilli: work.Begin.UnixMilli()})
		if err != nil {
			return err
		}
		txn.Then = append(txn.Then, kv.Op{Kind: kv.OpPut, Key: versionrollout.StartKey(service), Value: start})
	}
	result, err := n.store.Commit(ctx, txn)
	if err != nil {
		return err
	}
	n.log.WithFields(log.Fields{
		"service": string(service), "target": string(work.Order.Target), "state": work.State.String(), "accepted": result.Succeeded,
	}).Info("roll-out's state written")
	return nil
}
