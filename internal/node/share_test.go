package node

import (
	"math"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/monsoonrail/monsoonrail/internal/admission"
	"github.com/monsoonrail/monsoonrail/internal/limit"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// TestRoundedUsage checks that rounding changes a report little, never makes it newer, and leaves a rounded report as it is:
// otherwise each node that forwards a report would make it count as changed.
func TestRoundedUsage(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		asOf := time.Date(2026, 12, 1, 12, 0, 0, rapid.IntRange(0, 999_999_999).Draw(rt, "nanoseconds"), time.FixedZone("here", 3600))
		used := rapid.Float64Range(0, 1e6).Draw(rt, "used")
		report := admission.UsageReport{Incarnation: "i", Usage: limit.TeamUsage{AsOf: asOf, Seconds: map[api.Team]float64{"a": used}}}
		once := roundedUsage(map[string]admission.UsageReport{"i": report})
		got := once["i"].Usage
		if math.Abs(got.Seconds["a"]-used) > 0.05*used+usageSecondsStep {
			rt.Fatalf("%v became %v", used, got.Seconds["a"])
		}
		if got.AsOf.After(asOf) || asOf.Sub(got.AsOf) >= usageTimeStep {
			rt.Fatalf("%v became %v", asOf, got.AsOf)
		}
		if twice := roundedUsage(once); !reflect.DeepEqual(twice, once) {
			rt.Fatalf("%v became %v", once, twice)
		}
		if report.Usage.Seconds["a"] != used {
			rt.Fatal("the report itself was changed")
		}
	})
}
