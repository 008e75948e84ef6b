package memnet_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fake/memnet"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
)

const (
	caller = "10.0.0.1"
	node   = "10.0.0.2"
)

var _ tcp.Network = (*memnet.Host)(nil)

// connect returns both ends of a connection from the caller to the node.
func connect(c *qt.C, network *memnet.Network) (client, server net.Conn) {
	l, err := network.Host(node).Listen(context.Background(), ":80")
	c.Assert(err, qt.IsNil)
	client, err = network.Host(caller).DialContext(context.Background(), "tcp", node+":80")
	c.Assert(err, qt.IsNil)
	server, err = l.Accept()
	c.Assert(err, qt.IsNil)
	c.Assert(l.Close(), qt.IsNil)
	return client, server
}

func inBubble(t *testing.T, f func(c *qt.C, network *memnet.Network)) {
	synctest.Test(t, func(t *testing.T) { f(qt.New(t), memnet.New()) })
}

func TestHTTP(t *testing.T) {
	inBubble(t, func(c *qt.C, network *memnet.Network) {
		l, err := network.Host(node).Listen(context.Background(), node+":80")
		c.Assert(err, qt.IsNil)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(w, r.Body)
		})}
		go func() { _ = server.Serve(l) }()
		network.Delay(caller, node, 3*time.Millisecond)
		transport := tcp.NewTransport(network.Host(caller))
		client := &http.Client{Transport: transport}
		body := strings.Repeat("letter ", 200_000)
		began := time.Now()
		resp, err := client.Post("http://"+node+":80/", "text/plain", strings.NewReader(body))
		c.Assert(err, qt.IsNil)
		got, err := io.ReadAll(resp.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(string(got), qt.Equals, body)
		c.Assert(time.Since(began) >= 12*time.Millisecond, qt.IsTrue)
		transport.CloseIdleConnections()
		c.Assert(server.Close(), qt.IsNil)
		// The server delays closing a connection whose end of stream it has not read.
		time.Sleep(time.Second)
		synctest.Wait()
		c.Assert(network.OpenConns(node), qt.Equals, 0)
		c.Assert(network.OpenConns(caller), qt.Equals, 0)
	})
}

func TestDeadlineAndClose(t *testing.T) {
	inBubble(t, func(c *qt.C, network *memnet.Network) {
		client, server := connect(c, network)
		c.Assert(client.SetReadDeadline(time.Now().Add(time.Second)), qt.IsNil)
		_, err := client.Read(make([]byte, 1))
		c.Assert(errors.Is(err, os.ErrDeadlineExceeded), qt.IsTrue)
		c.Assert(client.SetWriteDeadline(time.Now().Add(time.Second)), qt.IsNil)
		n, err := client.Write(make([]byte, 1<<20))
		c.Assert(errors.Is(err, os.ErrDeadlineExceeded), qt.IsTrue)
		c.Assert(n < 1<<20, qt.IsTrue)
		c.Assert(client.Close(), qt.IsNil)
		got, err := io.ReadAll(server)
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.HasLen, n)
		_, err = server.Write([]byte("late"))
		c.Assert(errors.Is(err, syscall.EPIPE), qt.IsTrue)
		_, err = client.Read(make([]byte, 1))
		c.Assert(errors.Is(err, net.ErrClosed), qt.IsTrue)
	})
}

func TestCutAndHeal(t *testing.T) {
	inBubble(t, func(c *qt.C, network *memnet.Network) {
		client, server := connect(c, network)
		network.Cut(node, caller)
		_, err := client.Read(make([]byte, 1))
		c.Assert(errors.Is(err, syscall.ECONNRESET), qt.IsTrue)
		_, err = server.Write([]byte("x"))
		c.Assert(errors.Is(err, syscall.ECONNRESET), qt.IsTrue)
		_, err = network.Host(caller).DialContext(context.Background(), "tcp", node+":80")
		c.Assert(errors.Is(err, syscall.EHOSTUNREACH), qt.IsTrue)
		network.Heal(caller, node)
		connect(c, network)
	})
}

