package relay

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// unreadWriter is the writer of an answer that nobody reads.
type unreadWriter struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

// SetWriteDeadline implements the method of http.ResponseController.
func (w *unreadWriter) SetWriteDeadline(deadline time.Time) error {
	w.deadline = deadline
	return nil
}

// TestUnreadAnswersMakeRoomForOthers holds as many answers as there is room for, which nobody reads, and asks for another one.
func TestUnreadAnswersMakeRoomForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = minHeldBytes - 1
		c, held := qt.New(t), newHeldAnswers()
		var writers []*unreadWriter
		var releases []func()
		hold := func() bool {
			w := &unreadWriter{ResponseRecorder: httptest.NewRecorder()}
			release, ok := held.hold(w, &http.Request{RemoteAddr: "10.0.0.1:1"}, size)
			if ok {
				writers, releases = append(writers, w), append(releases, release)
			}
			return ok
		}
		for hold() {
			time.Sleep(time.Millisecond)
		}
		c.Assert(len(writers) > 2, qt.IsTrue)
		isEnded := func(i int) bool { return !writers[i].deadline.After(time.Now()) }
		c.Check(isEnded(0), qt.IsFalse)
		time.Sleep(minSmallTransfer)
		c.Check(hold(), qt.IsFalse)
		c.Check(isEnded(0), qt.IsTrue)
		c.Check(isEnded(1), qt.IsFalse)
		releases[0]()
		c.Check(hold(), qt.IsTrue)
		c.Check(hold(), qt.IsFalse)
		c.Check(isEnded(1), qt.IsTrue)
		c.Check(isEnded(2), qt.IsFalse)
		for _, release := range releases[1:] {
			release()
		}
		c.Check(held.memory.Used(), qt.Equals, int64(0))
		c.Check(held.unread.Len(), qt.Equals, 0)
		c.Check(writers[2].deadline.IsZero(), qt.IsTrue)
	})
}
