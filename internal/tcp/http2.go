package tcp

import (
	"net/http"
	"sync"
	"time"
)

const (
	// pingInterval is the time without received data after which a connection is checked by a ping, and pingTimeout the wait for the
	// reply before the connection is closed.
	pingInterval = time.Second
	pingTimeout  = time.Second
	// http1Period is how long HTTP/1 is used for a host after an HTTP/2 call to it failed.
	http1Period = time.Minute
	// maxHTTP1Hosts bounds the number of hosts in http1Until.
	maxHTTP1Hosts = 1024
)

// HTTP2Transport is an http.RoundTripper for HTTP/2 without TLS, whose header compression encodes a repeated header in one byte. All calls
// to a host share one connection, which is closed if a ping gets no reply. After a failed call it uses HTTP/1 for that host for
// http1Period, since hosts with an older release don't support HTTP/2.
type HTTP2Transport struct {
	http2, http1 *http.Transport

	mu sync.Mutex
	// http1Until holds, by host, the time until which HTTP/1 is used.
	http1Until map[string]time.Time
}

// NewHTTP2Transport returns an HTTP2Transport that dials with network.
func NewHTTP2Transport(network Network) *HTTP2Transport {
	t := &HTTP2Transport{http2: NewTransport(network), http1: NewTransport(network), http1Until: make(map[string]time.Time)}
	t.http2.Protocols = new(http.Protocols)
	t.http2.Protocols.SetUnencryptedHTTP2(true)
	t.http2.HTTP2 = &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout}
	return t
}

// RoundTrip implements http.RoundTripper. It doesn't retry a failed call, since the call's body may have been read.
func (t *HTTP2Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	if t.isHTTP1(req.URL.Host) {
		return t.http1.RoundTrip(req)
	}
	resp, err := t.http2.RoundTrip(req)
	if err != nil && req.Context().Err() == nil {
		t.useHTTP1(req.URL.Host)
	}
	return resp, err
}

func (t *HTTP2Transport) isHTTP1(host string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Now().Before(t.http1Until[host])
}

func (t *HTTP2Transport) useHTTP1(host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.http1Until) >= maxHTTP1Hosts {
		clear(t.http1Until)
	}
	t.http1Until[host] = time.Now().Add(http1Period)
}

// CloseIdleConnections closes the connections without calls in flight.
func (t *HTTP2Transport) CloseIdleConnections() {
	t.http2.CloseIdleConnections()
	t.http1.CloseIdleConnections()
}

// UnencryptedProtocols returns the protocols of a server that accepts connections of both NewTransport and NewHTTP2Transport: HTTP/1 and
// HTTP/2 without TLS.
func UnencryptedProtocols() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}
