// Package metric holds a node's counters, gauges and histograms and serves them in the Prometheus text format.
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
	// sampleSize and sampleAlpha parametrise each histogram's exponentially decaying sample, which is weighted towards the last
	// five minutes.
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// quantiles lists the quantiles written for each histogram.
var quantiles = []float64{0.5, 0.95, 0.99}

// Label is a label of a series.
type Label struct {
	Name  string
	Value string
}

// microsecondsSuffix is appended to the names of duration histograms.
const microsecondsSuffix = "_microseconds"

// inlineKeyBytes is the length up to which the key of a series is built without an allocation.
const inlineKeyBytes = 128

// Set is the set of a node's metrics. It is safe for concurrent use.
type Set struct {
	registry metrics.Registry

	mu sync.RWMutex
	// cache maps the key of a series to the series, because each request looks up a dozen of them. Entries stay valid, as series
	// are never removed from the registry.
	cache map[string]any
}

// New returns an empty set of metrics.
func New() *Set { return &Set{registry: metrics.NewRegistry(), cache: make(map[string]any)} }

// Registry returns the underlying registry, for packages that register their own series.
func (s *Set) Registry() metrics.Registry { return s.registry }

// Counter returns the counter with the given name and labels and creates it if needed; it returns nil if the name belongs to another
// kind of metric.
func (s *Set) Counter(name string, labels ...Label) metrics.Counter {
	return getOrRegister(s, seriesID{name: name, labels: labels}, metrics.NewCounter)
}

// Gauge returns the gauge with the given name and labels and creates it if needed; it returns nil if the name belongs to another kind
// of metric.
func (s *Set) Gauge(name string, labels ...Label) metrics.Gauge {
	return getOrRegister(s, seriesID{name: name, labels: labels}, metrics.NewGauge)
}

// Histogram returns the histogram with the given name and labels and creates it if needed; it returns nil if the name belongs to
// another kind of metric.
func (s *Set) Histogram(name string, labels ...Label) metrics.Histogram {
	return getOrRegister(s, seriesID{name: name, labels: labels}, newHistogram)
}

func newHistogram() metrics.Histogram {
	return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
}

// ObserveDuration adds a duration, in microseconds, to the histogram with the given name, suffixed with _microseconds, and labels.
func (s *Set) ObserveDuration(name string, took time.Duration, labels ...Label) {
	getOrRegister(s, seriesID{name: name, suffix: microsecondsSuffix, labels: labels}, newHistogram).Update(took.Microseconds())
}

func getOrRegister[M any](s *Set, id seriesID, create func() M) M {
	var buffer [inlineKeyBytes]byte
	key := id.append(buffer[:0])
	s.mu.RLock()
	cached, ok := s.cache[string(key)].(M)
	s.mu.RUnlock()
	if ok {
		return cached
	}
	registered, ok := s.registry.GetOrRegister(string(key), create).(M)
	if !ok {
		// The name belongs to another kind of metric.
		return registered
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache[string(key)] = registered
	return registered
}

// seriesID identifies a series by its name, a suffix of the name and its labels.
type seriesID struct {
	name, suffix string
	labels       []Label
}

// append appends the registry's key of the series: its name and labels in the Prometheus text format.
func (s seriesID) append(to []byte) []byte {
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

// ServeHTTP implements http.Handler. It writes every series in the Prometheus text format.
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
		key = prometheusName(key)
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

// prometheusName replaces dots and hyphens in the name part of a key with underscores; labels are left unchanged.
func prometheusName(key string) string {
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
