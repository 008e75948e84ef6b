package upstream

import (
	"errors"
	"net"
	"syscall"
)

// isQuiet reports whether a connection's peer has neither ended it nor sent anything that nobody asked for. Connections that
// aren't the operating system's are taken for quiet.
func isQuiet(c net.Conn) bool {
	system, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, recvErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(recvErr, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}
