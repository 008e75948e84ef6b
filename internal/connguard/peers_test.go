package connguard_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/connguard"
	"github.com/monsoonrail/monsoonrail/internal/fake/memnet"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
)

// http2Start is the preface of HTTP/2 with an empty frame of settings.
const http2Start = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00"

// peers is a server for peers, which are authenticated by the path /peer.
type peers struct {
	*guarded
	server *http.Server
}

func withPeers(t *testing.T, maxConns int, maxBytes int64, test func(p *peers)) {
	synctest.Test(t, func(t *testing.T) {
		g := &guarded{c: qt.New(t), network: memnet.New(), release: make(chan struct{}), closed: make(map[connguard.Cause]int)}
		inner, err := g.network.Host("10.0.0.1").Listen(context.Background(), address)
		g.c.Assert(err, qt.IsNil)
		g.listener = connguard.New(connguard.Options{
			Listener: inner, MaxConns: maxConns, MaxBytes: maxBytes, CountsBodies: true, IsForPeers: true,
			Limits: func() connguard.Limits {
				return connguard.Limits{MaxHeadBytes: maxHead, HeadTimeout: headTime, IdleTimeout: idleTime}
			},
			Count: func(cause connguard.Cause) {
				g.mu.Lock()
				defer g.mu.Unlock()
				g.closed[cause]++
			},
		})
		p := &peers{guarded: g, server: &http.Server{
			Handler: connguard.Handler(http.HandlerFunc(g.servePeer)), ConnContext: connguard.ConnContext, ConnState: g.listener.ConnState,
			Protocols: tcp.UnencryptedProtocols(),
		}}
		go func() { _ = p.server.Serve(g.listener) }()
		ctx, end := context.WithCancel(context.Background())
		go func() { _ = sleep.Every(ctx, 100*time.Millisecond, g.listener.Sweep) }()
		test(p)
		end()
		_ = p.server.Close()
		synctest.Wait()
	})
}

// servePeer serves like serve, and answers 503 to a request whose body has no room.
func (g *guarded) servePeer(w http.ResponseWriter, req *http.Request) {
	if req.Method == http.MethodConnect {
		g.serveTunnel(w)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		if !connguard.IsErrNoRoom(err) {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if strings.HasSuffix(req.URL.Path, "/peer") {
		connguard.Authenticated(connguard.ConnOf(req))
	}
	req.Body = io.NopCloser(bytes.NewReader(body))
	g.serve(w, req)
}

// serveTunnel takes the connection over, and returns what comes.
func (g *guarded) serveTunnel(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	g.c.Assert(err, qt.IsNil)
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n")
	_, _ = io.Copy(conn, conn)
	_ = conn.Close()
}

// peer is a client with HTTP/2, or HTTP/1 if isHTTP1 is set.
type peer struct {
	c         *qt.C
	transport *http.Transport
	// dialed is the number of connections that the peer has opened.
	dialed int
}

func (p *peers) newPeer(isHTTP1 bool) *peer {
	one := &peer{c: p.c}
	one.transport = &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		one.dialed++
		return p.network.Host("10.0.0.3").DialContext(ctx, network, address)
	}}
	if !isHTTP1 {
		one.transport.Protocols = new(http.Protocols)
		one.transport.Protocols.SetUnencryptedHTTP2(true)
	}
	return one
}

