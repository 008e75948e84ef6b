package connguard_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/monsoonrail/monsoonrail/internal/connguard"
	"github.com/monsoonrail/monsoonrail/internal/fake/memnet"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
)

const (
	address  = "10.0.0.1:80"
	maxHead  = 16 << 10
	headTime = 3 * time.Second
	idleTime = 15 * time.Second
	// ampleBytes are enough for the heads of a test.
	ampleBytes = 64 << 20
)

// guarded is a server behind a guarded listener, in virtual time. It answers with the request's path and body; a path that begins with /wait is answered
// once it is released.
type guarded struct {
	c        *qt.C
	listener *connguard.Listener
	network  *memnet.Network
	release  chan struct{}

	mu     sync.Mutex
	served []string
	closed map[connguard.Cause]int
}

func withGuarded(t *testing.T, maxConns int, maxBytes int64, test func(g *guarded)) {
	synctest.Test(t, func(t *testing.T) {
		g := &guarded{c: qt.New(t), network: memnet.New(), release: make(chan struct{}), closed: make(map[connguard.Cause]int)}
		inner, err := g.network.Host("10.0.0.1").Listen(context.Background(), address)
		g.c.Assert(err, qt.IsNil)
		g.listener = connguard.New(connguard.Options{
			Listener: inner, MaxConns: maxConns, MaxBytes: maxBytes,
			Limits: func() connguard.Limits {
				return connguard.Limits{MaxHeadBytes: maxHead, HeadTimeout: headTime, IdleTimeout: idleTime}
			},
			Count: func(cause connguard.Cause) {
				g.mu.Lock()
				defer g.mu.Unlock()
				g.closed[cause]++
			},
		})
		server := &http.Server{
			Handler: connguard.Handler(http.HandlerFunc(g.serve)), ConnContext: connguard.ConnContext, ConnState: g.listener.ConnState,
		}
		go func() { _ = server.Serve(g.listener) }()
		ctx, end := context.WithCancel(context.Background())
		go func() { _ = sleep.Every(ctx, 100*time.Millisecond, g.listener.Sweep) }()
		test(g)
		end()
		_ = server.Close()
		synctest.Wait()
	})
}

func (g *guarded) serve(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	g.mu.Lock()
	g.served = append(g.served, req.URL.Path)
	g.mu.Unlock()
	if strings.HasPrefix(req.URL.Path, "/wait") {
		<-g.release
	}
	if strings.HasSuffix(req.URL.Path, "/hijack") {
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_ = conn.Close()
		}
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s", req.URL.Path, body)
}

// dial opens a connection, which the server has accepted when it returns.
func (g *guarded) dial() *client {
	conn, err := g.network.Host("10.0.0.2").DialContext(context.Background(), "tcp", address)
	g.c.Assert(err, qt.IsNil)
	synctest.Wait()
	return &client{c: g.c, conn: conn, reader: bufio.NewReader(conn)}
}

type client struct {
	c      *qt.C
	conn   net.Conn
	reader *bufio.Reader
}

// send sends bytes that may not be taken.
func (cl *client) send(text string) { _, _ = io.WriteString(cl.conn, text) }

