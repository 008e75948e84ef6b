package load

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/internal/trace"
)

// Error is the class of every error of the package.
var Error = errs.Class("load")

// ErrUnknownShape means that an arrival shape has an unknown name.
type ErrUnknownShape struct{ Name Shape }

// Error implements error.
func (e *ErrUnknownShape) Error() string {
	return "unknown shape " + string(e.Name) + "; known are Steady, LessonStarts, NightlyBatch and MonthEnd"
}

// Shape names how arrivals are spread over a run.
type Shape string

const (
	// ShapeSteady has the same rate all along.
	ShapeSteady Shape = "Steady"
	// ShapeLessonStarts has four lessons, each of which begins with a burst of six times the rate of the rest.
	ShapeLessonStarts Shape = "LessonStarts"
	// ShapeNightlyBatch has a low rate and, in the middle, a batch that comes almost at once and tails off.
	ShapeNightlyBatch Shape = "NightlyBatch"
	// ShapeMonthEnd has a rate that grows fivefold and stays there.
	ShapeMonthEnd Shape = "MonthEnd"
)

// density returns the rate at a part of the run, from 0 to 1, relative to other parts.
func (s Shape) density(part float64) (float64, bool) {
	const lessons, burst = 4, 0.1
	switch s {
	case ShapeSteady:
		return 1, true
	case ShapeLessonStarts:
		if math.Mod(part*lessons, 1) < burst {
			return 6, true
		}
		return 1, true
	case ShapeNightlyBatch:
		if part < 0.4 {
			return 0.3, true
		}
		return 0.3 + 8*math.Exp(-10*(part-0.4)), true
	case ShapeMonthEnd:
		return min(1+5*part, 5), true
	}
	return 0, false
}

// densitySteps is the number of steps over which a density is summed.
const densitySteps = 1000

// Reshape spreads the arrivals of entries over a time in a shape, at random, keeping their order.
func Reshape(entries []trace.Entry, shape Shape, span time.Duration, seed uint64) ([]trace.Entry, error) {
	if _, ok := shape.density(0); !ok {
		return nil, Error.Wrap(&ErrUnknownShape{Name: shape})
	}
	sums := make([]float64, densitySteps+1)
	for i := range densitySteps {
		density, _ := shape.density(float64(i) / densitySteps)
		sums[i+1] = sums[i] + density
	}
	// A Poisson process of a fixed count: exponential gaps, scaled to end with the span.
	rng := rand.New(rand.NewPCG(seed, 2))
	at := make([]float64, len(entries)+1)
	for i := range at {
		at[i] = rng.ExpFloat64()
		if i > 0 {
			at[i] += at[i-1]
		}
	}
	reshaped := append([]trace.Entry(nil), entries...)
	step := 0
	for i := range reshaped {
		mass := at[i] / at[len(entries)] * sums[densitySteps]
		for step < densitySteps-1 && sums[step+1] < mass {
			step++
		}
		part := (float64(step) + (mass-sums[step])/(sums[step+1]-sums[step])) / densitySteps
		reshaped[i].At = time.Duration(part * float64(span))
	}
	return reshaped, nil
}
