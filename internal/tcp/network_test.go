package tcp_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/tcp"
)

// countingNetwork counts the writes to all of its connections.
type countingNetwork struct {
	tcp.System
	writes atomic.Int64
}

func (c *countingNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.System.DialContext(ctx, network, address)
	return &countingConn{Conn: conn, writes: &c.writes}, err
}

type countingConn struct {
	net.Conn
	writes *atomic.Int64
}

func (c *countingConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(b)
}

// TestShortRequestIsOneWrite sends requests with a body of a kilobyte: header and body of each must be sent in one write.
func TestShortRequestIsOneWrite(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.ReadAll(r.Body) }))
	defer server.Close()
	network := &countingNetwork{}
	transport := tcp.NewTransport(network)
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	body := strings.Repeat("x", 1<<10)
	const requests = 3
	for range requests {
		response, err := client.Post(server.URL, "application/json", strings.NewReader(body))
		qt.Assert(t, err, qt.IsNil)
		_, err = io.ReadAll(response.Body)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, response.Body.Close(), qt.IsNil)
	}
	qt.Assert(t, network.writes.Load(), qt.Equals, int64(requests))
}
