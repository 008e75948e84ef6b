package tunnel_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fake/memnet"
	"github.com/monsoonrail/monsoonrail/internal/nodelist"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/internal/tunnel"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	serverIP      = "10.9.0.1"
	serverAddress = serverIP + ":80"
)

// testNodes are a node, whose dialer is tested, and two nodes that help it, in virtual time.
type testNodes struct {
	c       *qt.C
	network *memnet.Network
	paths   *tunnel.Paths
	dialer  *tunnel.Dialer
	// handlers and helperPaths belong to the helping nodes, isStopping makes them stop.
	handlers    []*tunnel.Handler
	helperPaths []*tunnel.Paths
	isStopping  atomic.Bool
	// isOld lets the helping nodes be of a release that knows no tunnels.
	isOld atomic.Bool
	// asked counts the results of connections asked of other nodes.
	asked atomic.Int64
}

const nodeIP = "10.0.0.1"

var helperIPs = []string{"10.0.0.2", "10.0.0.3"}

// withNodes runs a test with nodes and a server that answers each connection by serve; nil means an echo.
func withNodes(t *testing.T, serve func(conn net.Conn), test func(n *testNodes)) {
	synctest.Test(t, func(t *testing.T) {
		n := &testNodes{c: qt.New(t), network: memnet.New(), paths: new(tunnel.Paths)}
		if serve == nil {
			serve = func(conn net.Conn) { _, _ = io.Copy(conn, conn) }
		}
		server, err := n.network.Host(serverIP).Listen(context.Background(), serverAddress)
		n.c.Assert(err, qt.IsNil)
		go func() {
			for {
				conn, err := server.Accept()
				if err != nil {
					return
				}
				go func() {
					defer func() { _ = conn.Close() }()
					serve(conn)
				}()
			}
		}()
		nodes := []nodelist.Node{{ID: "self", FailureDomain: "d1", Peers: nodeIP + ":83"}}
		var webs []*http.Server
		for _, ip := range helperIPs {
			paths := new(tunnel.Paths)
			handler := tunnel.NewHandler(tunnel.HandlerOptions{
				Network: n.network.Host(ip), Paths: paths, IsStopping: n.isStopping.Load,
				TakesRequests: func(address string) bool { return address == serverAddress },
			})
			n.handlers, n.helperPaths = append(n.handlers, handler), append(n.helperPaths, paths)
			listener, err := n.network.Host(ip).Listen(context.Background(), ip+":83")
			n.c.Assert(err, qt.IsNil)
			web := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				if n.isOld.Load() {
					http.NotFound(w, req)
					return
				}
				handler.ServeHTTP(w, req)
			})}
			webs = append(webs, web)
			go func() { _ = web.Serve(listener) }()
			nodes = append(nodes, nodelist.Node{ID: api.NodeID(ip), FailureDomain: api.FailureDomain("d-" + ip), Peers: ip + ":83"})
		}
		n.dialer = tunnel.NewDialer(tunnel.DialerOptions{
			Network: n.network.Host(nodeIP), Paths: n.paths, CountTunnel: func(tcp.DialOutcome) { n.asked.Add(1) },
			Helpers: tunnel.NewHelpers("self", "d1", nil, func() *[]nodelist.Node { return &nodes }),
		})
		test(n)
		n.dialer.Close()
		for _, handler := range n.handlers {
			handler.Close()
		}
		_ = server.Close()
		for _, web := range webs {
			_ = web.Close()
		}
		for _, ip := range append([]string{nodeIP, serverIP}, helperIPs...) {
			n.network.Kill(ip)
		}
		// Servers that don't read see the end of their connections when they write.
		time.Sleep(time.Minute)
	})
}

// dial opens a connection to the server within the time that requests allow.
func (n *testNodes) dial() (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	return n.dialer.DialContext(ctx, "tcp", serverAddress)
}

func (n *testNodes) mustDial() net.Conn {
	n.c.Helper()
	conn, err := n.dial()
	n.c.Assert(err, qt.IsNil)
	return conn
}

func isTunneled(conn net.Conn) bool {
	_, ok := conn.(*tunnel.Conn)
	return ok
}

// echo checks that the server answers over a connection.
func (n *testNodes) echo(conn net.Conn) {
	n.c.Helper()
	_, err := conn.Write([]byte("hello"))
	n.c.Assert(err, qt.IsNil)
	got := make([]byte, 5)
	_, err = io.ReadFull(conn, got)
	n.c.Assert(err, qt.IsNil)
	n.c.Assert(string(got), qt.Equals, "hello")
}

