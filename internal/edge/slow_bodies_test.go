package edge_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestBodyThatNeverEndsIsRefused sends heads that announce a body, and a part of it: the node must not hold room for the rest for longer than anybody waits for
// the answer, whatever time the caller names.
func TestBodyThatNeverEndsIsRefused(t *testing.T) {
	for _, test := range []struct {
		name, head, path string
		within           time.Duration
	}{
		{"length", "Content-Length: 900\r\n\r\n", "/c/1", 12 * time.Second},
		{"chunks", "Transfer-Encoding: chunked\r\n\r\n1\r\n", "/c/1", 12 * time.Second},
		{"no route", "Content-Length: 900\r\n\r\n", "/none/1", 12 * time.Second},
		{"endless time at no route", "Deadline-Ms: 999999999\r\nContent-Length: 900\r\n\r\n", "/none/1", 32 * time.Second},
		{"endless time", "Deadline-Ms: 999999999\r\nContent-Length: 900\r\n\r\n", "/s/1", 22 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			withTestFleet(t, func(f *testFleet) {
				conn, err := f.network.Host(callerIP).DialContext(context.Background(), "tcp", f.nodes[0].ip+":80")
				f.c.Assert(err, qt.IsNil)
				defer func() { _ = conn.Close() }()
				timeout := "Deadline-Ms: 10000\r\n"
				if test.within > 12*time.Second {
					timeout = ""
				}
				_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: slow\r\nKey: key-1\r\n%s%sb", test.path, timeout, test.head)
				f.c.Assert(err, qt.IsNil)
				f.c.Assert(conn.SetReadDeadline(time.Now().Add(test.within)), qt.IsNil)
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				f.c.Assert(err, qt.IsNil)
				f.c.Check(resp.StatusCode, qt.Equals, http.StatusRequestTimeout)
				_, err = io.Copy(io.Discard, conn)
				f.c.Check(err, qt.IsNil)
				f.c.Check(f.executedRuns(), qt.HasLen, 0)
				f.c.Check(f.send(context.Background(), 0, "/c/1", "key-1").status, qt.Equals, http.StatusOK)
			})
		})
	}
}
