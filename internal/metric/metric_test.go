package metric_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/metric"
)

func TestTextFormat(t *testing.T) {
	set := metric.New()
	label := metric.Label{Name: "team", Value: `a.b "c"`}
	set.Counter("refusals", label).Inc(2)
	set.Counter("refusals", label).Inc(1)
	set.Gauge("answers.running-now").Update(-4)
	set.ObserveDuration("latency", 3*time.Millisecond, label)
	set.Histogram("cost").Update(7)
	recorder := httptest.NewRecorder()
	set.ServeHTTP(recorder, nil)
	qt.Check(t, recorder.Header().Get("Content-Type"), qt.Equals, "text/plain; version=0.0.4")
	qt.Check(t, recorder.Body.String(), qt.Equals, `answers_running_now -4
cost_count 1
cost_sum 7
cost{quantile="0.5"} 7
cost{quantile="0.95"} 7
cost{quantile="0.99"} 7
latency_microseconds_count{team="a.b \"c\""} 1
latency_microseconds_sum{team="a.b \"c\""} 3000
latency_microseconds{team="a.b \"c\"",quantile="0.5"} 3000
latency_microseconds{team="a.b \"c\"",quantile="0.95"} 3000
latency_microseconds{team="a.b \"c\"",quantile="0.99"} 3000
refusals{team="a.b \"c\""} 3
`)
}

// TestSeriesAreCached checks that repeated look-ups return the same series, and nil for the name of another kind of metric.
func TestSeriesAreCached(t *testing.T) {
	set := metric.New()
	labels := []metric.Label{{Name: "team", Value: `a"b`}, {Name: "reason", Value: strings.Repeat("long ", 100)}}
	for range 3 {
		set.Counter("refusals", labels...).Inc(1)
		set.ObserveDuration("latency", time.Second)
		set.Histogram("latency_microseconds").Update(1)
	}
	qt.Assert(t, set.Counter("refusals", labels...).Count(), qt.Equals, int64(3))
	qt.Assert(t, set.Counter("refusals", labels[1], labels[0]).Count(), qt.Equals, int64(0))
	qt.Assert(t, set.Histogram("latency_microseconds").Count(), qt.Equals, int64(6))
	qt.Assert(t, set.Gauge("latency_microseconds"), qt.IsNil)
}

func BenchmarkObserve(b *testing.B) {
	set := metric.New()
	team := metric.Label{Name: "team", Value: "lessons"}
	b.ReportAllocs()
	for b.Loop() {
		set.ObserveDuration("latency", time.Millisecond, team)
	}
}
