package tunnel

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// pipeBufferBytes is the size of the buffer of each direction of a tunnel.
	pipeBufferBytes = 4 << 10
	// maxPipeIdle is how long a tunnel without bytes in either direction is kept: longer than requests take.
	maxPipeIdle = time.Minute

	// lingerReset lets Close reset a connection, lingerDefault lets it close the connection properly.
	lingerReset   = 0
	lingerDefault = -1
)

// lingerer is a connection that can be reset by its Close, such as a net.TCPConn.
type lingerer interface {
	SetLinger(seconds int) error
}

// setLinger sets what closing the connection does. It fails only if the connection is closed already.
func setLinger(conn net.Conn, seconds int) {
	if l, ok := conn.(lingerer); ok {
		_ = l.SetLinger(seconds)
	}
}

// pipe copies bytes between a node and a server until either closes its connection, and then closes both. The node's connection is reset unless the server has
// closed its own properly: an answer that ends with its connection must not look complete because the tunnel has ended. A write to the server may have taken
// the error of a reset away from the read, which then ends as if the server had closed properly.
func pipe(node, server net.Conn) {
	setLinger(node, lingerReset)
	var lastBytes atomic.Int64
	lastBytes.Store(time.Now().UnixNano())
	writes := &watchedWriter{conn: server}
	var directions sync.WaitGroup
	directions.Go(func() {
		if err := copyBytes(node, server, &lastBytes); err == nil && !writes.haveFailed() {
			setLinger(node, lingerDefault)
		}
		_ = node.Close()
		_ = server.Close()
	})
	directions.Go(func() {
		// The node closes its connection when it needs no answer any more.
		_ = copyBytes(writes, node, &lastBytes)
		_ = server.Close()
	})
	directions.Wait()
}

// watchedWriter writes to a connection and remembers whether that has failed.
type watchedWriter struct {
	conn net.Conn

	mu     sync.Mutex
	failed bool
}

// Write implements io.Writer.
func (w *watchedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, err := w.conn.Write(p)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		w.failed = true
	}
	return n, err
}

// haveFailed reports whether a write has failed, and ends all writes: one that waits for the peer would keep it from telling.
func (w *watchedWriter) haveFailed() bool {
	// An error means that the connection is closed, and with it every write.
	_ = w.conn.SetWriteDeadline(time.Unix(1, 0))
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failed
}

// copyBytes copies until the end of from, and returns nil if it was closed properly. lastBytes holds when bytes were last copied in either direction.
func copyBytes(to io.Writer, from net.Conn, lastBytes *atomic.Int64) error {
	buffer := make([]byte, pipeBufferBytes)
	for {
		if err := from.SetReadDeadline(time.Unix(0, lastBytes.Load()).Add(maxPipeIdle)); err != nil {
			return Error.Wrap(err)
		}
		n, err := from.Read(buffer)
		if n > 0 {
			lastBytes.Store(time.Now().UnixNano())
			if _, err := to.Write(buffer[:n]); err != nil {
				return Error.Wrap(err)
			}
		}
		isIdle := time.Since(time.Unix(0, lastBytes.Load())) >= maxPipeIdle
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil && (isIdle || !errors.Is(err, os.ErrDeadlineExceeded)):
			return Error.Wrap(err)
		}
	}
}
