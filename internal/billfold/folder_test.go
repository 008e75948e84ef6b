package billfold_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/monsoonrail/monsoonrail/internal/billfold"
	"github.com/monsoonrail/monsoonrail/internal/billing"
	"github.com/monsoonrail/monsoonrail/internal/billing/billingpb"
	"github.com/monsoonrail/monsoonrail/internal/fake/kvfake"
	"github.com/monsoonrail/monsoonrail/internal/kv"
)

var (
	quiet = &log.Logger{Handler: discard.New()}
	now   = time.Unix(20_000*24*3600+100, 0)
)

func newAggregator(service *kvfake.Service, scope billfold.Scope, opts billfold.Options) *billfold.Aggregator {
	opts.Store, opts.Scope, opts.Log = service.Store(), scope, quiet
	return billfold.New(opts)
}

// shard is the shard that the tests' segments are in.
const shard billing.Shard = 7

// scopes returns the scopes that the tests' segments pass through, in the order in which a keyed request passes them.
func scopes() []billfold.Scope {
	return append([]billfold.Scope{billfold.LegacyScope(), billfold.ShardScope(shard)}, billfold.AllScopes()[1+billing.ShardCount:]...)
}

// putSegment writes a segment as a node of an older release does, or in the shard if the key begins with its prefix.
func putSegment(service *kvfake.Service, key string, segment *billingpb.Segment) error {
	value, err := proto.Marshal(segment)
	if err != nil {
		return err
	}
	if !strings.HasPrefix(key, "bill/") {
		key = billing.LegacySegmentPrefix + key
	}
	_, err = service.Store().Commit(context.Background(), kv.Txn{Then: []kv.Op{{Kind: kv.OpPut, Key: key, Value: value}}})
	return err
}

func sum(team string, day, requests int64) *billingpb.Sum {
	return &billingpb.Sum{Team: team, Service: "redaccion", Model: "m", Version: "v1", Day: day, Requests: requests, CostMicroUsd: 3 * requests}
}

// foldUntilDone folds without faults until nothing is left.
func foldUntilDone(service *kvfake.Service) error {
	for _, scope := range scopes() {
		aggregator := newAggregator(service, scope, billfold.Options{})
		for more := true; more; {
			var err error
			if more, err = aggregator.FoldOnce(context.Background(), now); err != nil {
				return err
			}
		}
	}
	return nil
}

// requests returns the folded requests by team and checks their cost.
func requests(service *kvfake.Service, day int64) (map[string]int64, error) {
	totals, err := billfold.Totals(context.Background(), service.Store(), day)
	counts := map[string]int64{}
	for _, t := range totals {
		counts[string(t.Team)] += t.Requests
		if int64(t.Cost) != 3*t.Requests {
			return nil, fmt.Errorf("team %s: %d requests cost %d", t.Team, t.Requests, t.Cost)
		}
	}
	return counts, err
}