// TestConnectionsGoRoundLostPaths opens connections while the own path is lost in one way or the other, and after it is back.
func TestConnectionsGoRoundLostPaths(t *testing.T) {
	for _, test := range []struct {
		name     string
		cut      func(*memnet.Network, string, string)
		isSilent bool
	}{
		{"silent", (*memnet.Network).Blackhole, true}, {"refused", (*memnet.Network).Refuse, false}, {"unreachable", (*memnet.Network).Cut, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			withNodes(t, nil, func(n *testNodes) {
				own := n.mustDial()
				n.c.Assert(isTunneled(own), qt.IsFalse)
				n.c.Assert(n.dialer.IsUsable(own, serverAddress), qt.IsTrue)
				test.cut(n.network, nodeIP, serverIP)
				begin := time.Now()
				conn := n.mustDial()
				n.c.Assert(isTunneled(conn), qt.IsTrue)
				n.c.Assert(time.Since(begin) <= 200*time.Millisecond, qt.IsTrue, qt.Commentf("took %s", time.Since(begin)))
				n.echo(conn)
				time.Sleep(500 * time.Millisecond)
				n.c.Assert(n.paths.IsLost(serverAddress), qt.IsTrue)
				n.c.Assert(n.dialer.IsUsable(own, serverAddress), qt.Equals, !test.isSilent)
				begin = time.Now()
				n.c.Assert(isTunneled(n.mustDial()), qt.IsTrue)
				n.c.Assert(time.Since(begin), qt.Equals, time.Duration(0))
				n.network.Heal(nodeIP, serverIP)
				time.Sleep(time.Second)
				_ = n.mustDial()
				synctest.Wait()
				n.c.Assert(n.paths.IsLost(serverAddress), qt.IsFalse)
				n.c.Assert(isTunneled(n.mustDial()), qt.IsFalse)
				n.echo(conn)
			})
		})
	}
}

// TestServerThatIsDownIsNoLostPath dials a server that no node reaches.
func TestServerThatIsDownIsNoLostPath(t *testing.T) {
	for _, test := range []struct {
		name      string
		cut       func(*memnet.Network, string, string)
		isRefused bool
	}{
		{"silent", (*memnet.Network).Blackhole, false}, {"refused", (*memnet.Network).Refuse, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			withNodes(t, nil, func(n *testNodes) {
				for _, ip := range append([]string{nodeIP}, helperIPs...) {
					test.cut(n.network, ip, serverIP)
				}
				_, err := n.dial()
				n.c.Assert(errors.Is(err, syscall.ECONNREFUSED), qt.Equals, test.isRefused, qt.Commentf("%v", err))
				n.c.Assert(err, qt.IsNotNil)
				time.Sleep(time.Second)
				n.c.Assert(n.paths.IsLost(serverAddress), qt.IsFalse)
			})
		})
	}
}

// TestRefusalIsNoProofWhileOtherNodesCannotTell lets the server refuse connections of a node whose helpers stop: it may be the node's path, so that nothing shows
// that the server's process has ended.
func TestRefusalIsNoProofWhileOtherNodesCannotTell(t *testing.T) {
	withNodes(t, nil, func(n *testNodes) {
		n.isStopping.Store(true)
		n.network.Refuse(nodeIP, serverIP)
		_, err := n.dial()
		n.c.Assert(err, qt.IsNotNil)
		n.c.Assert(errors.Is(err, syscall.ECONNREFUSED), qt.IsFalse, qt.Commentf("%v", err))
	})
}

