package tcp_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fake/memnet"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
)

// TestRemoteCloseOfIdleConnectionIsReported closes an idle connection from either side: only a close by the server must be reported.
func TestRemoteCloseOfIdleConnectionIsReported(t *testing.T) {
	const address = serverIP + ":80"
	for _, test := range []struct {
		name string
		end  func(network *memnet.Network, transport *http.Transport)
		want []string
	}{
		{"the server dies", func(network *memnet.Network, _ *http.Transport) { network.Kill(serverIP) }, []string{address}},
		{"the node closes", func(_ *memnet.Network, transport *http.Transport) { transport.CloseIdleConnections() }, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := memnet.New()
				listener, err := network.Host(serverIP).Listen(context.Background(), address)
				qt.Assert(t, err, qt.IsNil)
				web := &http.Server{Handler: http.NotFoundHandler()}
				go func() { _ = web.Serve(listener) }()
				defer func() { _ = web.Close() }()
				var ended []string
				transport := tcp.NewTransport(tcp.NotifyRemoteClose(network.Host(clientIP), func(address string) { ended = append(ended, address) }))
				defer transport.CloseIdleConnections()
				resp, err := (&http.Client{Transport: transport}).Get("http://" + address)
				qt.Assert(t, err, qt.IsNil)
				_, err = io.Copy(io.Discard, resp.Body)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, resp.Body.Close(), qt.IsNil)
				time.Sleep(time.Second)
				qt.Assert(t, ended, qt.HasLen, 0)
				test.end(network, transport)
				synctest.Wait()
				qt.Assert(t, ended, qt.DeepEquals, test.want)
			})
		})
	}
}
