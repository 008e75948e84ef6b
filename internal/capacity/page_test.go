package capacity_test

import (
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/capacity"
)

// TestPageShowsTheFigures fails if the page's tables are not those of the figures.
func TestPageShowsTheFigures(t *testing.T) {
	text, err := os.ReadFile(page)
	qt.Assert(t, err, qt.IsNil)
	roles, err := capacity.Load(figures)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(roles) > 0, qt.IsTrue)
	made := string(text)
	for _, role := range roles {
		var ok bool
		made, ok = capacity.ReplaceTable(made, role)
		qt.Assert(t, ok, qt.IsTrue, qt.Commentf("the page has no place for %s", role.Name))
	}
	if *update {
		qt.Assert(t, os.WriteFile(page, []byte(made), 0o644), qt.IsNil)
		return
	}
	qt.Assert(t, string(text), qt.Equals, made)
}

func TestFitAndBudget(t *testing.T) {
	s := capacity.Series{Points: []capacity.Point{{X: 1, Y: 5}, {X: 2, Y: 7}, {X: 4, Y: 11}}, Target: 10, Budget: 23}
	qt.Assert(t, s.Fit(), qt.Equals, capacity.Fit{Intercept: 3, Slope: 2, RSquared: 1})
	qt.Assert(t, s.Expected(), qt.Equals, 23.0)
	qt.Assert(t, s.Fits(), qt.IsTrue)
	s.Times = 2
	qt.Assert(t, s.Expected(), qt.Equals, 46.0)
	qt.Assert(t, s.Fits(), qt.IsFalse)
}

// TestFitLineHasNoRoundingResidue fits proportional values: the intercept must be exactly 0 on every processor.
func TestFitLineHasNoRoundingResidue(t *testing.T) {
	points := []capacity.Point{{X: 5000, Y: 0.0579}, {X: 10000, Y: 0.1158}, {X: 20000, Y: 0.2316}, {X: 40000, Y: 0.4632}}
	qt.Assert(t, capacity.FitLine(points).Intercept, qt.Equals, 0.0)
}

func TestReplaceTable(t *testing.T) {
	role := capacity.Role{Name: "r", Command: "c"}
	made, ok := capacity.ReplaceTable("a\n<!-- begin r -->\nold\n<!-- end r -->\nb\n", role)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, made, qt.Equals, "a\n<!-- begin r -->\n"+role.Table()+"<!-- end r -->\nb\n")
	_, ok = capacity.ReplaceTable("nothing", role)
	qt.Assert(t, ok, qt.IsFalse)
}
