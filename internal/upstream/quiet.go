package upstream

import (
	"errors"
	"net"
	"syscall"
)

// isReusable reports whether the peer has neither closed an idle connection nor sent unsolicited data on it. Connections without a file
// descriptor count as reusable.
func isReusable(c net.Conn) bool {
	if wrapper, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = wrapper.NetConn()
	}
	system, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, recvErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = errors.Is(recvErr, syscall.EAGAIN)
		return true
	})
	return err == nil && reusable
}
