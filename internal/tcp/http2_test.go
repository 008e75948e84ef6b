package tcp_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fake/memnet"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
)

const (
	clientIP = "10.0.0.1"
	serverIP = "10.0.0.2"
)

// withServer runs f with a server that supports protocols, and a function ask that calls it and returns the protocol of the call.
func withServer(t *testing.T, protocols *http.Protocols, f func(c *qt.C, network *memnet.Network, ask func(timeout time.Duration) (string, error))) {
	synctest.Test(t, func(t *testing.T) {
		c, network := qt.New(t), memnet.New()
		listener, err := network.Host(serverIP).Listen(context.Background(), ":81")
		c.Assert(err, qt.IsNil)
		web := &http.Server{Protocols: protocols, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, r.Proto)
		})}
		go func() { _ = web.Serve(listener) }()
		transport := tcp.NewHTTP2Transport(network.Host(clientIP))
		defer func() {
			transport.CloseIdleConnections()
			_ = web.Close()
			time.Sleep(time.Minute)
		}()
		f(c, network, func(timeout time.Duration) (string, error) {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+serverIP+":81/", strings.NewReader("body"))
			c.Assert(err, qt.IsNil)
			resp, err := transport.RoundTrip(req)
			if err != nil {
				return "", err
			}
			defer func() { _ = resp.Body.Close() }()
			body, err := io.ReadAll(resp.Body)
			return string(body), err
		})
	})
}

func TestHTTP2SharesAConnection(t *testing.T) {
	withServer(t, tcp.UnencryptedProtocols(), func(c *qt.C, network *memnet.Network, ask func(time.Duration) (string, error)) {
		for range 3 {
			proto, err := ask(time.Second)
			c.Assert(err, qt.IsNil)
			c.Assert(proto, qt.Equals, "HTTP/2.0")
		}
		c.Assert(network.OpenConns(clientIP), qt.Equals, 1)
	})
}

// TestFallsBackToHTTP1 calls a server that supports HTTP/1 only: the first call fails, the second one must use HTTP/1.
func TestFallsBackToHTTP1(t *testing.T) {
	withServer(t, nil, func(c *qt.C, _ *memnet.Network, ask func(time.Duration) (string, error)) {
		_, err := ask(time.Second)
		c.Assert(err, qt.IsNotNil)
		proto, err := ask(time.Second)
		c.Assert(err, qt.IsNil)
		c.Assert(proto, qt.Equals, "HTTP/1.1")
	})
}

// TestSilentConnectionIsReplaced drops all packets of an open connection while new ones work: a ping must detect this, and the next call must
// use a new connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	withServer(t, tcp.UnencryptedProtocols(), func(c *qt.C, network *memnet.Network, ask func(time.Duration) (string, error)) {
		_, err := ask(time.Second)
		c.Assert(err, qt.IsNil)
		network.Silence(clientIP, serverIP)
		_, err = ask(250 * time.Millisecond)
		c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
		time.Sleep(3 * time.Second)
		proto, err := ask(250 * time.Millisecond)
		c.Assert(err, qt.IsNil)
		c.Assert(proto, qt.Equals, "HTTP/2.0")
	})
}
