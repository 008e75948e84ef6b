package node

import (
	"context"
	"net/http"
)

// listenMetrics begins to listen on the metrics address, if the settings name one.
func (n *Node) listenMetrics(ctx context.Context) error {
	address := n.opts.Settings.Node.MetricsListen
	if address == "" {
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", n.metrics)
	return n.listenAdditional(ctx, metricsAPI, address, mux)
}
