// Package upstream sends requests to backend servers over connections that it keeps. It never sends a request twice, and tells
// apart what was certainly not sent.
package upstream

import (
	"bufio"
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/tcp"
)

const (
	// defaultDialTimeout bounds the wait for a connection: some hundred round trips within a region.
	defaultDialTimeout = 500 * time.Millisecond
	// defaultIdle is how long an unused connection is kept where the server doesn't say how long it keeps it.
	defaultIdle = 4 * time.Second
	// idleMargin is left before the time at which the server closes an idle connection, for a request under way.
	idleMargin = 700 * time.Millisecond
	// maxIdlePerServer bounds the idle connections kept to one server.
	maxIdlePerServer = 32
	// readBufferBytes is that of each connection: heads of answers and events of streams are shorter.
	readBufferBytes = 2 << 10
	// sweepInterval is how often connections that were idle for too long are closed.
	sweepInterval = time.Second
)

// Options configures NewPool.
type Options struct {
	Network tcp.Network
	// AnswerID returns the request id that an answer names, from its header; empty if it names none.
	AnswerID func(header map[string][]string) string
	// DialTimeout is defaultDialTimeout if 0.
	DialTimeout time.Duration
}

// Pool keeps connections to servers; it is safe for concurrent use.
type Pool struct {
	opts Options

	mu sync.Mutex
	// idle holds the unused connections by address, the one used last at the end.
	idle   map[string][]*conn
	closed bool
}

// NewPool returns an empty pool; Close must be called.
func NewPool(opts Options) *Pool {
	if opts.DialTimeout == 0 {
		opts.DialTimeout = defaultDialTimeout
	}
	return &Pool{opts: opts, idle: make(map[string][]*conn)}
}

// conn is a connection to a server; one request at a time uses it.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// reused tells that a request before was answered on it.
	reused bool
	// idleUntil is when it must no longer be used; set while it is idle.
	idleUntil time.Time
}

// take returns a live idle connection, or nil.
func (p *Pool) take(address string) *conn {
	now := time.Now()
	for {
		p.mu.Lock()
		kept := p.idle[address]
		if len(kept) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := kept[len(kept)-1]
		p.idle[address] = kept[:len(kept)-1]
		p.mu.Unlock()
		if now.Before(c.idleUntil) && c.reader.Buffered() == 0 && isQuiet(c.Conn) {
			return c
		}
		_ = c.Close()
	}
}

// dial opens a connection.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, p.opts.DialTimeout)
	defer cancel()
	opened, err := p.opts.Network.DialContext(dialCtx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: opened, address: address, reader: bufio.NewReaderSize(opened, readBufferBytes)}, nil
}

// put keeps a connection for later requests; keepAlive is how long the server keeps it idle, 0 if it didn't say.
func (p *Pool) put(c *conn, keepAlive time.Duration) {
	keep := defaultIdle
	if keepAlive > 0 {
		keep = keepAlive - idleMargin
	}
	p.mu.Lock()
	kept := p.idle[c.address]
	if keep > 0 && !p.closed && len(kept) < maxIdlePerServer {
		c.reused = true
		c.idleUntil = time.Now().Add(keep)
		p.idle[c.address] = append(kept, c)
		c = nil
	}
	p.mu.Unlock()
	if c != nil {
		_ = c.Close()
	}
}

// CloseIdle closes the idle connections to an address, whose server is gone.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	dropped := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range dropped {
		_ = c.Close()
	}
}

// Sweep closes connections that were idle for too long.
func (p *Pool) Sweep(now time.Time) {
	var stale []*conn
	p.mu.Lock()
	for address, kept := range p.idle {
		live := kept[:0]
		for _, c := range kept {
			if now.Before(c.idleUntil) {
				live = append(live, c)
			} else {
				stale = append(stale, c)
			}
		}
		if len(live) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = live
		}
	}
	p.mu.Unlock()
	for _, c := range stale {
		_ = c.Close()
	}
}

// SweepInterval is how often Sweep is to be called.
func (p *Pool) SweepInterval() time.Duration { return sweepInterval }

// Close closes the idle connections and keeps no more.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = make(map[string][]*conn)
	p.mu.Unlock()
	for _, kept := range idle {
		for _, c := range kept {
			_ = c.Close()
		}
	}
}

// keepAliveOf reads the timeout of a Keep-Alive header, in whole seconds; 0 if there is none.
func keepAliveOf(value string) time.Duration {
	for _, part := range strings.Split(value, ",") {
		name, seconds, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		if d, err := time.ParseDuration(strings.TrimSpace(seconds) + "s"); err == nil {
			return d
		}
	}
	return 0
}
