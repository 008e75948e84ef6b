package node

import (
	"context"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"github.com/monsoonrail/monsoonrail/internal/acceptance"
	"github.com/monsoonrail/monsoonrail/internal/cascade"
	"github.com/monsoonrail/monsoonrail/internal/follower"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

func (n *Node) serve(ctx context.Context) error { return serveUntil(ctx, n.server, n.listener) }

// Configs returns the node's copy of the configuration.
func (n *Node) Configs() *follower.Follower { return n.cluster.follower }

// Metrics returns the node's metrics.
func (n *Node) Metrics() metrics.Registry { return n.metrics.Registry() }

// Acceptor returns the acceptor of configuration changes.
func (n *Node) Acceptor() *acceptance.Acceptor { return n.cluster.acceptor }

// Estimate returns the node's estimate of a version's quality in a class.
func (n *Node) Estimate(service api.Service, class api.Class, v api.VersionID) cascade.Estimate {
	return n.versionChooser.Estimate(service, class, v)
}

// Run serves until ctx ends, then shuts down gracefully without cutting off requests.
func (n *Node) Run(ctx context.Context) error {
	dutyCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- n.supervisor.Run(dutyCtx) }()
	n.log.WithFields(log.Fields{
		"failure_domain": n.opts.Settings.Node.FailureDomain, "listen": n.opts.Settings.Node.Listen, "duties": n.supervisor.Len(),
		"key_value_service": strings.Join(n.opts.Settings.Platform.KV, ","),
	}).Info("node started")
	select {
	case err := <-ended:
		n.Close()
		return Error.Wrap(err)
	case <-ctx.Done():
	}
	n.drain()
	stop()
	err := <-ended
	n.Close()
	n.log.Info("node stopped")
	return Error.Wrap(err)
}

// drain removes the node from the addresses that callers get, serves until all addresses handed out have expired, and waits for
// its requests to finish.
func (n *Node) drain() {
	n.draining.Store(true)
	n.log.Info("node drains")
	n.parts.announceDrain()
	time.Sleep(n.opts.Settings.Node.AddressKeep)
	ctx, cancel := context.WithTimeout(context.Background(), n.opts.Settings.Node.DrainTimeout)
	defer cancel()
	if !n.router.Drain(ctx) {
		n.log.WithField("running", n.router.Running()).Warn("drain timeout, requests are ended")
		// Callers get the error while the HTTP server still delivers answers.
		n.router.Close()
	}
	shutdownCtx, cancelShutdown := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancelShutdown()
	if err := n.guards.Drain(shutdownCtx, callerAPI); err != nil {
		n.log.WithError(err).Warn("connections still open at shutdown")
	}
	n.parts.flush(shutdownCtx)
	n.tunnels.handler.Wait(shutdownCtx)
}

// Close shuts down at once and ends the requests that still run.
func (n *Node) Close() {
	n.closing.Do(func() {
		_ = n.server.Close()
		n.router.Close()
		n.parts.close()
		n.transport.CloseIdleConnections()
	})
}
