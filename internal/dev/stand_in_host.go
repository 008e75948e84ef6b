package dev

import (
	"net"
	"net/http"
	"sync"
)

// fakeHost is the host of a fake service. While the fake is down the host refuses connections, as an operating system does for a
// process that has crashed.
type fakeHost struct {
	// listen starts to listen and serve; nil for a fake that doesn't serve yet.
	listen func() (net.Listener, error)

	mu sync.Mutex
	// listener is nil while the fake is down.
	listener net.Listener
	// conns holds every open connection, including idle ones.
	conns map[net.Conn]struct{}
}

func newFakeHost() *fakeHost { return &fakeHost{conns: make(map[net.Conn]struct{})} }

// track is the ConnState hook of the fake's http.Server.
func (h *fakeHost) track(conn net.Conn, state http.ConnState) {
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

// up starts to accept connections unless the host accepts them already.
func (h *fakeHost) up() error {
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

// down closes every connection and accepts no more.
func (h *fakeHost) down() {
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
