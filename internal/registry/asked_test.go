package registry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestServerIsUnresponsiveUntilItResponds(t *testing.T) {
	var server Server
	began := time.Now()
	qt.Check(t, server.IsUnresponsive(began), qt.IsFalse)
	server.MarkPolled(began)
	server.MarkPolled(began.Add(loadPollTimeout / 2))
	qt.Check(t, server.IsUnresponsive(began.Add(loadPollTimeout-1)), qt.IsFalse)
	qt.Check(t, server.IsUnresponsive(began.Add(loadPollTimeout)), qt.IsTrue)
	server.MarkResponded()
	qt.Check(t, server.IsUnresponsive(began.Add(loadPollTimeout)), qt.IsFalse)
}