// answer returns the status and body of the next answer; 0 if the connection was closed instead.
func (cl *client) answer() (int, string) {
	resp, err := http.ReadResponse(cl.reader, nil)
	if err != nil {
		return 0, ""
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(body)
}

// isClosed reports whether the server has closed the connection.
func (cl *client) isClosed() bool {
	_ = cl.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	defer func() { _ = cl.conn.SetReadDeadline(time.Time{}) }()
	_, err := cl.reader.Peek(1)
	timeout, ok := err.(net.Error)
	return err != nil && (!ok || !timeout.Timeout())
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: app.example\r\n\r\n" }

// TestRequestsAreServedHoweverTheyArrive sends requests on one connection, cut into pieces anywhere: each is answered as if it had come as a whole.
func TestRequestsAreServedHoweverTheyArrive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var text strings.Builder
		var want []string
		for i := range rapid.IntRange(1, 5).Draw(rt, "requests") {
			path := fmt.Sprintf("/%d", i)
			body := strings.Repeat("b\n\r\n", rapid.SampledFrom([]int{0, 1, 2000}).Draw(rt, "body"))
			pad := strings.Repeat("a", rapid.SampledFrom([]int{0, 10, 4000, 5000, maxHead - 200}).Draw(rt, "head"))
			fmt.Fprintf(&text, "POST %s HTTP/1.1\r\nHost: app.example\r\nX-Pad: %s\r\nContent-Length: %d\r\n\r\n%s", path, pad, len(body), body)
			want = append(want, path+" "+body)
		}
		rest := text.String()
		var pieces []string
		for rest != "" {
			n := min(len(rest), rapid.SampledFrom([]int{1, 2, 3, 50, 1000, 4096, 5000, 100_000}).Draw(rt, "piece"))
			pieces, rest = append(pieces, rest[:n]), rest[n:]
			if len(pieces) > 2000 {
				pieces, rest = append(pieces, rest), ""
			}
		}
		withGuarded(t, 10, ampleBytes, func(g *guarded) {
			cl := g.dial()
			go func() {
				for _, piece := range pieces {
					cl.send(piece)
				}
			}()
			for _, body := range want {
				status, got := cl.answer()
				if status != http.StatusOK || got != body {
					rt.Fatalf("status %d, %d bytes instead of %d", status, len(got), len(body))
				}
			}
			_ = cl.conn.Close()
		})
	})
}

