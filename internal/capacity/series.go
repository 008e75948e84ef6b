// Package capacity works out what each role of the system needs at the size it is to run at, from slopes measured on one
// machine. The measurements are tests, since they run whole clusters in virtual time; see `make capacity`.
package capacity

import (
	"math"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/stat"
)

// Point is one measurement: Y was seen at X.
type Point struct{ X, Y float64 }

// Fit is a straight line through points.
type Fit struct {
	Intercept, Slope float64
	// RSquared is the part of the variance that the line explains; 1 where all points lie on it.
	RSquared float64
}

// At returns the line's value at x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }

// roundingShare is the share of the largest value below which an intercept is a rounding error, which differs between processors.
const roundingShare = 1e-12

// FitLine returns the line of least squares through at least two points of unlike X.
func FitLine(points []Point) Fit {
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		xs[i], ys[i] = p.X, p.Y
	}
	intercept, slope := stat.LinearRegression(xs, ys, nil, false)
	if math.Abs(intercept) < roundingShare*floats.Norm(ys, math.Inf(1)) {
		intercept = 0
	}
	fit := Fit{Intercept: intercept, Slope: slope, RSquared: 1}
	if stat.Variance(ys, nil) > 0 {
		fit.RSquared = stat.RSquared(xs, ys, nil, intercept, slope)
	}
	return fit
}

// Series is one quantity measured over one dimension of the size, and what it comes to at the size to come.
type Series struct {
	// Quantity is what was measured, and Unit its unit.
	Quantity, Unit string
	// Over is the dimension that was varied.
	Over   string
	Points []Point
	// Target is Over's value at the size to come.
	Target float64
	// Times is how often the quantity arises there, in a second or in a node; 0 means once.
	Times float64 `json:",omitempty"`
	// Budget is the bound in Unit on what it comes to; 0 means none of its own.
	Budget float64 `json:",omitempty"`
	// Mechanism names what carries it, with its package.
	Mechanism string
}

// Fit returns the line through the points.
func (s Series) Fit() Fit { return FitLine(s.Points) }

// Expected returns what the quantity comes to at the target.
func (s Series) Expected() float64 {
	expected := s.Fit().At(s.Target)
	if s.Times != 0 {
		expected *= s.Times
	}
	return expected
}

// Fits reports whether the quantity stays in its budget; one without a budget does.
func (s Series) Fits() bool { return s.Budget == 0 || s.Expected() <= s.Budget }

// Role is what one role of the system needs.
type Role struct {
	// Name is also the name of its file.
	Name string
	// Command measures it again.
	Command string
	Series  []Series
}
