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
	near = "10.0.0.1"
	far  = "10.0.0.2"
)

// withServer runs f with a transport and a server of some protocols that answers with the protocol of the call.
func withServer(t *testing.T, protocols *http.Protocols, f func(c *qt.C, network *memnet.Network, ask func(timeout time.Duration) (string, error))) {
	synctest.Test(t, func(t *testing.T) {
		c, network := qt.New(t), memnet.New()
		listener, err := network.Host(far).Listen(context.Background(), ":81")
		c.Assert(err, qt.IsNil)
		web := &http.Server{Protocols: protocols, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, r.Proto)
		})}
		go func() { _ = web.Serve(listener) }()
		transport := tcp.NewHTTP2Transport(network.Host(near))
		defer func() {
			transport.CloseIdleConnections()
			_ = web.Close()
			time.Sleep(time.Minute)
		}()
		f(c, network, func(timeout time.Duration) (string, error) {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+far+":81/", strings.NewReader("body"))
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
		c.Assert(network.OpenConns(near), qt.Equals, 1)
	})
}

// TestOlderServerIsSpokenToInHTTP1 loses one call to a server that knows HTTP/1 only.
func TestOlderServerIsSpokenToInHTTP1(t *testing.T) {
	withServer(t, nil, func(c *qt.C, _ *memnet.Network, ask func(time.Duration) (string, error)) {
		_, err := ask(time.Second)
		c.Assert(err, qt.IsNotNil)
		proto, err := ask(time.Second)
		c.Assert(err, qt.IsNil)
		c.Assert(proto, qt.Equals, "HTTP/1.1")
	})
}

// TestSilentConnectionIsReplaced silences a connection for good while new ones work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	withServer(t, tcp.UnencryptedProtocols(), func(c *qt.C, network *memnet.Network, ask func(time.Duration) (string, error)) {
		_, err := ask(time.Second)
		c.Assert(err, qt.IsNil)
		network.Silence(near, far)
		_, err = ask(250 * time.Millisecond)
		c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
		time.Sleep(3 * time.Second)
		proto, err := ask(250 * time.Millisecond)
		c.Assert(err, qt.IsNil)
		c.Assert(proto, qt.Equals, "HTTP/2.0")
	})
}
