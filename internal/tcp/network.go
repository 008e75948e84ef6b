// Package tcp opens the listeners and connections of a node through an interface, which tests implement by an in-memory network. It also
// has the HTTP transports that use it.
package tcp

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// dialTimeout bounds the time for establishing a connection.
	dialTimeout = 2 * time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 60 * time.Second
	// maxIdlePerHost bounds the idle connections per host.
	maxIdlePerHost = 256
	// readBuffer and writeBuffer are the buffer sizes of a connection in bytes: a larger read buffer is of no use for streams of small
	// events, and a short request fits into one write.
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

// System implements Network by the operating system's TCP.
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

// NewTransportWithoutKeepAlive returns a transport like NewTransport that opens a new connection for each request.
func NewTransportWithoutKeepAlive(network Network) *http.Transport {
	transport := NewTransport(network)
	transport.DisableKeepAlives = true
	return transport
}

// NewTransport returns an HTTP transport that dials with network, without proxies and compression.
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
