package serverpace_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/route"
	"github.com/monsoonrail/monsoonrail/internal/serverpace"
	"github.com/monsoonrail/monsoonrail/internal/workload"
)

func threeModels() *route.ServiceInfo {
	return &route.ServiceInfo{Name: "chat", Engine: &route.Engine{Slots: 16, Cost: map[route.Model]float64{"small": 0.02, "medium": 0.1, "large": 0.5}}}
}

// TestReadingPrior checks that a larger model is taken to read more slowly before any answer.
func TestReadingPrior(t *testing.T) {
	var reading serverpace.Reading
	service := threeModels()
	small, large := reading.TokenWork(service, "small"), reading.TokenWork(service, "large")
	qt.Assert(t, large > 4*small, qt.IsTrue, qt.Commentf("small %f, large %f", small, large))
}

// TestReadingIsLearnt draws answers of a model that reads three times as slowly, or as fast, as was assumed, on servers that are at times 2.5 times slower.
func TestReadingIsLearnt(t *testing.T) {
	for name, nanosecondsPerToken := range map[string]float64{"slow": 60_000, "fast": 7_000} {
		t.Run(name, func(t *testing.T) {
			var reading serverpace.Reading
			service, random := threeModels(), rand.New(rand.NewPCG(1, 1))
			for range 60 {
				tokens := random.ExpFloat64() * 6000
				took := 40e6 + tokens*nanosecondsPerToken
				if random.Float64() < 0.15 {
					took *= 2.5
				}
				reading.Observe(service, "medium", int(tokens), 0, time.Duration(took))
			}
			ratio := reading.TokenWork(service, "medium") / nanosecondsPerToken
			qt.Assert(t, ratio > 0.75 && ratio < 1.5, qt.IsTrue, qt.Commentf("ratio %.2f", ratio))
		})
	}
}

// TestReadingBehindOthers checks that answers which waited behind other work don't count.
func TestReadingBehindOthers(t *testing.T) {
	var reading serverpace.Reading
	service := threeModels()
	before := reading.TokenWork(service, "medium")
	for range 60 {
		reading.Observe(service, "medium", 1000, workload.Work(2*time.Second), 2*time.Second)
	}
	qt.Assert(t, reading.TokenWork(service, "medium"), qt.Equals, before)
}
