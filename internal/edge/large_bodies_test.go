package edge_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/platform"
)

// TestLargeBodiesFitIntoMemory guards against callers whose bodies, each within its bound, together take more memory than the machine has. The bodies are held
// since the server answers late.
func TestLargeBodiesFitIntoMemory(t *testing.T) {
	const callers, bodyBytes = 68, 8 << 20
	withTestFleet(t, func(f *testFleet) {
		f.store.Put(platform.KeyConfig, bytes.Replace(configurationVersion(2, "key-1"), []byte(`"maxBodyBytes":1000`), fmt.Appendf(nil, `"maxBodyBytes":%d`, bodyBytes), 1))
		time.Sleep(time.Second)
		defer f.replaceCallServer(readsWholeBodies)()
		var held, peak atomic.Int64
		var answered, rejected atomic.Int64
		var calling sync.WaitGroup
		for i := range callers {
			calling.Go(func() {
				body := &heldBody{left: bodyBytes, held: &held, peak: &peak}
				req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+f.nodes[0].ip+":80/c/1", body)
				f.c.Assert(err, qt.IsNil)
				req.Host, req.ContentLength = "app.example", bodyBytes
				if i%2 == 0 {
					req.ContentLength = -1
				}
				req.Header.Set("Attempt-Id", fmt.Sprintf("large-%d", i))
				req.Header.Set("Key", "key-1")
				resp, err := f.client.Do(req)
				body.release()
				if !f.c.Check(err, qt.IsNil) {
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				switch resp.StatusCode {
				case http.StatusOK:
					answered.Add(1)
				case http.StatusServiceUnavailable:
					rejected.Add(1)
					f.c.Check(resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
				default:
					f.c.Check(resp.StatusCode, qt.Equals, http.StatusOK)
				}
			})
		}
		calling.Wait()
		t.Logf("%d bytes at once, %d answered, %d rejected", peak.Load(), answered.Load(), rejected.Load())
		f.c.Check(peak.Load() < machineMemory/2, qt.IsTrue, qt.Commentf("%d bytes at once", peak.Load()))
		f.c.Check(answered.Load() > 0 && answered.Load()+rejected.Load() == callers, qt.IsTrue)
		f.c.Check(f.send(context.Background(), 0, "/c/1", "key-1").status, qt.Equals, http.StatusOK)
	})
}

// readsWholeBodies is a server that reads each request whole and answers a second later.
func readsWholeBodies(conn net.Conn) {
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
		time.Sleep(time.Second)
		head := "HTTP/1.1 200 OK\r\nAttempt-Id: " + req.Header.Get("Attempt-Id") + "\r\nServer-Signature: signed\r\nContent-Length: 2\r\n\r\nok"
		if _, err := io.WriteString(conn, head); err != nil {
			return
		}
	}
}

// heldBody is a body that counts the bytes that the node has taken of it until release.
type heldBody struct {
	left       int
	own        int64
	held, peak *atomic.Int64
	mu         sync.Mutex
	isReleased bool
}

func (b *heldBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), b.left)
	b.left -= n
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.isReleased {
		b.own += int64(n)
		if held := b.held.Add(int64(n)); held > b.peak.Load() {
			b.peak.Store(held)
		}
	}
	return n, nil
}

func (b *heldBody) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held.Add(-b.own)
	b.isReleased = true
}
