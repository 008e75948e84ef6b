package tcp

import (
	"context"
	"net"
	"sync/atomic"
)

// NotifyRemoteClose returns a network that calls onRemoteClose, with the "host:port" that was dialed, when the remote side closes a
// connection. A server that crashes closes all of its connections at once, the idle ones too. onRemoteClose must not block.
func NotifyRemoteClose(network Network, onRemoteClose func(address string)) Network {
	return notifyingNetwork{Network: network, onRemoteClose: onRemoteClose}
}

type notifyingNetwork struct {
	Network
	onRemoteClose func(address string)
}

// DialContext implements Network.
func (n notifyingNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := n.Network.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &notifyingConn{Conn: conn, onRemoteClose: func() { n.onRemoteClose(address) }}, nil
}

// notifyingConn calls onRemoteClose when the remote side closes the connection. It relies on http.Transport, which reads a connection even
// while it is idle.
type notifyingConn struct {
	net.Conn
	onRemoteClose func()
	// isClosed is set once either side has closed the connection.
	isClosed atomic.Bool
}

// Read implements net.Conn.
func (c *notifyingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil && c.isClosed.CompareAndSwap(false, true) {
		c.onRemoteClose()
	}
	return n, err
}

// Close implements net.Conn.
func (c *notifyingConn) Close() error {
	c.isClosed.Store(true)
	return c.Conn.Close()
}
