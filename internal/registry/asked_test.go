package registry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestServerIsUnresponsiveUntilItAnswers(t *testing.T) {
	var server Server
	began := time.Now()
	qt.Check(t, server.IsUnresponsive(began), qt.IsFalse)
	server.MarkPolled(began)
	server.MarkPolled(began.Add(answerPatience / 2))
	qt.Check(t, server.IsUnresponsive(began.Add(answerPatience-1)), qt.IsFalse)
	qt.Check(t, server.IsUnresponsive(began.Add(answerPatience)), qt.IsTrue)
	server.MarkResponded()
	qt.Check(t, server.IsUnresponsive(began.Add(answerPatience)), qt.IsFalse)
}
