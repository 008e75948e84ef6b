package memnet

import (
	"io"
	"time"
)

// Cut makes dials between two hosts fail at once and resets their open connections.
func (n *Network) Cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.updateBothLinks(a, b, func(s *linkState) { s.cut = true })
	n.resetConns(a, b)
}

// Blackhole makes dials between two hosts time out and silences their open connections.
func (n *Network) Blackhole(a, b string) {
	n.BlackholeDials(a, b)
	n.Silence(a, b)
}

// Refuse makes dials between two hosts be refused; open connections live on.
func (n *Network) Refuse(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.updateBothLinks(a, b, func(s *linkState) { s.refused = true })
}

// BlackholeDials makes dials between two hosts time out; open connections live on.
func (n *Network) BlackholeDials(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.updateBothLinks(a, b, func(s *linkState) { s.blackhole = true })
}

// Reset resets the open connections between two hosts; new connections work.
func (n *Network) Reset(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.resetConns(a, b)
}

// resetConns resets the open connections between two hosts; the caller holds n.mu.
func (n *Network) resetConns(a, b string) {
	for c := range n.conns {
		if c.connects(a, b) || c.connects(b, a) {
			c.reset()
		}
	}
}

// Heal ends Cut, Blackhole, BlackholeDials and Refuse for new connections; connections that are already reset or silent stay so.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.updateBothLinks(a, b, func(s *linkState) { s.cut, s.blackhole, s.refused = false, false, false })
}

// Silence drops all further bytes on the open connections between two hosts, and the ends of their streams; new connections work.
func (n *Network) Silence(a, b string) {
	n.SilenceOneWay(a, b)
	n.SilenceOneWay(b, a)
}

// SilenceOneWay is like Silence, but only for bytes from one host to the other.
func (n *Network) SilenceOneWay(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.connects(from, to) {
			c.out.silence()
		}
		if c.connects(to, from) {
			c.in.silence()
		}
	}
}

// Delay sets the one-way delay between two hosts, for dials and for open and new connections.
func (n *Network) Delay(a, b string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.updateBothLinks(a, b, func(s *linkState) { s.delay = d })
	for c := range n.conns {
		if c.connects(a, b) || c.connects(b, a) {
			c.in.setDelay(d)
			c.out.setDelay(d)
		}
	}
}

// LimitBandwidth bounds the bytes per second that a host sends, and those that it receives, over all connections opened from now on.
func (n *Network) LimitBandwidth(ip string, bytesPerSecond float64) {
	host := n.Host(ip)
	n.mu.Lock()
	defer n.mu.Unlock()
	host.uplink = &sharedLink{bytesPerSecond: bytesPerSecond}
	host.downlink = &sharedLink{bytesPerSecond: bytesPerSecond}
}

// Kill closes the host's listeners and resets its connections, as a crash of its process would. Peers of silent connections don't
// notice. The host may listen again at once.
func (n *Network) Kill(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if host := n.hosts[ip]; host != nil {
		for _, l := range host.listeners {
			l.close()
		}
	}
	for c := range n.conns {
		if c.local.IP.String() == ip {
			c.kill()
			delete(n.conns, c)
		}
	}
}

// kill closes this end and resets the peer's end unless the direction to the peer is silent.
func (c *conn) kill() {
	if !c.out.isSilent() {
		c.reset()
		return
	}
	c.in.closeReader(false)
	c.out.closeWriter(io.EOF)
}

func (n *Network) updateBothLinks(a, b string, change func(*linkState)) {
	for _, l := range []link{{a, b}, {b, a}} {
		state := n.links[l]
		change(&state)
		n.links[l] = state
	}
}

// connects reports whether c is the end at host "from" of a connection with host "to".
func (c *conn) connects(from, to string) bool {
	return c.local.IP.String() == from && c.remote.IP.String() == to
}
