package cmd

import (
	"os"
	"runtime/debug"
)

const (
	// collectorPercent is how much garbage, in hundredths of what is live, is let come up before it is collected. A collection
	// takes processors for some milliseconds, which shows in the slowest requests; a node's live heap is small.
	collectorPercent = 300
	// collectorVariable is the runtime's own, which an operator's environment may set instead.
	collectorVariable = "GOGC"
)

// setCollector sets the garbage collector of a process that serves requests, unless the environment does.
func setCollector() {
	if os.Getenv(collectorVariable) == "" {
		debug.SetGCPercent(collectorPercent)
	}
}
