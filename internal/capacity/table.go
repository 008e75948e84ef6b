package capacity

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Table returns a role's series as a table in Markdown.
func (r Role) Table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Measured by `%s`.\n\n", r.Command)
	b.WriteString("| what | over | points | line | R² | at | comes to | budget | carried by |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|\n")
	for _, s := range r.Series {
		fit := s.Fit()
		fmt.Fprintf(&b, "| %s | %s | %s | %s + %s x | %.3f | %s | %s %s | %s | %s |\n", s.Quantity, s.Over, formatPoints(s.Points),
			format(fit.Intercept), format(fit.Slope), fit.RSquared, s.formatTarget(), format(s.Expected()), s.Unit, s.formatBudget(), s.Mechanism)
	}
	return b.String()
}

func (s Series) formatTarget() string {
	if s.Times == 0 {
		return format(s.Target)
	}
	return format(s.Target) + ", times " + format(s.Times)
}

func (s Series) formatBudget() string {
	switch {
	case s.Budget == 0:
		return ""
	case s.Fits():
		return format(s.Budget) + ": fits"
	}
	return "**" + format(s.Budget) + ": does not fit**"
}

func formatPoints(points []Point) string {
	parts := make([]string, len(points))
	for i, p := range points {
		parts[i] = format(p.X) + ": " + format(p.Y)
	}
	return strings.Join(parts, ", ")
}

// format writes a number with three significant digits, large ones whole.
func format(v float64) string {
	if math.Abs(v) >= 100 {
		return strconv.FormatFloat(math.Round(v), 'f', -1, 64)
	}
	return strconv.FormatFloat(v, 'g', 3, 64)
}

// ReplaceTable puts a role's table between its markers in a page; ok is false if the page has none.
func ReplaceTable(page string, role Role) (replaced string, ok bool) {
	begin, end := marker("begin", role.Name), marker("end", role.Name)
	before, rest, found := strings.Cut(page, begin)
	if !found {
		return page, false
	}
	_, after, found := strings.Cut(rest, end)
	if !found {
		return page, false
	}
	return before + begin + "\n" + role.Table() + end + after, true
}

func marker(kind, role string) string { return fmt.Sprintf("<!-- %s %s -->", kind, role) }
