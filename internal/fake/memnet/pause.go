package memnet

// Pause holds all that a host sends and receives until Resume, as if its process stood still: connections open and new ones
// are taken, but nothing comes of them. What the host writes meanwhile arrives late, as the writes of a process do that
// stood still between its last check and the write.
func (n *Network) Pause(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.paused[ip] = true
	n.holdConns(ip)
}

// Resume ends Pause; what was held arrives at once and in order.
func (n *Network) Resume(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.paused, ip)
	n.holdConns(ip)
}

// holdConns holds or releases the connections of a host; the caller holds the network's lock.
func (n *Network) holdConns(ip string) {
	for c := range n.conns {
		local, remote := c.local.IP.String(), c.remote.IP.String()
		if local != ip && remote != ip {
			continue
		}
		held := n.paused[local] || n.paused[remote]
		c.in.hold(held)
		c.out.hold(held)
	}
}
