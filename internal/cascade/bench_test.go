package cascade

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// largeCounters returns counters as in a failure domain of 59 nodes with 17 versions and 6 classes.
func largeCounters() *Counters {
	counters := NewCounters()
	for node := range 59 {
		for class := range 6 {
			for v := range 17 {
				counters.Record(api.Incarnation(fmt.Sprint(node)), RecordOptions{
					Service: "s", Class: api.Class(fmt.Sprint(class)), Arm: Arm{First: version(v)}, Quality: 0.8,
				}, start)
			}
		}
	}
	return counters
}

func BenchmarkChoose(b *testing.B) {
	estimates := largeCounters().Estimates("", start)
	for name, allowCascade := range map[string]bool{"straight": false, "cascades": true} {
		b.Run(name, func(b *testing.B) {
			in := Input{
				Service: "s", Class: "1", Target: 0.8, Exploration: 0.05, Cascade: allowCascade, PromptTokens: 1000,
				AnswerTokens: 200, RatedInTimeShare: 0.5, Estimates: estimates, Rand: rand.New(rand.NewPCG(1, 1)),
			}
			for i := range 17 {
				in.Versions = append(in.Versions, EligibleVersion{
					Version: version(i), PromptCost: api.MicroUSD(10 + i), AnswerCost: 10, Share: 1, Prior: 0.8,
				})
			}
			b.ReportAllocs()
			for b.Loop() {
				Choose(in)
			}
		})
	}
}

func BenchmarkEstimates(b *testing.B) {
	counters := largeCounters()
	for b.Loop() {
		counters.Estimates("", start)
	}
}
