package edge_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// acceptTime is the part of the test fleet's grace period in which a stopping node accepts connections.
const acceptTime = 4800 * time.Millisecond

// rawCaller is a caller that writes the bytes of its requests itself.
type rawCaller struct {
	f      *testFleet
	conn   net.Conn
	reader *bufio.Reader
}

func (f *testFleet) dialCaller(node int) *rawCaller {
	conn, err := f.network.Host(callerIP).DialContext(context.Background(), "tcp", f.nodes[node].ip+":80")
	f.c.Assert(err, qt.IsNil)
	return &rawCaller{f: f, conn: conn, reader: bufio.NewReader(conn)}
}

// request returns the head and the body of a call.
func request(id string) (head, body string) {
	return "POST /c/1 HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: " + id + "\r\nKey: key-1\r\nDeadline-Ms: 1000\r\nContent-Length: 4\r\n\r\n", "body"
}

// write sends a part of a request, which the node may not take any more.
func (r *rawCaller) write(text string) { _, _ = io.WriteString(r.conn, text) }

// answer returns the status of the next answer; 0 if the connection ended instead.
func (r *rawCaller) answer() int {
	resp, err := http.ReadResponse(r.reader, nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// TestRequestsThatArriveInAShutdownAreAnswered sends requests on connections that a stopping node has accepted, from before it closes its listener until
// after it, whole and in parts.
func TestRequestsThatArriveInAShutdownAreAnswered(t *testing.T) {
	for _, test := range []struct {
		name string
		// isKept is set if the connection has served a request before.
		isKept bool
		// headAt, restAt and bodyAt are when the parts of the request are sent, counted from the closing of the listener.
		headAt, restAt, bodyAt time.Duration
	}{
		{name: "first request just before", headAt: -10 * time.Millisecond, restAt: -10 * time.Millisecond, bodyAt: -10 * time.Millisecond},
		{name: "first request just after", headAt: 10 * time.Millisecond, restAt: 10 * time.Millisecond, bodyAt: 10 * time.Millisecond},
		{name: "first request later", headAt: 500 * time.Millisecond, restAt: 500 * time.Millisecond, bodyAt: 500 * time.Millisecond},
		{name: "head in parts", headAt: -10 * time.Millisecond, restAt: 300 * time.Millisecond, bodyAt: 300 * time.Millisecond},
		{name: "body later", headAt: -10 * time.Millisecond, restAt: -10 * time.Millisecond, bodyAt: 300 * time.Millisecond},
		{name: "kept connection, just after", isKept: true, headAt: 10 * time.Millisecond, restAt: 10 * time.Millisecond, bodyAt: 10 * time.Millisecond},
		{name: "kept connection, head in parts", isKept: true, headAt: -10 * time.Millisecond, restAt: 300 * time.Millisecond, bodyAt: 300 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			withTestFleet(t, func(f *testFleet) {
				head, body := request("late")
				caller := f.dialCaller(0)
				if test.isKept {
					firstHead, firstBody := request("first")
					caller.write(firstHead + firstBody)
					f.c.Assert(caller.answer(), qt.Equals, http.StatusOK)
				}
				f.nodes[0].stop()
				closing := time.Now().Add(acceptTime)
				if !test.isKept {
					time.Sleep(acceptTime - 100*time.Millisecond)
					_ = caller.conn.Close()
					caller = f.dialCaller(0)
				}
				for _, part := range []struct {
					at   time.Duration
					text string
				}{{test.headAt, head[:40]}, {test.restAt, head[40:]}, {test.bodyAt, body}} {
					time.Sleep(time.Until(closing.Add(part.at)))
					caller.write(part.text)
				}
				status := caller.answer()
				f.c.Check(status == http.StatusOK || status == http.StatusServiceUnavailable, qt.IsTrue, qt.Commentf("status %d", status))
				f.c.Check(f.ran("late"), qt.Equals, status == http.StatusOK)
				<-f.nodes[0].done
			})
		})
	}
}

// TestIdleConnectionsDelayNoShutdown stops a node whose callers keep connections open, with and without requests before.
func TestIdleConnectionsDelayNoShutdown(t *testing.T) {
	withTestFleet(t, func(f *testFleet) {
		kept, silent := f.dialCaller(0), f.dialCaller(0)
		head, body := request("first")
		kept.write(head + body)
		f.c.Assert(kept.answer(), qt.Equals, http.StatusOK)
		stopped := time.Now()
		f.nodes[0].stop()
		<-f.nodes[0].done
		f.c.Check(time.Since(stopped) < acceptTime+1500*time.Millisecond, qt.IsTrue, qt.Commentf("%s", time.Since(stopped)))
		f.c.Check(silent.answer(), qt.Equals, 0)
	})
}
