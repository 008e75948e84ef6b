package tunnel

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/tcp"
)

const (
	// maxTunnels bounds the tunnels that a node has open for other nodes.
	maxTunnels = 256
	// helpTimeout bounds the time in which a node opens a connection for another one.
	helpTimeout = 400 * time.Millisecond
	// established is the answer to a CONNECT request once the connection is open.
	established = "HTTP/1.1 200 Connection established\r\n\r\n"
)

// Statuses of answers to CONNECT requests.
const (
	// statusUnable means that the node opens no connections for others now, statusUnknown that it opens none to this address.
	statusUnable  = http.StatusServiceUnavailable
	statusUnknown = http.StatusNotFound
	statusRefused = http.StatusBadGateway
	statusSilent  = http.StatusGatewayTimeout
)

// HandlerOptions configures NewHandler; all fields are required.
type HandlerOptions struct {
	Network tcp.Network
	// Paths holds which of the node's own paths are lost; it opens no connections for others over them.
	Paths *Paths
	// TakesRequests reports whether an address is that of a server that takes requests from this node.
	TakesRequests func(address string) bool
	// IsStopping reports whether the node stops.
	IsStopping func() bool
}

// Handler answers the CONNECT requests of other nodes. Close must be called.
type Handler struct {
	opts HandlerOptions
	// ctx ends with Close, which ends all tunnels.
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// open is the number of open tunnels.
	open int
	// changed is closed and replaced when a tunnel ends.
	changed chan struct{}
}

// NewHandler returns a Handler.
func NewHandler(opts HandlerOptions) *Handler {
	h := &Handler{opts: opts, changed: make(chan struct{})}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	return h
}

// Close ends all tunnels and waits for their ends.
func (h *Handler) Close() {
	h.cancel()
	h.Wait(context.Background())
}

// Open returns the number of open tunnels.
func (h *Handler) Open() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.open
}

// Wait waits until no tunnel is open, or until ctx ends.
func (h *Handler) Wait(ctx context.Context) {
	for {
		h.mu.Lock()
		open, changed := h.open, h.changed
		h.mu.Unlock()
		if open == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// begin counts a tunnel, and reports false if there are too many.
func (h *Handler) begin() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.open >= maxTunnels {
		return false
	}
	h.open++
	return true
}

func (h *Handler) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open--
	close(h.changed)
	h.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	address := req.Host
	if h.opts.IsStopping() || h.opts.Paths.AreAllLost() || h.ctx.Err() != nil {
		w.WriteHeader(statusUnable)
		return
	}
	if !h.opts.TakesRequests(address) || h.opts.Paths.IsLost(address) {
		w.WriteHeader(statusUnknown)
		return
	}
	if !h.begin() {
		w.WriteHeader(statusUnable)
		return
	}
	defer h.end()
	ctx, cancel := context.WithTimeout(req.Context(), helpTimeout)
	defer cancel()
	server, err := h.opts.Network.DialContext(ctx, "tcp", address)
	if err != nil {
		w.WriteHeader(statusOfDial(err))
		return
	}
	h.opts.Paths.Opened(address)
	node, err := take(w)
	if err != nil {
		_ = server.Close()
		return
	}
	defer context.AfterFunc(h.ctx, func() {
		_ = node.Close()
		_ = server.Close()
	})()
	pipe(node, server)
}

// take takes the connection of a CONNECT request over and answers the request.
func take(w http.ResponseWriter) (net.Conn, error) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if buffered.Reader.Buffered() > 0 {
		err = errors.New("bytes before the connection was established")
	} else if err = conn.SetDeadline(time.Time{}); err == nil {
		_, err = conn.Write([]byte(established))
	}
	if err != nil {
		_ = conn.Close()
		return nil, Error.Wrap(err)
	}
	return conn, nil
}

func statusOfDial(err error) int {
	if tcp.OutcomeOfDial(err) == tcp.DialRefused {
		return statusRefused
	}
	return statusSilent
}