// TestEachSegmentIsFoldedOnce folds random segments with two sets of Aggregators that crash and whose calls fail before
// or after they take effect. Each segment and each keyed request must count exactly once.
func TestEachSegmentIsFoldedOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		service := kvfake.New()
		want := map[string]int64{}
		keyed := map[byte]bool{}
		var aggregators [2]map[billfold.Scope]*billfold.Aggregator
		for which := range aggregators {
			aggregators[which] = make(map[billfold.Scope]*billfold.Aggregator)
			for _, scope := range scopes() {
				aggregators[which][scope] = newAggregator(service, scope, billfold.Options{})
			}
		}
		for step := range rapid.IntRange(1, 60).Draw(rt, "steps") {
			which := rapid.IntRange(0, 1).Draw(rt, "folder")
			// Half of the folds are in the scopes that segments are written to.
			scope := rapid.SampledFrom(append(scopes(), slices.Repeat(scopes()[:2], 8)...)).Draw(rt, "scope")
			switch rapid.SampledFrom([]string{"segment", "segment", "fold", "fold", "crash", "fault"}).Draw(rt, "act") {
			case "segment":
				team := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "team")
				segment := &billingpb.Segment{First: uint64(step), Last: uint64(step), Sums: []*billingpb.Sum{sum(team, 20_000, 5)}}
				want[team] += 5
				for _, key := range rapid.SliceOfN(rapid.Byte(), 0, 3).Draw(rt, "keyed") {
					segment.Keyed = append(segment.Keyed, &billingpb.Keyed{Id: []byte{key, 1}, Sum: sum("keyed", 20_000, 1)})
					if !keyed[key] {
						keyed[key] = true
						want["keyed"]++
					}
				}
				prefix := rapid.SampledFrom([]string{"", shard.Prefix()}).Draw(rt, "prefix")
				if err := putSegment(service, fmt.Sprintf("%si%d/%d", prefix, which, step), segment); err != nil {
					rt.Fatal(err)
				}
			case "fold":
				_, _ = aggregators[which][scope].FoldOnce(context.Background(), now)
			case "crash":
				aggregators[which][scope] = newAggregator(service, scope, billfold.Options{})
			case "fault":
				kind := rapid.SampledFrom([]kvfake.CallKind{kvfake.CallRead, kvfake.CallWrite}).Draw(rt, "kind")
				fault := rapid.IntRange(int(kvfake.FaultNoLeader), int(kvfake.FaultLoseResponse)).Draw(rt, "fault")
				// The segment is written by a separate call, which must not fail.
				service.FailNext(kind, kvfake.Fault(fault), 1)
				_, _ = aggregators[which][scope].FoldOnce(context.Background(), now)
				service.EndOutage()
			}
		}
		if err := foldUntilDone(service); err != nil {
			rt.Fatal(err)
		}
		got, err := requests(service, 20_000)
		if err != nil || fmt.Sprint(got) != fmt.Sprint(want) {
			rt.Fatalf("folded %v, want %v, error %v", got, want, err)
		}
	})
}

// TestFoldCrashAtEachStep fails each call of a pass over the scopes in turn, before and after it takes effect.
func TestFoldCrashAtEachStep(t *testing.T) {
	for _, fault := range []kvfake.Fault{kvfake.FaultLoseRequest, kvfake.FaultLoseResponse} {
		for step := range 100 {
			c := qt.New(t)
			service := kvfake.New()
			for i := range 40 {
				segment := &billingpb.Segment{
					Sums:  []*billingpb.Sum{sum(fmt.Sprint("team-", i), 20_000+int64(i%3), 2)},
					Keyed: []*billingpb.Keyed{{Id: []byte{byte(i / 2)}, Sum: sum("keyed", 20_000, 1)}},
				}
				prefix := []string{"", shard.Prefix()}[i%2]
				c.Assert(putSegment(service, fmt.Sprintf("%si/%02d", prefix, i), segment), qt.IsNil)
			}
			calls := 0
			service.SetFault(func(kvfake.CallKind) kvfake.Fault {
				calls++
				if calls == step+1 {
					return fault
				}
				return kvfake.FaultNone
			})
			for _, scope := range scopes() {
				_, _ = newAggregator(service, scope, billfold.Options{}).FoldOnce(context.Background(), now)
			}
			service.EndOutage()
			c.Assert(foldUntilDone(service), qt.IsNil)
			total := int64(0)
			for day := range int64(3) {
				counts, err := requests(service, 20_000+day)
				c.Assert(err, qt.IsNil)
				if day == 0 {
					c.Assert(counts["keyed"], qt.Equals, int64(20))
				}
				for _, n := range counts {
					total += n
				}
			}
			c.Assert(total, qt.Equals, int64(80+20))
		}
	}
}

