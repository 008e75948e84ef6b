package node

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/monsoonrail/monsoonrail/internal/supervisor"
)

// listenAdditional listens on a further address besides that of the caller API, adds the duty that serves it, and closes both
// with the node.
func (n *Node) listenAdditional(ctx context.Context, name, address string, handler http.Handler) error {
	opened, err := n.opts.Network.Listen(ctx, address)
	if err != nil {
		return Error.Wrap(err)
	}
	listener, server := n.guardListener(name, opened, handler)
	n.parts.onClose = append(n.parts.onClose, func() {
		_ = server.Close()
		// The server closes the listener only if the duty has begun to serve it.
		_ = listener.Close()
	})
	n.parts.duties = append(n.parts.duties, supervisor.Duty{
		Name: name, Run: func(ctx context.Context) error { return serveUntil(ctx, server, listener) },
	})
	return nil
}

// serveUntil serves until ctx ends. If the server was shut down before, it still waits for the end of ctx.
func serveUntil(ctx context.Context, server *http.Server, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return ctx.Err()
	}
	return Error.Wrap(err)
}
