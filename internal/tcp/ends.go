package tcp

import (
	"context"
	"net"
	"sync/atomic"
)

// NotifyRemoteClose returns a network that has ended called, with the "host:port" that was dialed, when the other side ends a connection. A
// server that dies ends all of them at once, the idle ones too. ended must not block.
func NotifyRemoteClose(network Network, ended func(address string)) Network {
	return endsNetwork{Network: network, ended: ended}
}

type endsNetwork struct {
	Network
	ended func(address string)
}

// DialContext implements Network.
func (n endsNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := n.Network.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &watchedConn{Conn: conn, ended: func() { n.ended(address) }}, nil
}

// watchedConn tells when its other side ended it. A transport reads a kept connection all the time, also while it is idle.
type watchedConn struct {
	net.Conn
	ended func()
	// isOver is set once either side has ended the connection.
	isOver atomic.Bool
}

// Read implements net.Conn.
func (w *watchedConn) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	if err != nil && w.isOver.CompareAndSwap(false, true) {
		w.ended()
	}
	return n, err
}

// Close implements net.Conn.
func (w *watchedConn) Close() error {
	w.isOver.Store(true)
	return w.Conn.Close()
}
