package memnet

// Pause withholds all that a host sends and receives until Resume, as if its process were suspended: connections can still be
// opened, but carry no data. Bytes that the host writes meanwhile arrive late, as those of a process do that was suspended
// between its last check and the write.
func (n *Network) Pause(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.paused[ip] = true
	n.updatePaused(ip)
}

// Resume ends Pause; the withheld bytes arrive at once and in order.
func (n *Network) Resume(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.paused, ip)
	n.updatePaused(ip)
}

// updatePaused pauses or resumes the connections of a host according to n.paused; the caller holds the network's lock.
func (n *Network) updatePaused(ip string) {
	for c := range n.conns {
		local, remote := c.local.IP.String(), c.remote.IP.String()
		if local != ip && remote != ip {
			continue
		}
		paused := n.paused[local] || n.paused[remote]
		c.in.setPaused(paused)
		c.out.setPaused(paused)
	}
}
