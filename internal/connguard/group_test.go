package connguard

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestRuntimeLimitLeavesRoomForTheProcess tells the limits of the Go runtime that leave a small process room, and those that the runtime needs itself.
func TestRuntimeLimitLeavesRoomForTheProcess(t *testing.T) {
	const mib = 1 << 20
	for memory, want := range map[int64]int64{
		0: 0, 32 * mib: 16 * mib, 48 * mib: 24 * mib, 64 * mib: 24 * mib, 88 * mib: 48 * mib, 100 * mib: 60 * mib, 1000 * mib: 600 * mib,
	} {
		qt.Check(t, Resources{MemoryBytes: memory}.runtimeLimit(), qt.Equals, want, qt.Commentf("%d MiB", memory/mib))
	}
}
