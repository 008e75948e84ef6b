package edge_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestAnswersInAStopCloseTheirConnections guards against callers that aren't told that their connection ends: the answer to a request that came before the stop
// may begin within it.
func TestAnswersInAStopCloseTheirConnections(t *testing.T) {
	for _, test := range []struct {
		name    string
		latency time.Duration
	}{{"before the listener closes", 2 * time.Second}, {"after the listener has closed", 6 * time.Second}} {
		t.Run(test.name, func(t *testing.T) {
			withTestFleet(t, func(f *testFleet) {
				f.calls.SetLatency(test.latency)
				time.AfterFunc(100*time.Millisecond, f.nodes[0].stop)
				caller := f.dialCaller(0)
				head, body := request("early")
				caller.write(strings.Replace(head, "Deadline-Ms: 1000", "Deadline-Ms: 10000", 1) + body)
				resp, err := http.ReadResponse(caller.reader, nil)
				f.c.Assert(err, qt.IsNil)
				f.c.Check(resp.StatusCode, qt.Equals, http.StatusOK)
				f.c.Check(resp.Close, qt.IsTrue)
				<-f.nodes[0].done
			})
		})
	}
}
