package edge_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLateBodyIsNotPassedOnToBeCutOff guards against a stopping node that passes on a request by when its head came: its body may come much later, and its
// server is then still at work when the shutdown ends.
func TestLateBodyIsNotPassedOnToBeCutOff(t *testing.T) {
	withTestFleet(t, func(f *testFleet) {
		f.calls.SetLatency(5 * time.Second)
		conn, err := f.network.Host(callerIP).DialContext(context.Background(), "tcp", f.nodes[0].ip+":80")
		f.c.Assert(err, qt.IsNil)
		defer func() { _ = conn.Close() }()
		f.nodes[0].stop()
		time.Sleep(time.Second)
		_, err = fmt.Fprint(conn, "POST /c/1 HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: late\r\nKey: key-1\r\nDeadline-Ms: 10000\r\nContent-Length: 5\r\n\r\nor")
		f.c.Assert(err, qt.IsNil)
		time.Sleep(3 * time.Second)
		_, err = fmt.Fprint(conn, "der")
		f.c.Assert(err, qt.IsNil)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if f.c.Check(err, qt.IsNil) {
			f.c.Check(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		}
		f.c.Check(f.ran("late"), qt.IsFalse)
		<-f.nodes[0].done
	})
}
