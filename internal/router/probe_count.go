package router

import "time"

const (
	// ownPause is how late a timer is that fires while the node itself doesn't run. Beyond it a probe tells nothing of its server.
	ownPause = 200 * time.Millisecond
	// maxUntold bounds the probes that tell nothing, so that a node which never runs in time finds a dead server too.
	maxUntold = 4
)

// probeCount counts the probes of a server that failed. The zero value has seen none.
type probeCount struct {
	failed int
	// untold counts those during which the node stood still.
	untold int
}

// add counts a failed probe that took a time of those it was given.
func (c *probeCount) add(took, given time.Duration) {
	if took >= given+ownPause && c.untold < maxUntold {
		c.untold++
		return
	}
	c.failed++
}

// isDead reports whether enough probes failed.
func (c *probeCount) isDead() bool { return c.failed >= maxProbes }
