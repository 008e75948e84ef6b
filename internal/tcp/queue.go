package tcp

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// kernelFactor is the memory that the kernel takes for a byte of a receive buffer: half of it is for its own bookkeeping.
const kernelFactor = 2

// BoundQueue bounds the connections that wait to be accepted by a listener, and the memory in bytes that the kernel takes for what has arrived on each of them and
// isn't read, before and after it is accepted. It does nothing for a listener that isn't a socket.
func BoundQueue(listener net.Listener, maxConns, receiveMemory int) error {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		// A second listen changes the length of the queue.
		optionErr = errors.Join(unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveMemory/kernelFactor), unix.Listen(int(fd), maxConns))
	})
	return errors.Join(err, optionErr)
}
