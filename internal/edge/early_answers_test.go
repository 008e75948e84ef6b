package edge_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// earlyServer answers each call once it has read the call's head, and reads the body slowly afterwards.
type earlyServer struct {
	mu sync.Mutex
	// bodies holds the bytes read as the body of each request, failures the errors other than the end of a connection.
	bodies   []string
	failures []error
}

func (s *earlyServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
				s.mu.Lock()
				s.failures = append(s.failures, err)
				s.mu.Unlock()
			}
			return
		}
		answer := "HTTP/1.1 200 OK\r\nAttempt-Id: " + req.Header.Get("Attempt-Id") + "\r\nServer-Signature: signed\r\nContent-Length: 5\r\n\r\nearly"
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		var body []byte
		chunk := make([]byte, 4096)
		for err == nil {
			time.Sleep(10 * time.Millisecond)
			var n int
			n, err = req.Body.Read(chunk)
			body = append(body, chunk[:n]...)
		}
		s.mu.Lock()
		s.bodies = append(s.bodies, string(body))
		s.mu.Unlock()
	}
}

// TestServersMayAnswerBeforeTheBody sends calls with large bodies to a server that answers before it has read them. Callers must get the answers, and the server
// only bytes of the body where the rest of the body is due.
func TestServersMayAnswerBeforeTheBody(t *testing.T) {
	withTestFleet(t, func(f *testFleet) {
		large := strings.Replace(string(configurationVersion(2, "key-1")), `"maxBodyBytes":1000`, `"maxBodyBytes":1000000`, 1)
		f.store.Put("op/config", []byte(large))
		server := new(earlyServer)
		end := f.replaceCallServer(server.serve)
		body := strings.Repeat("0123456789", 60_000)
		for i := range 3 {
			req := f.request(context.Background(), 0, fmt.Sprint("early-", i), "/c/1", "")
			req.Body, req.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
			resp, err := f.client.Do(req)
			f.c.Assert(err, qt.IsNil)
			text, err := io.ReadAll(resp.Body)
			f.c.Check(err, qt.IsNil)
			f.c.Check(resp.Body.Close(), qt.IsNil)
			f.c.Check(resp.StatusCode, qt.Equals, http.StatusOK)
			f.c.Check(string(text), qt.Equals, "early")
		}
		time.Sleep(5 * time.Second)
		server.mu.Lock()
		defer server.mu.Unlock()
		f.c.Check(server.failures, qt.HasLen, 0)
		f.c.Check(server.bodies, qt.HasLen, 3)
		for _, got := range server.bodies {
			f.c.Check(strings.HasPrefix(body, got), qt.IsTrue, qt.Commentf("%d bytes", len(got)))
		}
		end()
	})
}
