package engine

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fake/enginefake"
	"github.com/monsoonrail/monsoonrail/internal/fake/memnet"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// TestProbeAndResumeOpenNewConnections checks that a probe and a resumption succeed although every existing connection to the
// engine went silent, idle ones included.
func TestProbeAndResumeOpenNewConnections(t *testing.T) {
	const node, server, address = "10.0.0.1", "10.0.0.2", "10.0.0.2:80"
	version := api.VersionID{Model: "m", Version: "1"}
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		engine := enginefake.New(enginefake.Options{TokensPerSecond: 10, Versions: []enginefake.Version{{ID: version}}})
		defer engine.Close()
		listener, err := network.Host(server).Listen(t.Context(), address)
		qt.Assert(t, err, qt.IsNil)
		served := &http.Server{Handler: engine}
		go func() { _ = served.Serve(listener) }()
		defer func() { _ = served.Close() }()

		transport := tcp.NewTransport(network.Host(node))
		defer transport.CloseIdleConnections()
		client := NewClient(&http.Client{Transport: transport}, &http.Client{Transport: tcp.NewTransportWithoutKeepAlive(network.Host(node))})
		opts := StreamOptions{Address: address, Attempt: "r-0", Version: version, HeaderTimeout: 10 * time.Second}
		opts.Request.Messages = []api.ChatMessage{{Role: "user", Content: "tokens=50"}}
		first, err := client.Open(t.Context(), opts)
		qt.Assert(t, err, qt.IsNil)
		// Leaves an idle connection in the pool.
		_, err = client.Load(t.Context(), address)
		qt.Assert(t, err, qt.IsNil)
		network.Silence(node, server)

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = client.Probe(ctx, address)
		qt.Assert(t, err, qt.IsNil)
		opts.Resume, opts.Offset, opts.HeaderTimeout = true, 3, time.Second
		again, err := client.Open(t.Context(), opts)
		qt.Assert(t, err, qt.IsNil)
		chunk, err := again.Next(t.Context(), time.Second)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, chunk.Offset, qt.Equals, 3)
		again.Close()
		first.Close()
	})
}
