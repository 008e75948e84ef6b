package connguard_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/connguard"
)

// TestConnectionsInTheKernelsQueueAreServed drains a listener while connections with requests wait to be accepted, as on a node that stood still.
func TestConnectionsInTheKernelsQueueAreServed(t *testing.T) {
	c := qt.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	listener := connguard.New(connguard.Options{
		Listener: inner, MaxConns: 100, MaxBytes: ampleBytes, Limits: func() connguard.Limits { return connguard.Limits{} }, Count: func(connguard.Cause) {},
	})
	var conns []net.Conn
	for range 20 {
		conn, err := net.Dial("tcp", inner.Addr().String())
		c.Assert(err, qt.IsNil)
		defer conn.Close()
		_, err = io.WriteString(conn, "GET /1 HTTP/1.1\r\nHost: app.example\r\nConnection: close\r\n\r\n")
		c.Assert(err, qt.IsNil)
		conns = append(conns, conn)
	}
	drained := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	go func() { drained <- listener.Drain(ctx) }()
	time.Sleep(10 * time.Millisecond)
	server := &http.Server{
		Handler: connguard.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})), ConnContext: connguard.ConnContext, ConnState: listener.ConnState,
	}
	defer server.Close()
	go func() { _ = server.Serve(listener) }()
	for _, conn := range conns {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		c.Assert(err, qt.IsNil)
		c.Check(resp.StatusCode, qt.Equals, http.StatusOK)
	}
	c.Check(<-drained, qt.IsNil)
}
