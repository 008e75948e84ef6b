package edge_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// troubledServer answers the first request of each path with given lines and then a body, and any further one soundly.
type troubledServer struct {
	// first is what comes before the header.
	first string
	asked atomic.Int64
}

func (s *troubledServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		header := "\r\nAttempt-Id: " + req.Header.Get("Attempt-Id") + "\r\nServer-Signature: signed\r\n"
		body := "trouble"
		first := s.first
		if last := req.Header.Get("Last-Event-Id"); last != "" || strings.HasPrefix(req.URL.Path, "/s/resumed") {
			header += "Content-Type: text/event-stream\r\n"
			if last == "" {
				first, body = "HTTP/1.1 200 OK", "id: 1\ndata: one\n\nid: 2\nda"
			}
		}
		s.asked.Add(1)
		if _, err := fmt.Fprintf(conn, "%s%sContent-Length: %d\r\n\r\n%s", first, header, len(body), body); err != nil {
			return
		}
		if body != "trouble" {
			return
		}
	}
}

// TestBadStatusesAreNoAnswers lets a server answer with statuses and lines that are none: no caller may get one as an answer, nor the body.
func TestBadStatusesAreNoAnswers(t *testing.T) {
	interim := "HTTP/1.1 103 Early Hints\r\n\r\n"
	for _, test := range []struct{ name, first string }{
		{"000", "HTTP/1.1 000 Nothing"}, {"099", "HTTP/1.1 099 Below"}, {"600", "HTTP/1.1 600 Beyond"}, {"999", "HTTP/1.1 999 Beyond"},
		{"short", "HTTP/1.1 20 OK"}, {"long", "HTTP/1.1 2000 OK"}, {"signed", "HTTP/1.1 +20 OK"}, {"no number", "HTTP/1.1 OK OK"}, {"none", "HTTP/1.1"},
		{"another protocol", "ICY 200 OK"}, {"another version", "HTTP/7.3 200 OK"},
		{"a row of interim ones", strings.Repeat(interim, 10_000) + "HTTP/1.1 200 OK"},
	} {
		for _, path := range []string{"/c/1", "/r/1", "/once/1", "/s/1", "/s/resumed"} {
			t.Run(test.name+path, func(t *testing.T) {
				withTestFleet(t, func(f *testFleet) {
					server := &troubledServer{first: test.first}
					defer f.replaceCallServer(server.serve)()
					f.store.Put("servers/m0", entry("models", "10.2.0.9:80", "ready"))
					f.store.Delete("servers/m1")
					time.Sleep(time.Second)
					got := f.send(context.Background(), 0, path, "key-1")
					f.c.Check(server.asked.Load() > 0, qt.IsTrue)
					if path == "/s/resumed" && got.status == http.StatusOK {
						f.c.Check(got.err, qt.IsNotNil)
						f.c.Check(got.body, qt.Equals, "id: 1\ndata: one\n\n")
						return
					}
					f.c.Check(got.status == http.StatusBadGateway || got.status == http.StatusGatewayTimeout, qt.IsTrue, qt.Commentf("status %d, %q, %v", got.status, got.body, got.err))
					f.c.Check(got.body, qt.Equals, "")
				})
			})
		}
	}
}

// TestInterimStatusesAreSkipped sends a call to a server that sends interim answers before its own.
func TestInterimStatusesAreSkipped(t *testing.T) {
	withTestFleet(t, func(f *testFleet) {
		server := &troubledServer{first: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK"}
		defer f.replaceCallServer(server.serve)()
		got := f.send(context.Background(), 0, "/c/1", "key-1")
		f.c.Check(got.status, qt.Equals, http.StatusOK)
		f.c.Check(got.body, qt.Equals, "trouble")
	})
}
