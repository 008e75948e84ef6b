package cascade

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// TestMergeCountsEveryRatingOnce lets nodes exchange counters in any order and any number of times,
// and compares the estimates with those of counters that recorded all ratings directly.
func TestMergeCountsEveryRatingOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := []api.Incarnation{"a", "b", "c"}
		counters := map[api.Incarnation]*Counters{}
		for _, node := range nodes {
			counters[node] = NewCounters()
		}
		oracle := NewCounters()
		now := start
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			node := rapid.SampledFrom(nodes).Draw(t, "node")
			if rapid.Bool().Draw(t, "exchange") {
				peer := rapid.SampledFrom(nodes).Draw(t, "peer")
				counters[node].MergeFrom(counters[peer])
				continue
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "pause")) * time.Second)
			rating := RecordOptions{Service: "s", Class: "c", Arm: Arm{First: version(rapid.IntRange(0, 2).Draw(t, "version"))},
				Quality: api.Quality(rapid.IntRange(0, 10).Draw(t, "tenths")) / 10}
			counters[node].Record(node, rating, now)
			oracle.Record("all", rating, now)
		}
		for range 2 {
			for _, node := range nodes {
				for _, peer := range nodes {
					counters[node].Merge(counters[peer].Snapshot())
				}
			}
		}
		want := oracle.Estimates("", now)
		for _, node := range nodes {
			got := counters[node].Estimates("", now)
			for i := range 3 {
				key := Key{"s", "c", Arm{First: version(i)}}
				require(t, got.Find(key) == want.Find(key))
			}
			remote := NewCounters()
			remote.Merge(counters[node].Aggregate("domain"))
			remote.Merge(counters[node].Aggregate("domain"))
			for i := range 3 {
				key := Key{"s", "c", Arm{First: version(i)}}
				require(t, remote.Estimates("elsewhere", now).Find(key) == want.Find(key))
				require(t, remote.Estimates("domain", now).Find(key) == (Estimate{}))
			}
		}
	})
}

func TestDriftIsDetected(t *testing.T) {
	counters := NewCounters()
	now := start
	record := func(n int, qualities ...api.Quality) {
		for i := range n {
			counters.Record("i", RecordOptions{Service: "s", Class: "c", Arm: Arm{First: version(0)},
				Quality: qualities[i%len(qualities)]}, now)
			now = now.Add(3 * time.Second)
		}
	}
	key := Key{"s", "c", Arm{First: version(0)}}
	record(400, 0.8, 0.9, 1)
	qt.Assert(t, counters.Estimates("", now).Find(key).Drifted, qt.IsFalse)
	record(60, 0.5, 0.6, 0.7)
	est := counters.Estimates("", now).Find(key)
	qt.Assert(t, est.Drifted, qt.IsTrue)
	qt.Assert(t, est.Mean < 0.7, qt.IsTrue, qt.Commentf("%v", est.Mean))
}

func TestCountersAreBounded(t *testing.T) {
	counters := NewCounters()
	for i := range MaxKeys + 10 {
		counters.Record("i", RecordOptions{Service: "s", Class: "c", Arm: Arm{First: version(i)}, Quality: 1}, start)
	}
	qt.Assert(t, len(counters.Snapshot()), qt.Equals, MaxKeys)
	qt.Assert(t, counters.Dropped() > 0, qt.IsTrue)
}
