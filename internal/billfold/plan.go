package billfold

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/monsoonrail/monsoonrail/internal/billing"
	"github.com/monsoonrail/monsoonrail/internal/billing/billingpb"
	"github.com/monsoonrail/monsoonrail/internal/kv"
)

// unreadablePrefix is the key prefix that unreadable segments are moved to.
const unreadablePrefix = "bill/unreadable/"

// plan is the content of one transaction.
type plan struct {
	// suffix is the key suffix of the totals.
	suffix string
	// segmentCount is the number of segments that the plan covers.
	segmentCount int
	added        map[totalKey]*billing.Accumulator
	// conditions require that the segments are unchanged, and ops delete or move them.
	conditions []kv.Compare
	ops        []kv.Op
	// ids are the ids of the keyed requests that the plan bills.
	ids []id
	// forwarded are the keyed requests that other scopes bill, by the shard of their scope.
	forwarded map[int][]*billingpb.Keyed
	// repeated counts the keyed requests that were billed before, and unreadable the segments that can't be decoded.
	repeated, unreadable int

	// newTotals, chunk and dropped are the resulting state after the transaction.
	newTotals map[totalKey][]*billingpb.Sum
	chunk     chunk
	dropped   []chunk
}

// plan covers as many segments as one transaction can hold, but at least one.
func (a *Aggregator) plan(pairs []kv.Pair) *plan {
	p := &plan{
		suffix: a.opts.Scope.totalSuffix, added: make(map[totalKey]*billing.Accumulator), newTotals: make(map[totalKey][]*billingpb.Sum),
		forwarded: make(map[int][]*billingpb.Keyed),
	}
	planned := make(map[id]bool)
	for _, pair := range pairs {
		if p.segmentCount > 0 && len(p.ops)+len(p.added) >= maxOps/2 {
			break
		}
		p.segmentCount++
		p.conditions = append(p.conditions, kv.Compare{Key: pair.Key, Version: pair.Version})
		p.ops = append(p.ops, kv.Op{Kind: kv.OpDelete, Key: pair.Key})
		segment, err := billing.DecodeSegment(pair.Value)
		if err != nil {
			p.unreadable++
			moved := unreadablePrefix + strings.TrimPrefix(strings.TrimPrefix(pair.Key, billing.LegacySegmentPrefix), "bill/")
			p.ops = append(p.ops, kv.Op{Kind: kv.OpPut, Key: moved, Value: pair.Value})
			continue
		}
		p.addSums(segment.Sums)
		if a.opts.Scope.forwardsKeyed() {
			p.forwardKeyed(segment.Keyed)
			continue
		}
		p.addKeyed(segment.Keyed, func(key id) bool { return a.dedup.has(key) || planned[key] }, planned)
	}
	return p
}

func (p *plan) addSums(sums []*billingpb.Sum) {
	for _, sum := range sums {
		p.add(sum)
	}
}

func (p *plan) forwardKeyed(requests []*billingpb.Keyed) {
	for _, keyed := range requests {
		shard := keyedShardOf(idOf(keyed.Id))
		p.forwarded[shard] = append(p.forwarded[shard], keyed)
	}
}

func (p *plan) addKeyed(requests []*billingpb.Keyed, isBilled func(id) bool, planned map[id]bool) {
	for _, keyed := range requests {
		key := idOf(keyed.Id)
		if isBilled(key) {
			p.repeated++
			continue
		}
		planned[key] = true
		p.ids = append(p.ids, key)
		if keyed.Sum != nil {
			p.add(keyed.Sum)
		}
	}
}

func (p *plan) add(sum *billingpb.Sum) {
	key := totalKeyOf(sum, p.suffix)
	if p.added[key] == nil {
		p.added[key] = new(billing.Accumulator)
	}
	p.added[key].Add(sum)
}

// keys returns the totals that the plan changes, in a fixed order.
func (p *plan) keys() []totalKey {
	return slices.SortedFunc(maps.Keys(p.added), func(a, b totalKey) int {
		return cmp.Or(cmp.Compare(a.day, b.day), cmp.Compare(a.bucket, b.bucket))
	})
}