func (p *peer) post(path, body string) (int, string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
	p.c.Assert(err, qt.IsNil)
	resp, err := p.transport.RoundTrip(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(text)
}

// surround opens many more connections than there is room for, of both protocols.
func (p *peers) surround() {
	for i := range 20 {
		cl := p.dial()
		if i%2 == 0 {
			cl.send(http2Start)
		}
		synctest.Wait()
	}
}

// TestAuthenticatedPeersStay keeps the connections of peers open beside a crowd, idle and with requests whose bodies and answers take their time.
func TestAuthenticatedPeersStay(t *testing.T) {
	for _, isHTTP1 := range []bool{false, true} {
		withPeers(t, 4, ampleBytes, func(p *peers) {
			one := p.newPeer(isHTTP1)
			for range 3 {
				status, body := one.post("/peer", "hello")
				p.c.Check(status, qt.Equals, http.StatusOK)
				p.c.Check(body, qt.Equals, "/peer hello")
				p.surround()
				time.Sleep(3 * idleTime)
			}
			answered := make(chan int)
			go func() {
				status, _ := one.post("/wait/peer", strings.Repeat("a", 1<<20))
				answered <- status
			}()
			p.surround()
			time.Sleep(3 * headTime)
			p.surround()
			close(p.release)
			p.c.Check(<-answered, qt.Equals, http.StatusOK)
			p.c.Check(one.dialed, qt.Equals, 1)
			one.transport.CloseIdleConnections()
		})
	}
}

// TestShutdownWaitsForPeers shuts the server down while a peer's request runs.
func TestShutdownWaitsForPeers(t *testing.T) {
	withPeers(t, 4, ampleBytes, func(p *peers) {
		one := p.newPeer(false)
		answered := make(chan int)
		go func() {
			status, _ := one.post("/wait/peer", "")
			answered <- status
		}()
		synctest.Wait()
		ended := make(chan error)
		go func() { ended <- p.server.Shutdown(context.Background()) }()
		time.Sleep(time.Minute)
		close(p.release)
		p.c.Check(<-answered, qt.Equals, http.StatusOK)
		p.c.Check(<-ended, qt.IsNil)
		conns, memory := p.listener.Usage()
		p.c.Check(conns, qt.Equals, 0)
		p.c.Check(memory, qt.Equals, int64(0))
	})
}

// TestTunnelsStay uses a connection that the handler took over, beside a crowd.
func TestTunnelsStay(t *testing.T) {
	withPeers(t, 4, ampleBytes, func(p *peers) {
		tunnel := p.dial()
		tunnel.send("CONNECT 10.0.0.9:80 HTTP/1.1\r\nHost: 10.0.0.9:80\r\n\r\n")
		line, err := tunnel.reader.ReadString('\n')
		p.c.Assert(err, qt.IsNil)
		p.c.Assert(line, qt.Equals, "HTTP/1.1 200 OK\r\n")
		_, _ = tunnel.reader.ReadString('\n')
		for range 3 {
			p.surround()
			time.Sleep(3 * idleTime)
			tunnel.send("x")
			b, err := tunnel.reader.ReadByte()
			p.c.Assert(err, qt.IsNil)
			p.c.Check(b, qt.Equals, byte('x'))
		}
		_ = tunnel.conn.Close()
	})
}

// TestPeersHaveTimeToAuthenticate opens connections of HTTP/2 whose clients don't authenticate.
func TestPeersHaveTimeToAuthenticate(t *testing.T) {
	withPeers(t, 10, ampleBytes, func(p *peers) {
		silent, stranger := p.dial(), p.newPeer(false)
		silent.send(http2Start)
		status, _ := stranger.post("/1", "")
		p.c.Check(status, qt.Equals, http.StatusOK)
		conns, _ := p.listener.Usage()
		p.c.Check(conns, qt.Equals, 2)
		time.Sleep(2 * headTime)
		conns, memory := p.listener.Usage()
		p.c.Check(conns, qt.Equals, 0)
		p.c.Check(memory, qt.Equals, int64(0))
		p.c.Check(p.closed, qt.DeepEquals, map[connguard.Cause]int{connguard.HeadTooSlow: 2})
		stranger.transport.CloseIdleConnections()
	})
}

// TestUnauthenticatedBodiesCount sends bodies that take more memory than there is before their clients have authenticated, and one that doesn't.
func TestUnauthenticatedBodiesCount(t *testing.T) {
	const room = 1 << 20
	for _, isHTTP1 := range []bool{false, true} {
		withPeers(t, 10, room, func(p *peers) {
			stranger, one := p.newPeer(isHTTP1), p.newPeer(isHTTP1)
			status, _ := stranger.post("/1", strings.Repeat("a", room))
			if isHTTP1 {
				p.c.Check(status, qt.Equals, http.StatusServiceUnavailable)
			} else {
				p.c.Check(status, qt.Equals, 0)
			}
			// While the connection ends, its memory keeps new ones out.
			synctest.Wait()
			p.c.Check(p.served, qt.HasLen, 0)
			p.c.Check(p.closed, qt.DeepEquals, map[connguard.Cause]int{connguard.NoRoom: 1})
			for _, size := range []int{room / 4, 4 * room} {
				status, _ = one.post("/peer", strings.Repeat("a", size))
				p.c.Check(status, qt.Equals, http.StatusOK)
			}
			stranger.transport.CloseIdleConnections()
			one.transport.CloseIdleConnections()
			time.Sleep(time.Second)
			conns, memory := p.listener.Usage()
			p.c.Check(conns, qt.Equals, 0)
			p.c.Check(memory, qt.Equals, int64(0))
		})
	}
}
