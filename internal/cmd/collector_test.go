package cmd

import (
	"runtime/debug"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestCollectorLeavesTheEnvironmentsChoice restores the percentage that the test's process had.
func TestCollectorLeavesTheEnvironmentsChoice(t *testing.T) {
	before := debug.SetGCPercent(150)
	defer debug.SetGCPercent(before)
	t.Setenv(collectorVariable, "150")
	setCollector()
	qt.Check(t, debug.SetGCPercent(150), qt.Equals, 150)
	t.Setenv(collectorVariable, "")
	setCollector()
	qt.Check(t, debug.SetGCPercent(150), qt.Equals, collectorPercent)
}
