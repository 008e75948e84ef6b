package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/connguard"
	"github.com/monsoonrail/monsoonrail/internal/fake/memnet"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
)

// TestFailedStartClosesListener closes a node whose duties never ran, as New does if a later step fails: the address must be
// free again.
func TestFailedStartClosesListener(t *testing.T) {
	const address = "10.0.0.1:9000"
	network := memnet.New()
	n := &Node{opts: Options{Network: network.Host("10.0.0.1")}}
	n.guards = n.newGuards()
	qt.Assert(t, n.listenAdditional(context.Background(), metricsAPI, address, http.NotFoundHandler()), qt.IsNil)
	n.parts.close()
	listener, err := n.opts.Network.Listen(context.Background(), address)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, listener.Close(), qt.IsNil)
}

// TestEndedPeerConnectionsAreFreed ends connections of HTTP/2 while a request on each of them waits for its body.
func TestEndedPeerConnectionsAreFreed(t *testing.T) {
	const address, conns = "10.0.0.1:9000", 20
	c, network := qt.New(t), memnet.New()
	n := &Node{opts: Options{Network: network.Host("10.0.0.1")}}
	n.guards = n.newGuards()
	opened, err := n.opts.Network.Listen(context.Background(), address)
	c.Assert(err, qt.IsNil)
	begun, freed := make(chan struct{}), new(atomic.Int64)
	listener, server := n.guardListener(peerAPI, observedListener{opened, freed}, http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		begun <- struct{}{}
		_, _ = io.Copy(io.Discard, req.Body)
	}))
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	for range conns {
		var client net.Conn
		transport := &http.Transport{Protocols: new(http.Protocols), DialContext: func(ctx context.Context, kind, address string) (net.Conn, error) {
			var err error
			client, err = network.Host("10.0.0.2").DialContext(ctx, kind, address)
			return client, err
		}}
		transport.Protocols.SetUnencryptedHTTP2(true)
		unsent, _ := io.Pipe()
		req, err := http.NewRequest(http.MethodPost, "http://"+address+"/", unsent)
		c.Assert(err, qt.IsNil)
		go func() { _, _ = transport.RoundTrip(req) }()
		<-begun
		_ = client.Close()
	}
	for end := time.Now().Add(10 * time.Second); freed.Load() < conns && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		runtime.GC()
	}
	c.Check(freed.Load(), qt.Equals, int64(conns))
}

// observedListener counts the accepted connections that the collector has freed.
type observedListener struct {
	net.Listener
	freed *atomic.Int64
}

// observedConn is a connection of an observedListener.
type observedConn struct{ net.Conn }

// Accept implements net.Listener.
func (l observedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	observed := &observedConn{accepted}
	runtime.AddCleanup(observed, func(freed *atomic.Int64) { freed.Add(1) }, l.freed)
	return observed, nil
}

// TestConnectionsOfVanishedPeersEnd cuts off a peer that has authenticated, without a word to the node.
func TestConnectionsOfVanishedPeersEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const address = "10.0.0.1:9000"
		c, network := qt.New(t), memnet.New()
		n := &Node{opts: Options{Network: network.Host("10.0.0.1")}}
		n.guards = n.newGuards()
		opened, err := n.opts.Network.Listen(context.Background(), address)
		c.Assert(err, qt.IsNil)
		listener, server := n.guardListener(peerAPI, opened, handleAuthenticated(http.NotFoundHandler()))
		go func() { _ = server.Serve(listener) }()
		defer server.Close()
		transport := tcp.NewHTTP2Transport(network.Host("10.0.0.2"))
		defer transport.CloseIdleConnections()
		req, err := http.NewRequest(http.MethodPost, "http://"+address+"/", nil)
		c.Assert(err, qt.IsNil)
		resp, err := transport.RoundTrip(req)
		c.Assert(err, qt.IsNil)
		_ = resp.Body.Close()
		guarded := listener.(*connguard.Listener)
		conns, _ := guarded.Usage()
		c.Check(conns, qt.Equals, 1)
		network.Silence("10.0.0.1", "10.0.0.2")
		time.Sleep(2 * (peerPingInterval + peerPingTimeout))
		conns, _ = guarded.Usage()
		c.Check(conns, qt.Equals, 0)
	})
}
