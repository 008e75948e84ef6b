package node

import (
	"context"
	"net/http"

	"github.com/monsoonrail/monsoonrail/internal/supervisor"
)

// listenMetrics begins to listen on the metrics address, if the settings name one.
func (n *Node) listenMetrics(ctx context.Context) error {
	address := n.opts.Settings.Node.MetricsListen
	if address == "" {
		return nil
	}
	listener, err := n.opts.Network.Listen(ctx, address)
	if err != nil {
		return Error.Wrap(err)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", n.metrics)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	n.parts.onClose = append(n.parts.onClose, func() { _ = server.Close() })
	n.parts.duties = append(n.parts.duties, supervisor.Duty{
		Name: "metrics-api", Run: func(ctx context.Context) error { return serveUntil(ctx, server, listener) },
	})
	return nil
}
