package cmd

import (
	"runtime/debug"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestGCPercentFromEnvironmentIsKept checks that GOGC takes precedence over gcPercent. It restores the GC percentage of the process.
func TestGCPercentFromEnvironmentIsKept(t *testing.T) {
	before := debug.SetGCPercent(150)
	defer debug.SetGCPercent(before)
	t.Setenv(gcVariable, "150")
	setGCPercent()
	qt.Check(t, debug.SetGCPercent(150), qt.Equals, 150)
	t.Setenv(gcVariable, "")
	setGCPercent()
	qt.Check(t, debug.SetGCPercent(150), qt.Equals, gcPercent)
}
