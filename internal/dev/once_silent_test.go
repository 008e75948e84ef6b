package dev_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
)

// TestOnceOnlyCallAfterSilence silences the connections that a node keeps open to a plain service. A non-repeatable call
// can't be resent, so that the node must not send it on one of these connections.
func TestOnceOnlyCallAfterSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, nil)
		defer b.close()
		push := func(body string) {
			resp, raw := b.do(http.MethodPost, b.system.NodeURL(0)+"/v1/services/forge-app/push", nil, body)
			qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s: %s", body, raw))
		}
		for i := range 8 {
			push(fmt.Sprint("before ", i))
		}
		for i := range b.system.PlainServers() {
			b.net.Silence(nodeIP(0), plainIP(i))
		}
		for i := range 4 {
			push(fmt.Sprint("after ", i))
		}
		runs := 0
		for _, plain := range b.system.PlainServers() {
			runs += len(plain.Runs())
		}
		qt.Check(t, runs, qt.Equals, 12)
	})
}
