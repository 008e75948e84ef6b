package faultnet

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// startEcho starts an echo server on a loopback address and returns the address.
func startEcho(t *testing.T, network *Network) string {
	t.Helper()
	listener, err := network.Host("127.1.0.2").Listen(t.Context(), "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(accepted, accepted) }()
		}
	}()
	return listener.Addr().String()
}

func dial(t *testing.T, network *Network, address string) net.Conn {
	t.Helper()
	dialled, err := network.Host("127.0.0.9").DialContext(t.Context(), "tcp", address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = dialled.Close() })
	return dialled
}

func isEchoed(t *testing.T, c net.Conn) bool {
	t.Helper()
	_, err := c.Write([]byte("x"))
	qt.Assert(t, err, qt.IsNil)
	read := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 1))
		read <- err
	}()
	select {
	case err := <-read:
		return err == nil
	case <-time.After(50 * time.Millisecond):
		qt.Assert(t, c.Close(), qt.IsNil)
		<-read
		return false
	}
}

func TestSilentConnectionStaysOpenAndNewOnesWork(t *testing.T) {
	network := New()
	address := startEcho(t, network)
	old := dial(t, network, address)
	qt.Assert(t, isEchoed(t, old), qt.IsTrue)
	qt.Assert(t, network.Silence("127.0.0.1"), qt.Equals, 1)
	qt.Assert(t, isEchoed(t, old), qt.IsFalse)
	qt.Assert(t, isEchoed(t, dial(t, network, address)), qt.IsTrue)
}

func TestCutAndHeal(t *testing.T) {
	network := New()
	address := startEcho(t, network)
	old := dial(t, network, address)
	network.Cut("127.0.0.9", "127.0.0.1")
	_, err := old.Read(make([]byte, 1))
	qt.Assert(t, err, qt.IsNotNil)
	_, err = network.Host("127.0.0.9").DialContext(t.Context(), "tcp", address)
	qt.Assert(t, err, qt.IsNotNil)
	network.Heal("127.0.0.9", "127.0.0.1")
	network.SetDown("127.0.0.1", true)
	_, err = network.Host("127.0.0.9").DialContext(t.Context(), "tcp", address)
	qt.Assert(t, errors.Is(err, syscall.ECONNREFUSED), qt.IsTrue)
	network.SetDown("127.0.0.1", false)
	qt.Assert(t, isEchoed(t, dial(t, network, address)), qt.IsTrue)
}