func TestDedupSetIsBoundedAndExpires(t *testing.T) {
	c := qt.New(t)
	service := kvfake.New()
	ctx := context.Background()
	aggregator := newAggregator(service, billfold.KeyedScope(3), billfold.Options{MaxKeyedRequests: 50})
	at := now
	for i := range 30 {
		segment := &billingpb.Segment{}
		for j := range 10 {
			segment.Keyed = append(segment.Keyed, &billingpb.Keyed{Id: []byte{byte(i), byte(j)}, Sum: sum("t", 20_000, 1)})
		}
		c.Assert(putSegment(service, fmt.Sprint("bill/keyed/03/i/", i), segment), qt.IsNil)
		_, err := aggregator.FoldOnce(ctx, at)
		c.Assert(err, qt.IsNil)
		at = at.Add(time.Minute)
	}
	listed, err := service.Store().List(ctx, kv.ListOptions{Prefix: "bill/seen-of/03/"})
	c.Assert(err, qt.IsNil)
	c.Assert(listed.Pairs, qt.HasLen, 5)
	at = at.Add(billfold.DefaultDedupWindow)
	c.Assert(putSegment(service, "bill/keyed/03/i/last", &billingpb.Segment{Sums: []*billingpb.Sum{sum("t", 20_000, 1)}}), qt.IsNil)
	_, err = aggregator.FoldOnce(ctx, at)
	c.Assert(err, qt.IsNil)
	listed, err = service.Store().List(ctx, kv.ListOptions{Prefix: "bill/seen-of/03/"})
	c.Assert(err, qt.IsNil)
	c.Assert(listed.Pairs, qt.HasLen, 0)
}

// TestUnreadableSegment checks that an unreadable segment is moved away and does not stop the folding of others.
func TestUnreadableSegment(t *testing.T) {
	c := qt.New(t)
	service := kvfake.New()
	ctx := context.Background()
	_, err := service.Store().Commit(ctx, kv.Txn{Then: []kv.Op{{Kind: kv.OpPut, Key: billing.LegacySegmentPrefix + "a/1", Value: []byte("\xff")}}})
	c.Assert(err, qt.IsNil)
	c.Assert(putSegment(service, "b/1", &billingpb.Segment{Sums: []*billingpb.Sum{sum("t", 20_000, 1)}}), qt.IsNil)
	c.Assert(foldUntilDone(service), qt.IsNil)
	counts, err := requests(service, 20_000)
	c.Assert(err, qt.IsNil)
	c.Assert(counts, qt.DeepEquals, map[string]int64{"t": 1})
	kept, err := service.Store().Get(ctx, "bill/unreadable/a/1")
	c.Assert(err, qt.IsNil)
	c.Assert(string(kept.Value), qt.Equals, "\xff")
}

// FuzzSegment folds arbitrary bytes as a segment.
func FuzzSegment(f *testing.F) {
	value, err := proto.Marshal(&billingpb.Segment{Sums: []*billingpb.Sum{sum("t", 1, 1)}, Keyed: []*billingpb.Keyed{{Id: []byte{1}}}})
	qt.Assert(f, err, qt.IsNil)
	f.Add(value)
	f.Fuzz(func(t *testing.T, value []byte) {
		service := kvfake.New()
		_, err := service.Store().Commit(context.Background(), kv.Txn{
			Then: []kv.Op{{Kind: kv.OpPut, Key: billing.LegacySegmentPrefix + "a/1", Value: value}},
		})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, foldUntilDone(service), qt.IsNil)
	})
}

// BenchmarkFold folds a segment as a node writes it every ten seconds at the target load: ten teams with seventeen
// versions each and seventeen keyed requests.
func BenchmarkFold(b *testing.B) {
	segment := &billingpb.Segment{First: 1, Last: 1700}
	for team := range 10 {
		for version := range 17 {
			s := sum(fmt.Sprint("team-", team), 20_000, 10)
			s.Version = fmt.Sprint("v", version)
			segment.Sums = append(segment.Sums, s)
		}
	}
	service := kvfake.New()
	aggregator := newAggregator(service, billfold.ShardScope(shard), billfold.Options{})
	b.ReportAllocs()
	for i := range b.N {
		segment.Keyed = nil
		for j := range 17 {
			segment.Keyed = append(segment.Keyed, &billingpb.Keyed{Id: fmt.Append(nil, i, "-", j), Sum: sum("t", 20_000, 1)})
		}
		if err := putSegment(service, fmt.Sprintf("%si/%09d", shard.Prefix(), i), segment); err != nil {
			b.Fatal(err)
		}
		if i%32 == 31 {
			if _, err := aggregator.FoldOnce(context.Background(), now); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(float64(proto.Size(segment)), "bytes/segment")
}