// TestHeadsOverTheLimitAreRefused sends a head of the most bytes that callers may send, and heads beyond that.
func TestHeadsOverTheLimitAreRefused(t *testing.T) {
	withGuarded(t, 10, ampleBytes, func(g *guarded) {
		head := func(size int) string {
			const begin, end = "GET /1 HTTP/1.1\r\nHost: app.example\r\nX-Pad: ", "\r\n\r\n"
			return begin + strings.Repeat("a", size-len(begin)-len(end)) + end
		}
		cl := g.dial()
		for range 3 {
			go cl.send(head(maxHead))
			status, _ := cl.answer()
			g.c.Check(status, qt.Equals, http.StatusOK)
		}
		over := g.dial()
		go over.send(head(2 * maxHead))
		status, _ := over.answer()
		g.c.Check(status, qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
		time.Sleep(time.Second)
		g.c.Check(over.isClosed(), qt.IsTrue)
		g.c.Check(g.closed, qt.DeepEquals, map[connguard.Cause]int{connguard.HeadTooLarge: 1})
		g.c.Check(g.served, qt.HasLen, 3)
	})
}

// TestSlowHeadsAreRefused sends a part of a head, and nothing at all.
func TestSlowHeadsAreRefused(t *testing.T) {
	withGuarded(t, 10, ampleBytes, func(g *guarded) {
		slow, silent, inTime := g.dial(), g.dial(), g.dial()
		slow.send("GET /slow HTTP/1.1\r\n")
		inTime.send("GET /1 HTTP/1.1\r\n")
		time.Sleep(headTime)
		inTime.send("Host: app.example\r\n\r\n")
		status, _ := inTime.answer()
		g.c.Check(status, qt.Equals, http.StatusOK)
		time.Sleep(headTime)
		status, _ = slow.answer()
		g.c.Check(status, qt.Equals, http.StatusRequestTimeout)
		g.c.Check(silent.isClosed(), qt.IsTrue)
		g.c.Check(g.served, qt.DeepEquals, []string{"/1"})
	})
}

// TestIdleConnectionsMayBeReused uses a connection again after the time that callers may, and leaves another one idle.
func TestIdleConnectionsMayBeReused(t *testing.T) {
	withGuarded(t, 10, ampleBytes, func(g *guarded) {
		cl, idle := g.dial(), g.dial()
		idle.send(get("/idle"))
		_, _ = idle.answer()
		for i := range 3 {
			cl.send(get(fmt.Sprint("/", i)))
			status, _ := cl.answer()
			g.c.Check(status, qt.Equals, http.StatusOK)
			g.c.Check(idle.isClosed(), qt.Equals, i == 2)
			time.Sleep(idleTime * 4 / 5)
		}
	})
}

// TestLongestWaitingConnectionMakesRoom opens one connection more than there is room for: the one that never had a request goes, then the one that has been
// idle for longest, and never one with a request.
func TestLongestWaitingConnectionMakesRoom(t *testing.T) {
	withGuarded(t, 4, ampleBytes, func(g *guarded) {
		busy, first, second := g.dial(), g.dial(), g.dial()
		busy.send(get("/wait"))
		for _, cl := range []*client{first, second} {
			cl.send(get("/1"))
			_, _ = cl.answer()
			time.Sleep(time.Millisecond)
		}
		silent := g.dial()
		for _, victim := range []*client{silent, first, second} {
			g.c.Check(victim.isClosed(), qt.IsFalse)
			next := g.dial()
			next.send(get("/wait-too"))
			synctest.Wait()
			g.c.Check(victim.isClosed(), qt.IsTrue)
		}
		refused := g.dial()
		status, _ := refused.answer()
		g.c.Check(status, qt.Equals, http.StatusServiceUnavailable)
		close(g.release)
		status, _ = busy.answer()
		g.c.Check(status, qt.Equals, http.StatusOK)
		g.c.Check(g.closed, qt.DeepEquals, map[connguard.Cause]int{connguard.MadeRoom: 3, connguard.NoRoom: 1})
	})
}

// TestClientsThatSendOnMakeRoom fills the memory of connections while a client sends on before its request is answered: it is cut off before one that has
// been idle, and gets no answer that looks whole.
func TestClientsThatSendOnMakeRoom(t *testing.T) {
	const connBytes, aheadBytes, headBytes = 32 << 10, 64 << 10, 4 << 10
	withGuarded(t, 100, 3*connBytes+aheadBytes+headBytes, func(g *guarded) {
		greedy, idle := g.dial(), g.dial()
		idle.send(get("/1"))
		_, _ = idle.answer()
		greedy.send(get("/wait"))
		synctest.Wait()
		greedy.send(get("/2") + get("/3"))
		synctest.Wait()
		_, memory := g.listener.Usage()
		g.c.Check(memory >= 2*connBytes+aheadBytes, qt.IsTrue, qt.Commentf("%d bytes", memory))
		for range 2 {
			g.dial().send(get("/wait-too"))
			synctest.Wait()
		}
		close(g.release)
		status, _ := greedy.answer()
		g.c.Check(status, qt.Equals, 0)
		g.c.Check(idle.isClosed(), qt.IsFalse)
		synctest.Wait()
		g.c.Check(g.served, qt.DeepEquals, []string{"/1", "/wait", "/wait-too", "/wait-too"})
		g.c.Check(g.closed, qt.DeepEquals, map[connguard.Cause]int{connguard.MadeRoom: 1})
	})
}

// TestBodiesThatDoNotComeMakeRoom fills a listener with requests whose bodies don't come: the one whose body has paused for longest goes for another one, and
// none whose body came a moment ago.
func TestBodiesThatDoNotComeMakeRoom(t *testing.T) {
	withGuarded(t, 2, ampleBytes, func(g *guarded) {
		const head = "POST /1 HTTP/1.1\r\nHost: app.example\r\nContent-Length: 10\r\n\r\n"
		stalled, slow := g.dial(), g.dial()
		stalled.send(head + "x")
		slow.send(head + "x")
		synctest.Wait()
		refused := g.dial()
		status, _ := refused.answer()
		g.c.Check(status, qt.Equals, http.StatusServiceUnavailable)
		time.Sleep(3 * time.Second)
		slow.send("x")
		synctest.Wait()
		ordinary := g.dial()
		ordinary.send(get("/2"))
		status, _ = ordinary.answer()
		g.c.Check(status, qt.Equals, http.StatusOK)
		g.c.Check(stalled.isClosed(), qt.IsTrue)
		slow.send("xxxxxxxx")
		status, _ = slow.answer()
		g.c.Check(status, qt.Equals, http.StatusOK)
		g.c.Check(g.closed, qt.DeepEquals, map[connguard.Cause]int{connguard.MadeRoom: 1, connguard.NoRoom: 1})
	})
}

// TestHeadsStayWithinTheirMemory sends parts of heads on more connections than their memory is for: a whole request is answered afterwards, and once all have ended
// nothing stays counted.
func TestHeadsStayWithinTheirMemory(t *testing.T) {
	const room = 1 << 20
	withGuarded(t, 1000, room, func(g *guarded) {
		var crowd []*client
		for range 50 {
			cl := g.dial()
			cl.send("GET / HTTP/1.1\r\nX-Pad: " + strings.Repeat("a", maxHead-100))
			crowd = append(crowd, cl)
			_, memory := g.listener.Usage()
			g.c.Check(memory <= room, qt.IsTrue, qt.Commentf("%d bytes", memory))
		}
		ordinary := g.dial()
		ordinary.send(get("/1"))
		status, _ := ordinary.answer()
		g.c.Check(status, qt.Equals, http.StatusOK)
		for _, cl := range append(crowd, ordinary) {
			_ = cl.conn.Close()
		}
		time.Sleep(2 * time.Second)
		conns, memory := g.listener.Usage()
		g.c.Check(conns, qt.Equals, 0)
		g.c.Check(memory, qt.Equals, int64(0))
	})
}

// TestFieldsCountWithTheirMemory sends a complete head of many short fields, of which the memory doesn't hold two at once.
func TestFieldsCountWithTheirMemory(t *testing.T) {
	withGuarded(t, 1000, 2<<20, func(g *guarded) {
		var fields strings.Builder
		for i := 0; fields.Len() < maxHead-100; i++ {
			fmt.Fprintf(&fields, "%x:\r\n", i)
		}
		first, second := g.dial(), g.dial()
		go first.send("GET /wait HTTP/1.1\r\nHost: app.example\r\n" + fields.String() + "\r\n")
		synctest.Wait()
		go second.send("GET /wait HTTP/1.1\r\nHost: app.example\r\n" + fields.String() + "\r\n")
		status, _ := second.answer()
		g.c.Check(status, qt.Equals, http.StatusServiceUnavailable)
		close(g.release)
		status, _ = first.answer()
		g.c.Check(status, qt.Equals, http.StatusOK)
		g.c.Check(g.served, qt.DeepEquals, []string{"/wait"})
	})
}

// TestBadRequestsAreRefusedAtOnce sends bytes that are no request.
func TestBadRequestsAreRefusedAtOnce(t *testing.T) {
	withGuarded(t, 10, ampleBytes, func(g *guarded) {
		for _, text := range []string{"\r\n", "\n", "hello\r\n", "GET / HTTP/2.0\r\n\r\n"} {
			cl := g.dial()
			cl.send(text)
			begin := time.Now()
			status, _ := cl.answer()
			g.c.Check(status == http.StatusBadRequest || status == http.StatusHTTPVersionNotSupported, qt.IsTrue, qt.Commentf("%q: %d", text, status))
			g.c.Check(time.Since(begin) < time.Second, qt.IsTrue)
		}
	})
}

// TestConnectionHijackedAfterItsEnd takes over a connection that was closed for another one while its request ran: it is counted no more.
func TestConnectionHijackedAfterItsEnd(t *testing.T) {
	withGuarded(t, 1, ampleBytes, func(g *guarded) {
		first := g.dial()
		first.send("GET /wait/hijack HTTP/1.1\r\nHost: a\r\n\r\n")
		synctest.Wait()
		first.send("G")
		synctest.Wait()
		second := g.dial()
		conns, memory := g.listener.Usage()
		g.c.Assert(conns, qt.Equals, 1)
		g.c.Assert(memory, qt.Equals, int64(connguard.ConnBytes))
		close(g.release)
		synctest.Wait()
		conns, memory = g.listener.Usage()
		g.c.Check(conns, qt.Equals, 1)
		g.c.Check(memory, qt.Equals, int64(connguard.ConnBytes))
		second.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
		status, _ := second.answer()
		g.c.Check(status, qt.Equals, http.StatusOK)
	})
}
