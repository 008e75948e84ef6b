package dev

import (
	"net"
	"net/http"
	"sync"
)

// openConns are the connections that a stand-in's server holds open.
type openConns struct {
	mu sync.Mutex
	// conns holds every connection until it is closed, the idle ones too.
	conns map[net.Conn]struct{}
}

func newOpenConns() *openConns { return &openConns{conns: make(map[net.Conn]struct{})} }

// track is a server's ConnState.
func (o *openConns) track(conn net.Conn, state http.ConnState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch state {
	case http.StateNew:
		o.conns[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(o.conns, conn)
	}
}

// closeAll ends every connection, as the operating system does for a process that died.
func (o *openConns) closeAll() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for conn := range o.conns {
		_ = conn.Close()
	}
}
