package experiment

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/load"
	"github.com/monsoonrail/monsoonrail/internal/report"
)

// Files of a report.
const (
	fileReport       = "report.md"
	fileRaw          = "report.json"
	fileDistribution = "latency.svg"
	fileOverTime     = "latency-over-time.svg"
	fileCost         = "cost-and-quality.svg"
)

// call is one call in the raw JSON.
type call struct {
	Team     string
	Service  string
	Class    string `json:",omitempty"`
	Due      time.Duration
	Latency  time.Duration
	Answered bool
	Reason   string `json:",omitempty"`
	Version  string `json:",omitempty"`
	Tries    int
	Resumes  int `json:",omitempty"`
}

// rawRun is one run in the raw JSON.
type rawRun struct {
	Variant string
	Seed    uint64
	Report  *report.Report
	Calls   []call
}

// Write writes a report into a folder: Markdown with plots, and all figures as JSON.
func Write(folder string, spec *Spec, runs []Run) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return Error.Wrap(err)
	}
	if err := writeRaw(filepath.Join(folder, fileRaw), runs); err != nil {
		return err
	}
	if err := writePlots(folder, spec, runs); err != nil {
		return err
	}
	return Error.Wrap(os.WriteFile(filepath.Join(folder, fileReport), []byte(text(spec, runs)), 0o644))
}

func writeRaw(path string, runs []Run) error {
	var raw []rawRun
	for _, run := range runs {
		next := rawRun{Variant: run.Variant, Seed: run.Seed, Report: run.Report}
		for i := range run.Report.Results {
			next.Calls = append(next.Calls, rawCall(&run.Report.Results[i]))
		}
		raw = append(raw, next)
	}
	encoded, err := json.Marshal(raw)
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(path, encoded, 0o644))
}

func rawCall(result *load.Result) call {
	return call{
		Team: string(result.Entry.Team), Service: string(result.Entry.Service), Class: string(result.Entry.Class),
		Due: result.Due, Latency: result.Latency, Answered: result.Answered, Reason: string(result.Reason),
		Version: result.Version.String(), Tries: result.Tries, Resumes: result.Resumes,
	}
}

func writePlots(folder string, spec *Spec, runs []Run) error {
	var points []report.Point
	for _, run := range runs {
		points = append(points, report.Point{
			Series: run.Variant, CostPerCall: costPerCall(run.Report), Quality: float64(run.Report.Quality),
		})
	}
	all := series(spec, runs)
	if err := report.PlotDistribution(filepath.Join(folder, fileDistribution), spec.Name+": time to the answer", all); err != nil {
		return err
	}
	if err := report.PlotOverTime(filepath.Join(folder, fileOverTime), spec.Name+": over time", all, marks(spec)); err != nil {
		return err
	}
	return report.PlotCost(filepath.Join(folder, fileCost), spec.Name+": cost and quality", points)
}

// series gathers each variant's calls over all seeds.
func series(spec *Spec, runs []Run) []report.Series {
	var all []report.Series
	for _, variant := range spec.Variants {
		gathered := report.Series{Name: variant.Name}
		for _, run := range runs {
			if run.Variant == variant.Name {
				gathered.Results = append(gathered.Results, run.Report.Results...)
			}
		}
		all = append(all, gathered)
	}
	return all
}

func marks(spec *Spec) []report.Mark {
	speed := spec.Speed
	if speed == 0 {
		speed = 1
	}
	var found []report.Mark
	for _, fault := range spec.Faults {
		found = append(found, report.Mark{At: time.Duration(float64(fault.At) / speed), Text: string(fault.Kind)})
	}
	return found
}

// costPerCall returns the mean cost of an answered chat.
func costPerCall(made *report.Report) float64 {
	chats := 0
	for i := range made.Results {
		if made.Results[i].Answered && !made.Results[i].Version.IsZero() {
			chats++
		}
	}
	if chats == 0 {
		return 0
	}
	return float64(made.Cost) / float64(chats)
}

// text returns the report for people.
func text(spec *Spec, runs []Run) string {
	var out strings.Builder
	fmt.Fprintf(&out, "# %s\n\nTrace `%s`, configuration `%s`", spec.Name, spec.Trace, spec.Config)
	if spec.Shape != "" {
		fmt.Fprintf(&out, ", arrivals in the shape %s over %s", spec.Shape, spec.Span)
	}
	out.WriteString(". Latencies count from the time when a call was due.\n\n")
	out.WriteString("| variant | seed | requests | answered | refused | p50 | p95 | p99 | first token p95 | cost of a chat, µUSD | quality | broken |\n")
	out.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, run := range runs {
		made := run.Report
		answer, first := made.Find(report.WhatAnswer), made.Find(report.WhatFirstToken)
		fmt.Fprintf(&out, "| %s | %d | %d | %d | %d | %s | %s | %s | %s | %.1f | %.3f | %s |\n", run.Variant, run.Seed,
			made.Verdict.Requests, made.Verdict.Answered, made.Verdict.Refused(),
			rounded(answer.P50), rounded(answer.P95), rounded(answer.P99), rounded(first.P95),
			costPerCall(made), float64(made.Quality), strings.Join(made.Broken, "; "))
	}
	fmt.Fprintf(&out, "\n![Time to the answer](%s)\n\n![Over time](%s)\n\n![Cost and quality](%s)\n\nAll figures: [%s](%s).\n",
		fileDistribution, fileOverTime, fileCost, fileRaw, fileRaw)
	return out.String()
}

func rounded(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
