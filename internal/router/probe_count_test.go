package router

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/silence"
)

// TestNodePausesDoNotCountAgainstServers checks that probes which failed while the node was paused don't count against the
// server, but that only a bounded number of them is ignored.
func TestNodePausesDoNotCountAgainstServers(t *testing.T) {
	const late = 2 * silence.ProbeTimeout
	var probes probeCount
	for range maxInconclusiveProbes {
		probes.add(late, silence.ProbeTimeout)
	}
	probes.add(0, silence.ProbeTimeout)
	qt.Check(t, probes.isUnreachable(), qt.IsFalse)
	probes.add(silence.ProbeTimeout, silence.ProbeTimeout)
	qt.Check(t, probes.isUnreachable(), qt.IsTrue)

	probes = probeCount{}
	for range maxInconclusiveProbes + maxProbes {
		qt.Check(t, probes.isUnreachable(), qt.IsFalse)
		probes.add(late, silence.ProbeTimeout)
	}
	qt.Check(t, probes.isUnreachable(), qt.IsTrue)
}
