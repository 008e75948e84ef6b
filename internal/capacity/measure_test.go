package capacity_test

import (
	"flag"
	"math"
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/capacity"
)

var (
	out    = flag.String("capacity.out", "", "measure at full length and write the figures to this directory")
	update = flag.Bool("update", false, "make the tables of the page anew from the figures")
	quiet  = &log.Logger{Handler: discard.New()}
)

const (
	figures = "../../docs/capacity"
	page    = "../../docs/CAPACITY.md"
)

// sizes are the values that a measurement varies its dimension over; a smoke run takes the two smallest.
func sizes(all ...int) []int {
	if *out == "" {
		return all[:2]
	}
	return all
}

// lasting is how long a measurement in virtual time goes on.
func lasting() time.Duration {
	if *out == "" {
		return 5 * time.Second
	}
	return time.Minute
}

// warmUp is how long the nodes of a system have to find each other and to tell all that they tell once a minute.
func warmUp() time.Duration {
	if *out == "" {
		return 10 * time.Second
	}
	return 70 * time.Second
}

// repeat returns how often a step is repeated to time it.
func repeat(full int) int {
	if *out == "" {
		return 1
	}
	return full
}

// finish checks a role's series and writes them if that was asked for.
func finish(t *testing.T, name, test string, series []capacity.Series) {
	t.Helper()
	role := capacity.Role{Name: name, Command: "go test ./internal/capacity -run " + test + " -capacity.out=/tmp/capacity", Series: series}
	for _, s := range series {
		qt.Check(t, len(s.Points) >= 2, qt.IsTrue, qt.Commentf("%s", s.Quantity))
		sum := 0.0
		for _, p := range s.Points {
			// What an idle time as long costs is taken off some quantities, and chance may make that more.
			sum += math.Abs(p.Y)
		}
		if *out != "" || !isOfMachine(s) {
			qt.Check(t, sum > 0, qt.IsTrue, qt.Commentf("%s was never seen", s.Quantity))
		}
	}
	t.Log("\n" + role.Table())
	if *out != "" {
		qt.Assert(t, os.MkdirAll(*out, 0o755), qt.IsNil)
		qt.Assert(t, capacity.Save(*out, role), qt.IsNil)
	}
}

// isOfMachine reports whether a quantity is processor time or heap, which a smoke run is too short to tell from nothing.
func isOfMachine(s capacity.Series) bool {
	return s.Unit == "of a core" || s.Unit == "cores" || s.Unit == "MB"
}

// processorTime returns what the process has used.
func processorTime(t *testing.T) time.Duration {
	var usage syscall.Rusage
	qt.Assert(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage), qt.IsNil)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// timed returns the processor time in microseconds of one of n steps.
func timed(t *testing.T, n int, step func()) float64 {
	before := processorTime(t)
	for range n {
		step()
	}
	return (processorTime(t) - before).Seconds() * 1e6 / float64(n)
}

// heap returns the bytes of live objects.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
