package router

import "time"

const (
	// nodePauseThreshold is the delay of a timer from which on the node itself counts as paused; a probe during a pause is
	// no evidence about its server.
	nodePauseThreshold = 200 * time.Millisecond
	// maxInconclusiveProbes bounds the probes that are ignored for pauses of the node, so that a node which is always late
	// detects a crashed server too.
	maxInconclusiveProbes = 4
)

// probeCount counts the failed probes of a server; the zero value has counted none.
type probeCount struct {
	failed int
	// inconclusive counts the probes during which the node was paused.
	inconclusive int
}

// add counts a failed probe by the time it took and its timeout.
func (c *probeCount) add(took, timeout time.Duration) {
	if took >= timeout+nodePauseThreshold && c.inconclusive < maxInconclusiveProbes {
		c.inconclusive++
		return
	}
	c.failed++
}

// isUnreachable reports whether enough probes failed for the server to count as unreachable.
func (c *probeCount) isUnreachable() bool { return c.failed >= maxProbes }
