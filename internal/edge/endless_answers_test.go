package edge_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fake/platformfake"
)

// machineMemory is the memory of the nodes' machines, in bytes.
const machineMemory = 134_000_000

// endlessServer is a faulty server that sends a head and then bytes without end, up to a bound at which it stalls.
type endlessServer struct {
	head, piece string
	most        int
	// taken counts the bytes that nodes have taken on connections that are open, peak is the most of them at any time.
	taken, peak atomic.Int64
}

func (s *endlessServer) serve(conn net.Conn) {
	own := 0
	defer func() {
		s.taken.Add(int64(-own))
		_ = conn.Close()
	}()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	text := strings.ReplaceAll(s.head, "ID", req.Header.Get("Attempt-Id"))
	for {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		own += len(text)
		if taken := s.taken.Add(int64(len(text))); taken > s.peak.Load() {
			s.peak.Store(taken)
		}
		if text = s.piece; own >= s.most {
			_, _ = io.Copy(io.Discard, conn)
			return
		}
	}
}

// TestEndlessAnswersFitIntoMemory guards against a faulty server that sends bytes without end to many requests at once, which together take more memory than
// the machine has.
func TestEndlessAnswersFitIntoMemory(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nServer-Signature: signed\r\nConnection: close\r\n"
	junk := strings.Repeat("x", 32<<10)
	for _, test := range []struct {
		name, path string
		server     *endlessServer
		requests   int
	}{
		{"body of a call", "/c/1", &endlessServer{head: head + "\r\n", piece: junk, most: 4<<20 - 1<<18}, 50},
		{"body of a failure", "/c/1", &endlessServer{head: strings.Replace(head, "200 OK", "500 Failed", 1) + "\r\n", piece: junk, most: 4<<20 - 1<<18}, 50},
		{"event of a stream", "/once/1", &endlessServer{head: head + "Content-Type: text/event-stream\r\n\r\ndata: ", piece: junk, most: 1<<20 - 1<<16}, 200},
		{"head", "/c/1", &endlessServer{head: head + "X-Junk: ", piece: junk, most: 8 << 20}, 50},
	} {
		t.Run(test.name, func(t *testing.T) {
			withTestFleet(t, func(f *testFleet) {
				defer f.replaceCallServer(test.server.serve)()
				f.store.Put("servers/m0", entry("models", "10.2.0.9:80", "ready"))
				f.store.Delete("servers/m1")
				time.Sleep(time.Second)
				var sent sync.WaitGroup
				for range test.requests {
					sent.Go(func() {
						got := f.send(context.Background(), 0, test.path, "key-1")
						f.c.Check(got.err == nil && got.status == http.StatusOK, qt.IsFalse)
					})
				}
				sent.Wait()
				peak := test.server.peak.Load()
				f.c.Check(peak < machineMemory/2, qt.IsTrue, qt.Commentf("%d bytes at once", peak))
				f.c.Check(f.send(context.Background(), 0, "/o/1", "").err, qt.IsNil)
			})
		})
	}
}

// TestLargeAnswersAreForwarded sends an answer of 3 MB through a node.
func TestLargeAnswersAreForwarded(t *testing.T) {
	withTestFleet(t, func(f *testFleet) {
		text := strings.Repeat("a", 3_000_000)
		f.setScript(platformfake.Script{Status: http.StatusOK, Text: text, IsFramedEnd: true})
		got := f.send(context.Background(), 0, "/c/1", "key-1")
		f.c.Assert(got.err, qt.IsNil)
		f.c.Check(got.body == text, qt.IsTrue)
	})
}
