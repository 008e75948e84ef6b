package memnet

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestPausedHostSendsAndReceivesNothing pauses one end of an open connection and opens another connection during the pause.
func TestPausedHostSendsAndReceivesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := New()
		listener, err := network.Host("10.0.0.2").Listen(t.Context(), ":80")
		qt.Assert(t, err, qt.IsNil)
		open := func() [2]net.Conn {
			client, err := network.Host("10.0.0.1").DialContext(t.Context(), "tcp", "10.0.0.2:80")
			qt.Assert(t, err, qt.IsNil)
			server, err := listener.Accept()
			qt.Assert(t, err, qt.IsNil)
			return [2]net.Conn{client, server}
		}
		before := open()
		network.Pause("10.0.0.1")
		began := time.Now()
		during := open()
		time.AfterFunc(20*time.Second, func() { network.Resume("10.0.0.1") })
		for _, ends := range [][2]net.Conn{before, during} {
			for i := range ends {
				_, err := ends[i].Write([]byte("late"))
				qt.Assert(t, err, qt.IsNil)
			}
			for i := range ends {
				got := make([]byte, 4)
				n, err := ends[i].Read(got)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, string(got[:n]), qt.Equals, "late")
				qt.Assert(t, time.Since(began), qt.Equals, 20*time.Second)
			}
			for i := range ends {
				qt.Assert(t, ends[i].Close(), qt.IsNil)
			}
		}
	})
}
