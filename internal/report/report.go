// Package report makes tables, JSON and plots of what the callers of a run saw.
package report

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/monsoonrail/monsoonrail/internal/load"
	"github.com/monsoonrail/monsoonrail/internal/oracle"
	"github.com/monsoonrail/monsoonrail/internal/trace"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// shortest and longest bound the latencies that histograms tell apart.
	shortest = 10 * time.Microsecond
	longest  = time.Hour
	// digits is the number of significant digits of a latency.
	digits = 3
)

// Latency sums up the latencies of a set of calls.
type Latency struct {
	// Team and Service are empty where they are summed over.
	Team    api.Team    `json:",omitempty"`
	Service api.Service `json:",omitempty"`
	// What is what is timed: "Answer" to the whole answer, "FirstToken" to a stream's first token,
	// "Interval" between two tokens.
	What  string
	Count int64
	Mean  time.Duration
	P50   time.Duration
	P95   time.Duration
	P99   time.Duration
	Max   time.Duration
}

// Kinds of latencies.
const (
	WhatAnswer     = "Answer"
	WhatFirstToken = "FirstToken"
	WhatInterval   = "Interval"
)

// Report is what a run showed.
type Report struct {
	Fleet string
	Seed  uint64
	Speed float64
	// Took is the time from the first arrival to the last answer.
	Took     time.Duration
	Verdict  oracle.Verdict
	Refusals map[api.Reason]int
	// Resumes counts streams' connections after their first, Restarts texts that were begun anew,
	// and Retries the times that calls were sent after their first.
	Resumes  int
	Restarts int
	Retries  int
	Tokens   int
	// Cost is that of the answered chats by the configuration's prices.
	Cost api.MicroUSD
	// Quality is the mean true quality of the answered chats.
	Quality api.Quality
	// Exposure counts the chats that a version answered which had turned bad.
	Exposure  int `json:",omitempty"`
	Latencies []Latency
	// Resources are those of the whole process, stand-ins and records included, at even steps of the run.
	Resources []Resources `json:",omitempty"`
	// Bounds is what the run had to keep to, Broken what it broke.
	Bounds trace.Outcome
	Broken []string `json:",omitempty"`
	// Results are what the report was made of.
	Results []load.Result `json:"-"`
}

// Resources is what a process uses at a time.
type Resources struct {
	// Calls counts the calls that had ended.
	Calls      int
	HeapBytes  uint64
	Goroutines int
}

// MakeOptions is what a report is made of.
type MakeOptions struct {
	Header trace.Header
	Speed  float64
	Took   time.Duration
	Seen   oracle.Seen
	// CostOf returns what an answered chat costs; nil means nothing.
	CostOf func(result *load.Result) api.MicroUSD
}

// Make sums a run up.
func Make(opts MakeOptions) *Report {
	r := &Report{
		Fleet:    opts.Header.Fleet,
		Seed:     opts.Header.Seed,
		Speed:    opts.Speed,
		Took:     opts.Took,
		Verdict:  oracle.Judge(opts.Seen),
		Refusals: make(map[api.Reason]int),
		Bounds:   opts.Header.Outcome,
	}
	r.Broken = r.Verdict.Bounds(r.Bounds)
	chats := 0
	var quality float64
	for i := range opts.Seen.Results {
		result := &opts.Seen.Results[i]
		r.add(result)
		if result.Answered && result.Entry.Kind == trace.KindChat {
			chats++
			quality += float64(result.Quality)
			if opts.CostOf != nil {
				r.Cost += opts.CostOf(result)
			}
		}
	}
	if chats > 0 {
		r.Quality = api.Quality(quality / float64(chats))
	}
	r.Latencies = latencies(opts.Seen.Results)
	r.Results = opts.Seen.Results
	return r
}

func (r *Report) add(result *load.Result) {
	if result.Reason != "" {
		r.Refusals[result.Reason]++
	}
	r.Resumes += result.Resumes
	r.Restarts += result.Restarts
	r.Retries += max(result.Tries-1, 0)
	r.Tokens += result.Tokens
}

// latencyKey names a set of calls.
type latencyKey struct {
	team    api.Team
	service api.Service
	what    string
}

// latencies sums up the answered calls: all, then by service, then by team and service.
func latencies(results []load.Result) []Latency {
	sets := make(map[latencyKey]*hdrhistogram.Histogram)
	for i := range results {
		result := &results[i]
		if !result.Answered {
			continue
		}
		record(sets, result, WhatAnswer, result.Latency)
		if result.FirstToken > 0 {
			record(sets, result, WhatFirstToken, result.FirstToken)
		}
		for _, interval := range result.Intervals {
			record(sets, result, WhatInterval, interval)
		}
	}
	var sums []Latency
	for key, histogram := range sets {
		sums = append(sums, sum(key, histogram))
	}
	slices.SortFunc(sums, func(a, b Latency) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Service, b.Service), cmp.Compare(a.What, b.What))
	})
	return sums
}

func record(sets map[latencyKey]*hdrhistogram.Histogram, result *load.Result, what string, took time.Duration) {
	for _, key := range []latencyKey{
		{what: what},
		{service: result.Entry.Service, what: what},
		{team: result.Entry.Team, service: result.Entry.Service, what: what},
	} {
		histogram, ok := sets[key]
		if !ok {
			histogram = newHistogram()
			sets[key] = histogram
		}
		recordIn(histogram, took)
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(int64(shortest), int64(longest), digits)
}

// recordIn records a latency within the histogram's bounds, where it can't fail.
func recordIn(histogram *hdrhistogram.Histogram, took time.Duration) {
	_ = histogram.RecordValue(int64(min(max(took, shortest), longest)))
}

func sum(key latencyKey, histogram *hdrhistogram.Histogram) Latency {
	return Latency{
		Team:    key.team,
		Service: key.service,
		What:    key.what,
		Count:   histogram.TotalCount(),
		Mean:    time.Duration(histogram.Mean()),
		P50:     time.Duration(histogram.ValueAtQuantile(50)),
		P95:     time.Duration(histogram.ValueAtQuantile(95)),
		P99:     time.Duration(histogram.ValueAtQuantile(99)),
		Max:     time.Duration(histogram.Max()),
	}
}

// Find returns the latencies of a kind over all teams and services.
func (r *Report) Find(what string) Latency {
	for _, latency := range r.Latencies {
		if latency.Team == "" && latency.Service == "" && latency.What == what {
			return latency
		}
	}
	return Latency{What: what}
}
