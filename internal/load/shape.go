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

// ErrUnknownShape means that no arrival shape has the given name.
type ErrUnknownShape struct{ Name Shape }

// Error implements error.
func (e *ErrUnknownShape) Error() string {
	return "unknown shape " + string(e.Name) + "; known are Steady, LessonStarts, NightlyBatch and MonthEnd"
}

// Shape is the name of a distribution of arrivals over a run.
type Shape string

const (
	// ShapeSteady has a constant rate.
	ShapeSteady Shape = "Steady"
	// ShapeLessonStarts has four lessons. Each begins with a burst at six times the rate of the rest of the lesson.
	ShapeLessonStarts Shape = "LessonStarts"
	// ShapeNightlyBatch has a low rate and, from 40% of the run on, a batch that starts abruptly and decays exponentially.
	ShapeNightlyBatch Shape = "NightlyBatch"
	// ShapeMonthEnd has a rate that rises to five times its start value and stays there.
	ShapeMonthEnd Shape = "MonthEnd"
)

// density returns the relative arrival rate at a fraction of the run, from 0 to 1; false if the shape is unknown.
func (s Shape) density(fraction float64) (float64, bool) {
	const lessons, burstFraction = 4, 0.1
	switch s {
	case ShapeSteady:
		return 1, true
	case ShapeLessonStarts:
		if math.Mod(fraction*lessons, 1) < burstFraction {
			return 6, true
		}
		return 1, true
	case ShapeNightlyBatch:
		if fraction < 0.4 {
			return 0.3, true
		}
		return 0.3 + 8*math.Exp(-10*(fraction-0.4)), true
	case ShapeMonthEnd:
		return min(1+5*fraction, 5), true
	}
	return 0, false
}

// densitySteps is the number of steps of the numerical integration of a density.
const densitySteps = 1000

// Reshape returns a copy of entries with random arrival times that are distributed over span according to a shape, in the same
// order. The error is ErrUnknownShape.
func Reshape(entries []trace.Entry, shape Shape, span time.Duration, seed uint64) ([]trace.Entry, error) {
	if _, ok := shape.density(0); !ok {
		return nil, Error.Wrap(&ErrUnknownShape{Name: shape})
	}
	sums := make([]float64, densitySteps+1)
	for i := range densitySteps {
		density, _ := shape.density(float64(i) / densitySteps)
		sums[i+1] = sums[i] + density
	}
	// A Poisson process conditioned on the number of arrivals: exponential gaps, scaled so that the process ends with the span.
	rng := rand.New(rand.NewPCG(seed, 2))
	arrivals := make([]float64, len(entries)+1)
	for i := range arrivals {
		arrivals[i] = rng.ExpFloat64()
		if i > 0 {
			arrivals[i] += arrivals[i-1]
		}
	}
	reshaped := append([]trace.Entry(nil), entries...)
	step := 0
	for i := range reshaped {
		mass := arrivals[i] / arrivals[len(entries)] * sums[densitySteps]
		for step < densitySteps-1 && sums[step+1] < mass {
			step++
		}
		fraction := (float64(step) + (mass-sums[step])/(sums[step+1]-sums[step])) / densitySteps
		reshaped[i].At = time.Duration(fraction * float64(span))
	}
	return reshaped, nil
}
