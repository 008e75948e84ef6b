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

// unreadablePrefix begins the keys that segments which can't be read are moved to.
const unreadablePrefix = "bill/unreadable/"

// plan is what one transaction does.
type plan struct {
	// suffix ends the keys of the totals.
	suffix string
	// taken counts the segments that the plan covers.
	taken int
	added map[totalKey]*billing.Accumulator
	// guards hold as long as the segments are unchanged and ops delete them.
	guards []kv.Compare
	ops    []kv.Op
	// ids are those of the keyed requests that are billed.
	ids []id
	// forwarded are the keyed requests that other scopes bill.
	forwarded map[int][]*billingpb.Keyed
	// repeated counts the keyed requests billed before and unreadable the segments that can't be read.
	repeated, unreadable int

	// next, chunk and dropped are the state after the transaction.
	next    map[totalKey][]*billingpb.Sum
	chunk   chunk
	dropped []chunk
}

// plan takes as many segments as one transaction can hold, and one at least.
func (f *Aggregator) plan(pairs []kv.Pair) *plan {
	p := &plan{
		suffix: f.opts.Scope.suffix, added: make(map[totalKey]*billing.Accumulator), next: make(map[totalKey][]*billingpb.Sum),
		forwarded: make(map[int][]*billingpb.Keyed),
	}
	fresh := make(map[id]bool)
	for _, pair := range pairs {
		if p.taken > 0 && len(p.ops)+len(p.added) >= maxOps/2 {
			break
		}
		p.taken++
		p.guards = append(p.guards, kv.Compare{Key: pair.Key, Version: pair.Version})
		p.ops = append(p.ops, kv.Op{Kind: kv.OpDelete, Key: pair.Key})
		segment, err := billing.DecodeSegment(pair.Value)
		if err != nil {
			p.unreadable++
			moved := unreadablePrefix + strings.TrimPrefix(strings.TrimPrefix(pair.Key, billing.LegacySegmentPrefix), "bill/")
			p.ops = append(p.ops, kv.Op{Kind: kv.OpPut, Key: moved, Value: pair.Value})
			continue
		}
		p.addSums(segment.Sums)
		if f.opts.Scope.forwards() {
			p.forward(segment.Keyed)
			continue
		}
		p.addKeyed(segment.Keyed, func(key id) bool { return f.seen.has(key) || fresh[key] }, fresh)
	}
	return p
}

func (p *plan) addSums(sums []*billingpb.Sum) {
	for _, sum := range sums {
		p.add(sum)
	}
}

func (p *plan) forward(requests []*billingpb.Keyed) {
	for _, keyed := range requests {
		shard := keyedShardOf(idOf(keyed.Id))
		p.forwarded[shard] = append(p.forwarded[shard], keyed)
	}
}

func (p *plan) addKeyed(requests []*billingpb.Keyed, isBilled func(id) bool, fresh map[id]bool) {
	for _, keyed := range requests {
		key := idOf(keyed.Id)
		if isBilled(key) {
			p.repeated++
			continue
		}
		fresh[key] = true
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
