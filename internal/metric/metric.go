// Package metric holds a node's counters, gauges and histograms and writes them as text that Prometheus reads.
package metric

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// sampleSize and sampleAlpha shape the sample behind each histogram, which favours the last five minutes.
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// quantiles are those that a histogram shows.
var quantiles = []float64{0.5, 0.95, 0.99}

// Label is one name and value of a series.
type Label struct {
	Name  string
	Value string
}

// microseconds ends the names of histograms of durations.
const microseconds = "_microseconds"

// usualSeries is the length of a series' name and labels that are found without an allocation.
const usualSeries = 128

// Set is a node's metrics.
type Set struct {
	registry metrics.Registry

	mu sync.RWMutex
	// found holds the series that were asked for, by name and labels: requests ask for a dozen of them each. A series is
	// never taken out of the registry.
	found map[string]any
}

// New returns an empty set.
func New() *Set { return &Set{registry: metrics.NewRegistry(), found: make(map[string]any)} }

// Registry returns the registry for packages that add series of their own.
func (s *Set) Registry() metrics.Registry { return s.registry }

// Counter returns the counter of a name and labels.
func (s *Set) Counter(name string, labels ...Label) metrics.Counter {
	return getOrRegister(s, series{name: name, labels: labels}, metrics.NewCounter)
}

// Gauge returns the gauge of a name and labels.
func (s *Set) Gauge(name string, labels ...Label) metrics.Gauge {
	return getOrRegister(s, series{name: name, labels: labels}, metrics.NewGauge)
}

// Histogram returns the histogram of a name and labels.
func (s *Set) Histogram(name string, labels ...Label) metrics.Histogram {
	return getOrRegister(s, series{name: name, labels: labels}, newHistogram)
}

func newHistogram() metrics.Histogram {
	return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
}

// ObserveDuration adds a duration, in microseconds, to the histogram of a name and labels.
func (s *Set) ObserveDuration(name string, took time.Duration, labels ...Label) {
	getOrRegister(s, series{name: name, suffix: microseconds, labels: labels}, newHistogram).Update(took.Microseconds())
}

func getOrRegister[M any](s *Set, wanted series, create func() M) M {
	var usual [usualSeries]byte
	key := wanted.append(usual[:0])
	s.mu.RLock()
	found, ok := s.found[string(key)].(M)
	s.mu.RUnlock()
	if ok {
		return found
	}
	made, ok := s.registry.GetOrRegister(string(key), create).(M)
	if !ok {
		// The name is that of another kind of metric.
		return made
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.found[string(key)] = made
	return made
}

// series is the name and the labels of one of the set's metrics.
type series struct {
	name, suffix string
	labels       []Label
}

// append appends name and labels as Prometheus writes them, which is the key of the registry.
func (s series) append(to []byte) []byte {
	to = append(append(to, s.name...), s.suffix...)
	for i, label := range s.labels {
		separator := byte(',')
		if i == 0 {
			separator = '{'
		}
		to = append(append(append(to, separator), label.Name...), '=')
		to = strconv.AppendQuote(to, label.Value)
	}
	if len(s.labels) > 0 {
		to = append(to, '}')
	}
	return to
}

// ServeHTTP writes every series.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	lines := s.lines()
	for _, line := range lines {
		_, _ = io.WriteString(w, line+"\n")
	}
}

func (s *Set) lines() []string {
	var lines []string
	s.registry.Each(func(key string, value any) {
		key = promName(key)
		switch m := value.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", key, m.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", key, m.Value()))
		case metrics.Histogram:
			lines = append(lines, histogramLines(key, m.Snapshot())...)
		}
	})
	sort.Strings(lines)
	return lines
}

// promName turns the dots of a name into underscores; labels stay as they are.
func promName(key string) string {
	name, labels, labelled := strings.Cut(key, "{")
	name = strings.NewReplacer(".", "_", "-", "_").Replace(name)
	if labelled {
		return name + "{" + labels
	}
	return name
}

func histogramLines(key string, h metrics.Histogram) []string {
	name, labels, _ := strings.Cut(strings.TrimSuffix(key, "}"), "{")
	prefix := labels
	if prefix != "" {
		prefix += ","
	}
	lines := make([]string, 0, len(quantiles)+2)
	for i, value := range h.Percentiles(quantiles) {
		lines = append(lines, fmt.Sprintf("%s{%squantile=\"%g\"} %g", name, prefix, quantiles[i], value))
	}
	suffix := ""
	if labels != "" {
		suffix = "{" + labels + "}"
	}
	lines = append(lines, fmt.Sprintf("%s_count%s %d", name, suffix, h.Count()))
	return append(lines, fmt.Sprintf("%s_sum%s %d", name, suffix, h.Sum()))
}
