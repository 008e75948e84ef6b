package report

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of every error of the package.
var Error = errs.Class("report")

// WriteJSON writes the report as JSON; durations are nanoseconds.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return Error.Wrap(encoder.Encode(r))
}

// WriteTable writes the report for people.
func (r *Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	v := r.Verdict
	fmt.Fprintf(table, "fleet %s, seed %d, speed %g, took %s\n\n", r.Fleet, r.Seed, r.Speed, r.Took.Round(time.Millisecond))
	for _, row := range []struct {
		name  string
		value any
	}{
		{"requests", v.Requests},
		{"answered", v.Answered},
		{"refused, not run", v.RefusedNotRun},
		{"refused, may have run", v.RefusedMayHaveRun},
		{"refused, ran", v.RefusedRan},
		{"repeated", orUnknown(v.HasRuns, v.Repeated)},
		{"lost", v.Lost},
		{"cut", v.Cut},
		{"barred after two deaths", v.Barred},
		{"repeated text", v.RepeatedText},
		{"wrong text", v.Wrong},
		{"double runs", orUnknown(v.HasRuns, v.DoubleRuns)},
		{"false not run", orUnknown(v.HasRuns, v.FalseNotRun)},
		{"double bills", orUnknown(v.HasBills, v.DoubleBills)},
		{"moved sessions", v.MovedSessions},
		{"unbilled", orUnknown(v.HasBills, v.Unbilled)},
		{"resumes, restarts, retries", fmt.Sprintf("%d, %d, %d", r.Resumes, r.Restarts, r.Retries)},
		{"tokens", r.Tokens},
		{"cost", fmt.Sprintf("%.4f USD", float64(r.Cost)/1e6)},
		{"exposure", strconv.Itoa(r.Exposure)},
		{"quality", fmt.Sprintf("%.3f", float64(r.Quality))},
	} {
		fmt.Fprintf(table, "%s\t%v\n", row.name, row.value)
	}
	for _, reason := range slices.Sorted(maps.Keys(r.Refusals)) {
		fmt.Fprintf(table, "refused for %s\t%d\n", reason, r.Refusals[reason])
	}
	for _, used := range r.Resources {
		fmt.Fprintf(table, "after %d calls\t%.1f MB heap, %d goroutines\n", used.Calls, float64(used.HeapBytes)/1e6, used.Goroutines)
	}
	fmt.Fprintf(table, "\nteam\tservice\twhat\tcount\tp50\tp95\tp99\tmax\n")
	for _, l := range r.Latencies {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\n", orAll(string(l.Team)), orAll(string(l.Service)), l.What, l.Count,
			brief(l.P50), brief(l.P95), brief(l.P99), brief(l.Max))
	}
	if err := table.Flush(); err != nil {
		return Error.Wrap(err)
	}
	return r.writeBroken(w)
}

func (r *Report) writeBroken(w io.Writer) error {
	if len(r.Broken) == 0 {
		_, err := fmt.Fprintln(w, "\nevery promise was kept")
		return Error.Wrap(err)
	}
	fmt.Fprintln(w, "\nBROKEN PROMISES")
	for _, broken := range append(slices.Clone(r.Broken), r.Verdict.Examples...) {
		fmt.Fprintln(w, "  "+broken)
	}
	return nil
}

// orUnknown returns a count, or says that it is not known.
func orUnknown(known bool, count int) string {
	if !known {
		return "unknown"
	}
	return strconv.Itoa(count)
}

func orAll(name string) string {
	if name == "" {
		return "(all)"
	}
	return name
}

// brief rounds a duration to what a reader compares.
func brief(d time.Duration) time.Duration {
	switch {
	case d >= 10*time.Second:
		return d.Round(100 * time.Millisecond)
	case d >= time.Second:
		return d.Round(10 * time.Millisecond)
	case d >= 10*time.Millisecond:
		return d.Round(100 * time.Microsecond)
	default:
		return d.Round(time.Microsecond)
	}
}
