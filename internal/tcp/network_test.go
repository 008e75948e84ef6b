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

// counted counts the writes to its connections.
type counted struct {
	tcp.System
	writes atomic.Int64
}

func (c *counted) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.System.DialContext(ctx, network, address)
	return &countedConn{Conn: conn, writes: &c.writes}, err
}

type countedConn struct {
	net.Conn
	writes *atomic.Int64
}

func (c *countedConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(b)
}

// TestShortRequestIsOneWrite asks with a prompt of a kilobyte.
func TestShortRequestIsOneWrite(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.ReadAll(r.Body) }))
	defer server.Close()
	network := &counted{}
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
