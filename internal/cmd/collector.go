package cmd

import (
	"os"
	"runtime/debug"

	"github.com/monsoonrail/monsoonrail/internal/connguard"
	"github.com/monsoonrail/monsoonrail/internal/setting"
)

const (
	// gcPercent is the value of GOGC that is set by default: a collection starts when the heap has grown by this percentage of the
	// live heap. Collections occupy processors for some milliseconds, which shows in the slowest requests, while a node's live
	// heap is small.
	gcPercent = 300
	// gcVariable is the environment variable of the Go runtime, which takes precedence over gcPercent.
	gcVariable = "GOGC"
)

// limitRuntime bounds the memory of the Go runtime by that of the process.
func limitRuntime(resources setting.Resources) {
	connguard.Resources{MemoryBytes: resources.MemoryBytes, MaxFiles: resources.MaxFiles}.LimitRuntime()
}

// setGCPercent applies gcPercent to the garbage collector of a process that serves requests, unless GOGC is set.
func setGCPercent() {
	if os.Getenv(gcVariable) == "" {
		debug.SetGCPercent(gcPercent)
	}
}
