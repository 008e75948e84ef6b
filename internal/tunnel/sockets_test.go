package tunnel_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/nodelist"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/internal/tunnel"
	"github.com/monsoonrail/monsoonrail/internal/upstream"
)

// cutNetwork is the operating system's network, whose connections to one address are refused.
type cutNetwork struct {
	tcp.System
	cut string
}

func (n cutNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if address == n.cut {
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	}
	return n.System.DialContext(ctx, network, address)
}

// newSocketDialer returns the dialer of a node that is cut off from a server, with another node that helps it, over real sockets.
func newSocketDialer(t *testing.T, server string) *tunnel.Dialer {
	return newSocketDialerBy(t, tcp.System{}, server)
}

// newSocketDialerBy is newSocketDialer with the other node's network.
func newSocketDialerBy(t *testing.T, network tcp.Network, server string) *tunnel.Dialer {
	helper := httptest.NewServer(tunnel.NewHandler(tunnel.HandlerOptions{
		Network: network, Paths: new(tunnel.Paths), IsStopping: func() bool { return false },
		TakesRequests: func(address string) bool { return address == server },
	}))
	t.Cleanup(helper.Close)
	nodes := []nodelist.Node{{ID: "helper", FailureDomain: "d2", Peers: strings.TrimPrefix(helper.URL, "http://")}}
	dialer := tunnel.NewDialer(tunnel.DialerOptions{
		Network: cutNetwork{cut: server}, Paths: new(tunnel.Paths), CountTunnel: func(tcp.DialOutcome) {},
		Helpers: tunnel.NewHelpers("self", "d1", nil, func() *[]nodelist.Node { return &nodes }),
	})
	t.Cleanup(dialer.Close)
	return dialer
}

// TestTunnelEndsOverSockets checks that the end of a server's connection reaches the node as it was: closed properly or reset.
func TestTunnelEndsOverSockets(t *testing.T) {
	for _, isReset := range []bool{false, true} {
		t.Run(fmt.Sprintf("reset %v", isReset), func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = listener.Close() }()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				_, _ = io.ReadFull(conn, make([]byte, 1))
				_, _ = io.WriteString(conn, "part")
				time.Sleep(50 * time.Millisecond)
				if isReset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				_ = conn.Close()
			}()
			conn, err := newSocketDialer(t, listener.Addr().String()).DialContext(context.Background(), "tcp", listener.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			_, err = conn.Write([]byte("?"))
			qt.Assert(t, err, qt.IsNil)
			got, err := io.ReadAll(conn)
			qt.Check(t, string(got), qt.Equals, "part")
			if isReset {
				qt.Check(t, err, qt.ErrorIs, syscall.ECONNRESET)
			} else {
				qt.Check(t, err, qt.IsNil)
			}
		})
	}
}

// TestTunnelsAreReused sends requests through a pool over one kept tunnel, and over a new one after the server has closed it.
func TestTunnelsAreReused(t *testing.T) {
	const idHeader = "X-Id"
	var accepted atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set(idHeader, req.Header.Get(idHeader))
		_, _ = io.WriteString(w, "answer")
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			accepted.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	dialer := newSocketDialer(t, address)
	pool := upstream.NewPool(upstream.Options{
		Network: dialer, IsUsable: dialer.IsUsable, CheckPath: dialer.Check,
		AnswerID: func(header map[string][]string) string { return http.Header(header).Get(idHeader) },
	})
	defer pool.Close()
	send := func(id string) {
		answer, err := pool.Send(context.Background(), address, &upstream.Request{ID: id, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{idHeader: {id}}})
		qt.Assert(t, err, qt.IsNil)
		defer answer.Close()
		qt.Check(t, answer.RelayedBy(), qt.Not(qt.Equals), "")
		body, err := io.ReadAll(answer.Body)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, string(body), qt.Equals, "answer")
	}
	for i := range 5 {
		send(fmt.Sprint(i))
	}
	qt.Assert(t, accepted.Load(), qt.Equals, int64(1))
	server.CloseClientConnections()
	time.Sleep(100 * time.Millisecond)
	send("after")
	qt.Assert(t, accepted.Load(), qt.Equals, int64(2))
}
