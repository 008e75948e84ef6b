package router

import "time"

const (
	// nodePauseThreshold is how late a timer is that fires while the node itself doesn't run. Beyond it a probe tells nothing of its server.
	nodePauseThreshold = 200 * time.Millisecond
	// maxInconclusiveProbes bounds the probes that tell nothing, so that a node which never runs in time finds a dead server too.
	maxInconclusiveProbes = 4
)

// probeCount counts the probes of a server that failed. The zero value has seen none.
type probeCount struct {
	failed int
	// inconclusive counts those during which the node stood still.
	inconclusive int
}

// add counts a failed probe that took a time of those it was given.
func (c *probeCount) add(took, given time.Duration) {
	if took >= given+nodePauseThreshold && c.inconclusive < maxInconclusiveProbes {
		c.inconclusive++
		return
	}
	c.failed++
}

// isUnreachable reports whether enough probes failed.
func (c *probeCount) isUnreachable() bool { return c.failed >= maxProbes }
