// Package tcp opens the listeners and connections of a node behind an interface,
// so that tests can put a network in memory in their place.
package tcp

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// dialTimeout bounds the time to a connection.
	dialTimeout = 2 * time.Second
	// idleTimeout closes connections that nothing uses.
	idleTimeout = 60 * time.Second
	// maxIdlePerHost bounds the idle connections kept to one peer.
	maxIdlePerHost = 256
	// readBuffer and writeBuffer are those of each connection: streams of small events need no more, and a short request is
	// one write.
	readBuffer  = 1 << 10
	writeBuffer = 2 << 10
)

// Network opens listeners and connections.
type Network interface {
	// Listen listens on "host:port".
	Listen(ctx context.Context, address string) (net.Listener, error)
	// DialContext connects to "host:port".
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// System is the operating system's TCP.
type System struct{}

// Listen implements Network.
func (System) Listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", address)
}

// DialContext implements Network.
func (System) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, network, address)
}

// NewTransportWithoutKeepAlive returns a transport that opens a connection for each request.
func NewTransportWithoutKeepAlive(network Network) *http.Transport {
	transport := NewTransport(network)
	transport.DisableKeepAlives = true
	return transport
}

// NewTransport returns an HTTP transport over a network, without proxies and compression.
func NewTransport(network Network) *http.Transport {
	return &http.Transport{
		DialContext:         network.DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		ReadBufferSize:      readBuffer,
		WriteBufferSize:     writeBuffer,
	}
}