func TestSilence(t *testing.T) {
	inBubble(t, func(c *qt.C, network *memnet.Network) {
		client, server := connect(c, network)
		network.SilenceOneWay(node, caller)
		_, err := server.Write([]byte("vanishes"))
		c.Assert(err, qt.IsNil)
		_, err = client.Write([]byte("arrives"))
		c.Assert(err, qt.IsNil)
		got := make([]byte, 7)
		_, err = io.ReadFull(server, got)
		c.Assert(err, qt.IsNil)
		c.Assert(string(got), qt.Equals, "arrives")
		network.Silence(caller, node)
		network.Kill(node)
		c.Assert(client.SetReadDeadline(time.Now().Add(time.Hour)), qt.IsNil)
		_, err = client.Read(got)
		c.Assert(errors.Is(err, os.ErrDeadlineExceeded), qt.IsTrue)
		client, server = connect(c, network)
		_, err = client.Write([]byte("new one"))
		c.Assert(err, qt.IsNil)
		_, err = io.ReadFull(server, got)
		c.Assert(err, qt.IsNil)
	})
}

func TestKill(t *testing.T) {
	inBubble(t, func(c *qt.C, network *memnet.Network) {
		l, err := network.Host(node).Listen(context.Background(), node+":81")
		c.Assert(err, qt.IsNil)
		client, _ := connect(c, network)
		network.Kill(node)
		_, err = client.Read(make([]byte, 1))
		c.Assert(errors.Is(err, syscall.ECONNRESET), qt.IsTrue)
		_, err = l.Accept()
		c.Assert(errors.Is(err, net.ErrClosed), qt.IsTrue)
		_, err = network.Host(caller).DialContext(context.Background(), "tcp", node+":81")
		c.Assert(errors.Is(err, syscall.ECONNREFUSED), qt.IsTrue)
	})
}

func TestBlackholeTimesOut(t *testing.T) {
	inBubble(t, func(c *qt.C, network *memnet.Network) {
		network.Blackhole(caller, node)
		began := time.Now()
		_, err := network.Host(caller).DialContext(context.Background(), "tcp", node+":80")
		var netErr net.Error
		c.Assert(errors.As(err, &netErr) && netErr.Timeout(), qt.IsTrue)
		c.Assert(time.Since(began), qt.Equals, 2*time.Second)
	})
}

// TestLingerOfZeroResets closes a connection with a linger of 0 and one without: only the first one must look broken to the peer.
func TestLingerOfZeroResets(t *testing.T) {
	for _, test := range []struct {
		seconds int
		want    error
	}{{0, syscall.ECONNRESET}, {-1, io.EOF}} {
		inBubble(t, func(c *qt.C, network *memnet.Network) {
			client, server := connect(c, network)
			c.Assert(server.(interface{ SetLinger(int) error }).SetLinger(test.seconds), qt.IsNil)
			c.Assert(server.Close(), qt.IsNil)
			_, err := client.Read(make([]byte, 1))
			c.Assert(err, qt.ErrorIs, test.want)
			c.Assert(client.Close(), qt.IsNil)
		})
	}
}

// TestPendingReadSeesItsOwnClose closes a connection whose peer closes its end in reaction: the pending Read must fail with the own close.
func TestPendingReadSeesItsOwnClose(t *testing.T) {
	for range 3000 {
		c := qt.New(t)
		client, server := connect(c, memnet.New())
		go func() {
			_, _ = io.Copy(io.Discard, server)
			_ = server.Close()
		}()
		go func() { _ = client.Close() }()
		_, err := client.Read(make([]byte, 1))
		c.Assert(err, qt.ErrorIs, net.ErrClosed)
	}
}

// TestErrorsOfClosedConnectionsNameTheOperation checks that a closed connection fails as one of TCP does: net/http answers other errors of a read.
func TestErrorsOfClosedConnectionsNameTheOperation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		_, server := connect(c, memnet.New())
		c.Assert(server.Close(), qt.IsNil)
		for operation, use := range map[string]func([]byte) (int, error){"read": server.Read, "write": server.Write} {
			_, err := use(make([]byte, 1))
			c.Check(err, qt.ErrorIs, net.ErrClosed)
			var opError *net.OpError
			c.Assert(errors.As(err, &opError), qt.IsTrue)
			c.Check(opError.Op, qt.Equals, operation)
		}
	})
}
