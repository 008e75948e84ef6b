package dev

import (
	"net"
	"net/http"
	"sync"
)

// standInHost is the host of a stand-in. While the stand-in is down it refuses connections, as the operating system does for a process
// that died.
type standInHost struct {
	// listen begins to listen and to serve; nil for a stand-in that doesn't serve yet.
	listen func() (net.Listener, error)

	mu sync.Mutex
	// listener is nil while the stand-in is down.
	listener net.Listener
	// conns holds every connection until it is closed, the idle ones too.
	conns map[net.Conn]struct{}
}

func newStandInHost() *standInHost { return &standInHost{conns: make(map[net.Conn]struct{})} }

// track is a server's ConnState.
func (h *standInHost) track(conn net.Conn, state http.ConnState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch state {
	case http.StateNew:
		if h.listener == nil {
			_ = conn.Close()
		}
		h.conns[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(h.conns, conn)
	}
}

// up begins to take connections if the host takes none.
func (h *standInHost) up() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listen == nil || h.listener != nil {
		return nil
	}
	listener, err := h.listen()
	if err != nil {
		return Error.Wrap(err)
	}
	h.listener = listener
	return nil
}

// down ends every connection and takes no more.
func (h *standInHost) down() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listener != nil {
		_ = h.listener.Close()
		h.listener = nil
	}
	for conn := range h.conns {
		_ = conn.Close()
	}
}
