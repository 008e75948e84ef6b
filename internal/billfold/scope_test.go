package billfold_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/monsoonrail/monsoonrail/internal/billfold"
	"github.com/monsoonrail/monsoonrail/internal/billing"
	"github.com/monsoonrail/monsoonrail/internal/billing/billingpb"
	"github.com/monsoonrail/monsoonrail/internal/fake/kvfake"
	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// put writes a key to the key-value service.
func put(c *qt.C, service *kvfake.Service, key string, value []byte) {
	_, err := service.Store().Commit(context.Background(), kv.Txn{Then: []kv.Op{{Kind: kv.OpPut, Key: key, Value: value}}})
	c.Assert(err, qt.IsNil)
}

// TestLegacyBillsAreContinued folds on top of the totals, deduplication set and guard key of an older release with a
// single scope.
func TestLegacyBillsAreContinued(t *testing.T) {
	c := qt.New(t)
	service := kvfake.New()
	billed, stale := []byte("billed-befor"), []byte("billed-too-l")
	total := &billingpb.Totals{Sums: []*billingpb.Sum{sum("a", 20_000, 9), sum("keyed", 20_000, 2)}}
	for bucket, s := range total.Sums {
		value, err := proto.Marshal(&billingpb.Totals{Sums: []*billingpb.Sum{s}})
		c.Assert(err, qt.IsNil)
		put(c, service, fmt.Sprintf("bill/total/0020000/%02d", bucket), value)
	}
	put(c, service, fmt.Sprintf("bill/seen/%012d-x", now.Add(-time.Hour).Unix()), billed)
	put(c, service, fmt.Sprintf("bill/seen/%012d-x", now.Add(-25*time.Hour).Unix()), stale)
	put(c, service, "bill/turn", nil)
	for i, prefix := range []string{"", shard.Prefix()} {
		segment := &billingpb.Segment{Sums: []*billingpb.Sum{sum("a", 20_000, 5)}}
		for _, id := range [][]byte{billed, stale, []byte("not yet seen")} {
			segment.Keyed = append(segment.Keyed, &billingpb.Keyed{Id: id, Sum: sum("keyed", 20_000, 1)})
		}
		c.Assert(putSegment(service, fmt.Sprint(prefix, "i/", i), segment), qt.IsNil)
	}
	c.Assert(foldUntilDone(service), qt.IsNil)
	counts, err := requests(service, 20_000)
	c.Assert(err, qt.IsNil)
	c.Assert(counts, qt.DeepEquals, map[string]int64{"a": 9 + 5 + 5, "keyed": 2 + 2})
}

// TestLegacyAggregatorConflictsWithKeyedScope has an older release record a request after the state of a keyed scope
// was read. The fold must fail with ErrConflict, and the request must not be billed twice.
func TestLegacyAggregatorConflictsWithKeyedScope(t *testing.T) {
	c := qt.New(t)
	service := kvfake.New()
	aggregator := newAggregator(service, billfold.KeyedScope(3), billfold.Options{})
	key := []byte("both at once")
	keyed := func(id string) *billingpb.Segment {
		return &billingpb.Segment{Keyed: []*billingpb.Keyed{{Id: []byte(id), Sum: sum("keyed", 20_000, 1)}}}
	}
	c.Assert(putSegment(service, "bill/keyed/03/a", keyed("another one.")), qt.IsNil)
	_, err := aggregator.FoldOnce(context.Background(), now)
	c.Assert(err, qt.IsNil)
	put(c, service, fmt.Sprintf("bill/seen/%012d-x", now.Unix()), key)
	put(c, service, "bill/turn", nil)
	c.Assert(putSegment(service, "bill/keyed/03/b", keyed(string(key))), qt.IsNil)
	_, err = aggregator.FoldOnce(context.Background(), now)
	var conflict *billfold.ErrConflict
	c.Assert(err, qt.ErrorAs, &conflict)
	_, err = aggregator.FoldOnce(context.Background(), now)
	c.Assert(err, qt.IsNil)
	counts, err := requests(service, 20_000)
	c.Assert(err, qt.IsNil)
	c.Assert(counts, qt.DeepEquals, map[string]int64{"keyed": 1})
}

// TestNodesShareScopes has six nodes fold for an hour. Two of them don't see each other, and one stops while the others
// still consider it live, so that a standby node must fold in its place.
func TestNodesShareScopes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		service := kvfake.New()
		all := []api.NodeID{"n0", "n1", "n2", "n3", "n4", "n5"}
		lists := [][]api.NodeID{append(all[:1:1], all[2:]...), all[1:], all, all, all, all}
		var runners sync.WaitGroup
		var stops []context.CancelFunc
		for i, list := range lists {
			ctx, stop := context.WithCancel(context.Background())
			stops = append(stops, stop)
			runner := billfold.NewRunner(billfold.RunnerOptions{
				Store: service.Store(), Node: all[i], Nodes: func() []api.NodeID { return list }, Log: quiet,
			})
			runners.Go(func() { _ = runner.Run(ctx) })
		}
		const segments = 100
		for i := range segments {
			incarnation := api.Incarnation(fmt.Sprint("i", i%40))
			segment := &billingpb.Segment{
				Sums:  []*billingpb.Sum{sum("a", 20_000, 1)},
				Keyed: []*billingpb.Keyed{{Id: fmt.Appendf(nil, "%012d", i/2), Sum: sum("keyed", 20_000, 1)}},
			}
			c.Assert(putSegment(service, fmt.Sprint(billing.ShardOf(incarnation).Prefix(), incarnation, "/", i), segment), qt.IsNil)
			time.Sleep(40 * time.Second)
			if i == segments/2 {
				stops[5]()
			}
		}
		time.Sleep(2 * time.Minute)
		for _, stop := range stops {
			stop()
		}
		runners.Wait()
		counts, err := requests(service, 20_000)
		c.Assert(err, qt.IsNil)
		c.Assert(counts, qt.DeepEquals, map[string]int64{"a": segments, "keyed": segments / 2})
	})
}
