package tcp

import (
	"net/http"
	"sync"
	"time"
)

const (
	// pingAfter is the silence after which a connection is asked for a sign of life, and pingTimeout how long it has for one.
	pingAfter   = time.Second
	pingTimeout = time.Second
	// http1Time is how long HTTP/1 is spoken to a host with which HTTP/2 failed.
	http1Time = time.Minute
	// maxHTTP1Hosts bounds the hosts remembered.
	maxHTTP1Hosts = 1024
)

// HTTP2Transport speaks HTTP/2 without TLS, over which headers that stay the same take a byte each. All calls to a host
// share a connection, which is closed if it goes silent. HTTP/1 is spoken for a while to a host of an older release.
type HTTP2Transport struct {
	http2, http1 *http.Transport

	mu sync.Mutex
	// http1Until tells until when HTTP/1 is spoken to a host.
	http1Until map[string]time.Time
}

// NewHTTP2Transport returns a transport over a network.
func NewHTTP2Transport(network Network) *HTTP2Transport {
	t := &HTTP2Transport{http2: NewTransport(network), http1: NewTransport(network), http1Until: make(map[string]time.Time)}
	t.http2.Protocols = new(http.Protocols)
	t.http2.Protocols.SetUnencryptedHTTP2(true)
	t.http2.HTTP2 = &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout}
	return t
}

// RoundTrip implements http.RoundTripper. A call that fails is not made again here, since its body is read.
func (t *HTTP2Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	if t.isHTTP1(req.URL.Host) {
		return t.http1.RoundTrip(req)
	}
	resp, err := t.http2.RoundTrip(req)
	if err != nil && req.Context().Err() == nil {
		t.noteHTTP1(req.URL.Host)
	}
	return resp, err
}

func (t *HTTP2Transport) isHTTP1(host string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Now().Before(t.http1Until[host])
}

func (t *HTTP2Transport) noteHTTP1(host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.http1Until) >= maxHTTP1Hosts {
		clear(t.http1Until)
	}
	t.http1Until[host] = time.Now().Add(http1Time)
}

// CloseIdleConnections closes the connections that nothing uses.
func (t *HTTP2Transport) CloseIdleConnections() {
	t.http2.CloseIdleConnections()
	t.http1.CloseIdleConnections()
}

// UnencryptedProtocols are the protocols of a server that NewTransport and NewHTTP2Transport speak to.
func UnencryptedProtocols() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}