// TestHelpersThatHaveLostTheirPathsAreSkipped cuts one of two helpers off the server, too.
func TestHelpersThatHaveLostTheirPathsAreSkipped(t *testing.T) {
	for _, lost := range helperIPs {
		withNodes(t, nil, func(n *testNodes) {
			n.network.Blackhole(nodeIP, serverIP)
			n.network.Blackhole(lost, serverIP)
			for range 20 {
				conn := n.mustDial()
				n.echo(conn)
				n.c.Assert(string(conn.(*tunnel.Conn).Via.ID), qt.Not(qt.Equals), lost)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
}

// TestTunnelsEndAsTheServerEnds checks that a connection closed by the server ends properly at the node, and that one that was reset, or whose helper died, is
// reset: an answer that ends with its connection must not look complete.
func TestTunnelsEndAsTheServerEnds(t *testing.T) {
	for _, test := range []struct {
		name string
		end  func(n *testNodes)
		want error
	}{
		{"closed", func(*testNodes) {}, nil},
		{"reset by the server", func(n *testNodes) { n.network.Kill(serverIP) }, syscall.ECONNRESET},
		{"helper dies", func(n *testNodes) {
			for _, ip := range helperIPs {
				n.network.Kill(ip)
			}
		}, syscall.ECONNRESET},
	} {
		t.Run(test.name, func(t *testing.T) {
			serve := func(conn net.Conn) {
				_, _ = conn.Write([]byte("part"))
				time.Sleep(time.Second)
			}
			withNodes(t, serve, func(n *testNodes) {
				n.network.Refuse(nodeIP, serverIP)
				conn := n.mustDial()
				part := make([]byte, 4)
				_, err := io.ReadFull(conn, part)
				n.c.Assert(err, qt.IsNil)
				test.end(n)
				rest, err := io.ReadAll(conn)
				n.c.Assert(rest, qt.HasLen, 0)
				n.c.Assert(err, qt.ErrorIs, test.want)
			})
		})
	}
}

// TestServerSeesThatTheNodeHasLeft closes the node's end of a tunnel: the server's end must close at once.
func TestServerSeesThatTheNodeHasLeft(t *testing.T) {
	closedAt := make(chan time.Time, 1)
	serve := func(conn net.Conn) {
		_, _ = io.Copy(io.Discard, conn)
		closedAt <- time.Now()
	}
	withNodes(t, serve, func(n *testNodes) {
		n.network.Refuse(nodeIP, serverIP)
		conn := n.mustDial()
		left := time.Now()
		_ = conn.Close()
		n.c.Assert((<-closedAt).Sub(left) < 10*time.Millisecond, qt.IsTrue)
		synctest.Wait()
		for _, handler := range n.handlers {
			n.c.Assert(handler.Open(), qt.Equals, 0)
		}
	})
}

// TestHandlerHelpsWhomItCan asks for connections to an address that is no server's, over a path that is lost, and of a node that stops.
func TestHandlerHelpsWhomItCan(t *testing.T) {
	withNodes(t, nil, func(n *testNodes) {
		ask := func(address string) int {
			conn, err := n.network.Host(nodeIP).DialContext(context.Background(), "tcp", helperIPs[0]+":83")
			n.c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "CONNECT "+address+" HTTP/1.1\r\nHost: "+address+"\r\n\r\n")
			n.c.Assert(err, qt.IsNil)
			answer := make([]byte, len("HTTP/1.1 200"))
			_, err = io.ReadFull(conn, answer)
			n.c.Assert(err, qt.IsNil)
			return int(answer[9]-'0')*100 + int(answer[10]-'0')*10 + int(answer[11]-'0')
		}
		n.c.Check(ask(serverAddress), qt.Equals, http.StatusOK)
		n.c.Check(ask("10.9.0.2:80"), qt.Equals, http.StatusNotFound)
		n.helperPaths[0].Lost(serverAddress, tunnel.Silent, time.Now())
		n.c.Check(ask(serverAddress), qt.Equals, http.StatusNotFound)
		n.helperPaths[0].Lost("10.9.0.2:80", tunnel.Silent, time.Now())
		n.c.Check(ask(serverAddress), qt.Equals, http.StatusServiceUnavailable)
		n.helperPaths[0].Opened(serverAddress)
		n.c.Check(ask(serverAddress), qt.Equals, http.StatusOK)
		n.isStopping.Store(true)
		n.c.Check(ask(serverAddress), qt.Equals, http.StatusServiceUnavailable)
	})
}

// TestTunnelsOfOneNodeAreBounded opens more tunnels than a node has for others, and waits for their end as a stopping node does.
func TestTunnelsOfOneNodeAreBounded(t *testing.T) {
	withNodes(t, nil, func(n *testNodes) {
		n.network.Refuse(nodeIP, serverIP)
		var open []net.Conn
		for {
			conn, err := n.dial()
			if err != nil {
				break
			}
			open = append(open, conn)
		}
		n.c.Assert(open, qt.HasLen, 2*256)
		for _, conn := range open {
			n.echo(conn)
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		n.handlers[0].Wait(ctx)
		n.c.Assert(ctx.Err(), qt.IsNotNil)
		for _, conn := range open {
			_ = conn.Close()
		}
		n.handlers[0].Wait(context.Background())
		n.c.Assert(n.handlers[0].Open(), qt.Equals, 0)
	})
}

// TestRefusalIsConfirmedOnce dials a server that refuses connections again and again: other nodes are asked once for some time.
func TestRefusalIsConfirmedOnce(t *testing.T) {
	withNodes(t, nil, func(n *testNodes) {
		for _, ip := range append([]string{nodeIP}, helperIPs...) {
			n.network.Refuse(ip, serverIP)
		}
		before := n.asked.Load()
		for range 20 {
			_, err := n.dial()
			n.c.Assert(errors.Is(err, syscall.ECONNREFUSED), qt.IsTrue)
			time.Sleep(20 * time.Millisecond)
		}
		n.c.Assert(n.asked.Load()-before, qt.Equals, int64(2))
	})
}

// TestFewSlowDialsAskOtherNodes opens many connections to a server that is silent at the same time.
func TestFewSlowDialsAskOtherNodes(t *testing.T) {
	withNodes(t, nil, func(n *testNodes) {
		for _, ip := range append([]string{nodeIP}, helperIPs...) {
			n.network.Blackhole(ip, serverIP)
		}
		var running sync.WaitGroup
		for range 50 {
			running.Go(func() {
				_, err := n.dial()
				n.c.Check(err, qt.IsNotNil)
			})
		}
		running.Wait()
		n.c.Assert(n.asked.Load() <= 8*4, qt.IsTrue, qt.Commentf("asked %d times", n.asked.Load()))
	})
}

// TestNodesOfAnEarlierReleaseOpenNoTunnels dials beside nodes that know no tunnels, as in a rolling update: a reachable server is reached, and another one costs no
// more time than a connection may take.
func TestNodesOfAnEarlierReleaseOpenNoTunnels(t *testing.T) {
	withNodes(t, nil, func(n *testNodes) {
		n.isOld.Store(true)
		n.echo(n.mustDial())
		n.network.Refuse(nodeIP, serverIP)
		begin := time.Now()
		_, err := n.dial()
		n.c.Assert(err, qt.IsNotNil)
		n.c.Assert(time.Since(begin) < 10*time.Millisecond, qt.IsTrue)
		n.network.Heal(nodeIP, serverIP)
		n.network.Blackhole(nodeIP, serverIP)
		begin = time.Now()
		_, err = n.dial()
		n.c.Assert(err, qt.IsNotNil)
		n.c.Assert(time.Since(begin) <= 500*time.Millisecond, qt.IsTrue)
		n.network.Heal(nodeIP, serverIP)
		n.isOld.Store(false)
		n.network.Refuse(nodeIP, serverIP)
		n.echo(n.mustDial())
	})
}

// TestHandlerEndsItsTunnels closes the handler of a helping node while a tunnel is open over links that are silent.
func TestHandlerEndsItsTunnels(t *testing.T) {
	withNodes(t, nil, func(n *testNodes) {
		n.network.Refuse(nodeIP, serverIP)
		conn := n.mustDial()
		n.echo(conn)
		for i, ip := range helperIPs {
			n.network.Silence(ip, serverIP)
			n.network.Silence(ip, nodeIP)
			begin := time.Now()
			n.handlers[i].Close()
			n.c.Check(time.Since(begin) < time.Second, qt.IsTrue)
			n.c.Check(n.handlers[i].Open(), qt.Equals, 0)
		}
		_, err := n.dial()
		n.c.Check(err, qt.IsNotNil)
	})
}

// TestCloseWaitsForNoSilentNodes guards against a dialer whose Close lasts as long as other nodes are silent that it has asked for a connection, when the
// request that needs it doesn't end.
func TestCloseWaitsForNoSilentNodes(t *testing.T) {
	withNodes(t, nil, func(n *testNodes) {
		n.network.Blackhole(nodeIP, serverIP)
		for _, ip := range helperIPs {
			n.network.Blackhole(nodeIP, ip)
		}
		failed := make(chan error, 1)
		go func() {
			_, err := n.dialer.DialContext(context.Background(), "tcp", serverAddress)
			failed <- err
		}()
		time.Sleep(250 * time.Millisecond)
		begin := time.Now()
		n.dialer.Close()
		n.c.Check(time.Since(begin), qt.Equals, time.Duration(0))
		n.c.Check(<-failed, qt.IsNotNil)
	})
}
