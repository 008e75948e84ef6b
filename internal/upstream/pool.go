// Package upstream sends requests to backend servers over a pool of connections. It never sends a request twice, and its errors
// distinguish requests that were certainly not sent.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/monsoonrail/monsoonrail/internal/tcp"
)

const (
	// defaultDialTimeout is the timeout for opening a connection: about a hundred round trips within a region.
	defaultDialTimeout = 500 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the server sends no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how long before the server closes an idle connection it is no longer used, to cover the way of a request.
	idleMargin = 700 * time.Millisecond
	// maxIdlePerServer bounds the idle connections kept to one server.
	maxIdlePerServer = 32
	// readBufferBytes is the read buffer size of each connection; heads of answers and events of streams are usually shorter.
	readBufferBytes = 2 << 10
	// maxHeadBytes bounds the head of an answer: a server in trouble may send bytes that are no answer without end.
	maxHeadBytes = 64 << 10
	// sweepInterval is the interval at which expired idle connections are closed.
	sweepInterval = time.Second
	// quietTimeout is the shortest time without a byte after which the path of a kept connection is checked.
	quietTimeout = 300 * time.Millisecond
	// silentTimeout is the time without a byte after which a request on a silent path is abandoned.
	silentTimeout = 500 * time.Millisecond
	// refusalTTL is how long refused connections are remembered: longer than requests take.
	refusalTTL = time.Minute
)

// Options configures NewPool.
type Options struct {
	Network tcp.Network
	// AnswerID returns the request id in the header of an answer; empty if there is none.
	AnswerID func(header map[string][]string) string
	// DialTimeout is the timeout for opening a connection; 0 means defaultDialTimeout.
	DialTimeout time.Duration
	// CountDial counts the connections opened by outcome; nil counts nothing.
	CountDial func(outcome tcp.DialOutcome)
	// IsUsable reports whether an open connection to a server may be used for a further request; nil means always.
	IsUsable func(conn net.Conn, address string) bool
	// MayCarry reports whether an open connection may carry the request of a context; nil means always.
	MayCarry func(ctx context.Context, conn net.Conn) bool
	// CheckPath is called when a kept connection has been silent for unusually long since a request was sent on it; nil does nothing.
	CheckPath func(address string)
}

// Pool keeps idle connections to servers for reuse; it is safe for concurrent use.
type Pool struct {
	opts Options

	mu sync.Mutex
	// idle holds the idle connections by address, the most recently used one last.
	idle   map[string][]*conn
	closed bool
	// active holds the connections with a request that may be abandoned, with its MayAbandon.
	active map[*conn]func() bool
	// refusedAt holds when each address last refused a connection, for refusalTTL.
	refusedAt map[string]time.Time
	// refusals are the answers to IsRefused that are awaited, by address.
	refusals singleflight.Group
	// lastID is the id of the connection that was opened last.
	lastID atomic.Uint64
	// lastReceived is when bytes last arrived from any server, in Unix nanoseconds.
	lastReceived atomic.Int64
}

// NewPool returns an empty pool; Close must be called.
func NewPool(opts Options) *Pool {
	if opts.DialTimeout == 0 {
		opts.DialTimeout = defaultDialTimeout
	}
	if opts.CountDial == nil {
		opts.CountDial = func(tcp.DialOutcome) {}
	}
	if opts.IsUsable == nil {
		opts.IsUsable = func(net.Conn, string) bool { return true }
	}
	if opts.MayCarry == nil {
		opts.MayCarry = func(context.Context, net.Conn) bool { return true }
	}
	if opts.CheckPath == nil {
		opts.CheckPath = func(string) {}
	}
	return &Pool{opts: opts, idle: make(map[string][]*conn), active: make(map[*conn]func() bool), refusedAt: make(map[string]time.Time)}
}

// ConnID identifies a connection of a pool.
type ConnID uint64

// conn is a connection to a server, used by one request at a time.
type conn struct {
	net.Conn
	id      ConnID
	address string
	reader  *bufio.Reader
	// head bounds the bytes that the reader gets while it reads a head.
	head *headLimiter
	// onSilence is that of Answer; nil ends a read at its deadline. Only the goroutine that reads uses it.
	onSilence func() (until time.Time, goesOn bool)
	// lastReceived is when bytes last arrived, or when the last request was sent if that is later, in Unix nanoseconds.
	lastReceived atomic.Int64
	// isAnswering is set while the body of an answer is read, isDropped if the request is to end because the path is silent.
	isAnswering, isDropped atomic.Bool
	// reused means that an earlier request was answered on the connection.
	reused bool
	// idleUntil is when the connection expires; set while it is idle.
	idleUntil time.Time
}

// takeIdle removes a usable idle connection, other than those of used, from the pool and returns it, or nil if there is none.
func (p *Pool) takeIdle(ctx context.Context, address string, used []ConnID) *conn {
	now := time.Now()
	for {
		p.mu.Lock()
		kept := p.idle[address]
		i := len(kept) - 1
		for i >= 0 && (slices.Contains(used, kept[i].id) || !p.opts.IsUsable(kept[i].Conn, address) || !p.opts.MayCarry(ctx, kept[i].Conn)) {
			i--
		}
		if i < 0 {
			p.mu.Unlock()
			return nil
		}
		c := kept[i]
		p.idle[address] = slices.Delete(kept, i, i+1)
		p.mu.Unlock()
		if now.Before(c.idleUntil) && c.reader.Buffered() == 0 && isReusable(c.Conn) {
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
	p.opts.CountDial(tcp.OutcomeOfDial(err))
	if err != nil {
		p.recordRefusal(address, err)
		return nil, err
	}
	c := &conn{Conn: opened, id: ConnID(p.lastID.Add(1)), address: address}
	c.head = &headLimiter{next: &receiver{conn: c, pool: p}}
	c.reader = bufio.NewReaderSize(c.head, readBufferBytes)
	return c, nil
}

// receiver reads from a connection and records when bytes arrive.
type receiver struct {
	conn *conn
	pool *Pool
}

// Read implements io.Reader.
func (r *receiver) Read(p []byte) (int, error) {
	n, err := r.conn.read(p)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && r.conn.extend() {
		n, err = r.conn.read(p)
	}
	if n > 0 {
		now := time.Now().UnixNano()
		r.pool.lastReceived.Store(now)
		r.conn.lastReceived.Store(now)
	}
	if err != nil && r.conn.isDropped.Load() {
		err = &ErrPathSilent{Cause: err}
	}
	return n, err
}

// read reads from the connection; a dropped one is at its deadline.
func (c *conn) read(p []byte) (int, error) {
	if c.isDropped.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Read(p)
}

// extend moves the deadline of a read that has reached it, and reports whether the read goes on.
func (c *conn) extend() bool {
	if c.onSilence == nil {
		return false
	}
	until, goesOn := c.onSilence()
	if !goesOn {
		return false
	}
	c.isDropped.Store(false)
	return c.SetReadDeadline(until) == nil
}

// drop ends the request on a connection whose path is silent, if it may be abandoned. Once its answer has begun, the reader decides whether the request stays.
func (c *conn) drop(mayAbandon func() bool) {
	isAnswering := c.isAnswering.Load()
	if !isAnswering && !mayAbandon() {
		return
	}
	c.isDropped.Store(true)
	if !isAnswering || c.SetReadDeadline(time.Unix(1, 0)) != nil {
		_ = c.Close()
	}
}

// DropSilent ends the requests on silent paths for which nothing has arrived for silentTimeout, and later those for which nothing arrives from now on, if they may be
// abandoned. Where an answer has begun, its reader decides (see Answer.OnSilence). It is called when a path is found to be silent.
func (p *Pool) DropSilent() {
	p.dropSilent()
	time.AfterFunc(silentTimeout, p.dropSilent)
}

func (p *Pool) dropSilent() {
	since := time.Now().Add(-silentTimeout).UnixNano()
	silent := make(map[*conn]func() bool)
	p.mu.Lock()
	for c, mayAbandon := range p.active {
		if c.lastReceived.Load() <= since && !p.opts.IsUsable(c.Conn, c.address) {
			silent[c] = mayAbandon
		}
	}
	p.mu.Unlock()
	for c, mayAbandon := range silent {
		c.drop(mayAbandon)
	}
}

// begin records that a request is sent on a connection.
func (p *Pool) begin(c *conn, req *Request) {
	c.lastReceived.Store(time.Now().UnixNano())
	if req.MayAbandon == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active[c] = req.MayAbandon
}

// end records that the request on a connection has ended.
func (p *Pool) end(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.active, c)
}

// watchSilence checks the path of a kept connection on which a request was just sent: if no answer begins for the request's QuietTimeout, or else if nothing arrives
// from any server for quietTimeout. Many answers take longer than that, but rarely all of them at the same time. The returned function ends the watch.
func (p *Pool) watchSilence(address string, req *Request) (end func() bool) {
	if req.QuietTimeout > 0 {
		return time.AfterFunc(max(quietTimeout, req.QuietTimeout), func() { p.opts.CheckPath(address) }).Stop
	}
	sentAt := time.Now().UnixNano()
	return time.AfterFunc(quietTimeout, func() {
		if p.lastReceived.Load() < sentAt {
			p.opts.CheckPath(address)
		}
	}).Stop
}

// IsRefused reports whether the server refuses new connections, as after a crash of its process. A server that accepts them, or can't be
// reached, does not. All requests that a crash breaks off ask at the same moment, and share the answer.
func (p *Pool) IsRefused(ctx context.Context, address string) bool {
	asked := p.refusals.DoChan(address, func() (any, error) {
		// The answer is of use to the others, too, if this request ends first.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), p.opts.DialTimeout)
		defer cancel()
		opened, err := p.opts.Network.DialContext(ctx, "tcp", address)
		if err == nil {
			_ = opened.Close()
		}
		p.recordRefusal(address, err)
		return isRefusal(err), nil
	})
	select {
	case <-ctx.Done():
		return false
	case answer := <-asked:
		isRefused, _ := answer.Val.(bool)
		return isRefused
	}
}

func isRefusal(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// recordRefusal records a refused connection; err is the result of opening it.
func (p *Pool) recordRefusal(address string, err error) {
	if !isRefusal(err) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusedAt[address] = time.Now()
}

// WasRefused reports whether the server has refused a connection since a moment, so that a process which ran a request then has ended, even if
// another one has started at the address.
func (p *Pool) WasRefused(address string, since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refusedAt[address].After(since)
}

// headLimiter bounds the bytes read between begin and end. It is used by one goroutine.
type headLimiter struct {
	next io.Reader
	// left is the number of bytes that may still be read; valid if isLimited.
	left      int
	isLimited bool
}

func (l *headLimiter) begin() { l.left, l.isLimited = maxHeadBytes, true }
func (l *headLimiter) end()   { l.isLimited = false }

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.isLimited {
		return l.next.Read(p)
	}
	if l.left == 0 {
		return 0, Error.Wrap(&ErrHeadTooLarge{MaxBytes: maxHeadBytes})
	}
	n, err := l.next.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// putIdle adds a connection to the pool, or closes it if the pool is full or closed. keepAlive is the server's Keep-Alive timeout; 0 if
// it sent none.
func (p *Pool) putIdle(c *conn, keepAlive time.Duration) {
	idleTimeout := defaultIdleTimeout
	if keepAlive > 0 {
		idleTimeout = keepAlive - idleMargin
	}
	p.mu.Lock()
	kept := p.idle[c.address]
	if idleTimeout > 0 && !p.closed && len(kept) < maxIdlePerServer {
		c.reused = true
		c.idleUntil = time.Now().Add(idleTimeout)
		p.idle[c.address] = append(kept, c)
		c = nil
	}
	p.mu.Unlock()
	if c != nil {
		_ = c.Close()
	}
}

// CloseIdle closes the idle connections to an address that no server uses any more.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	dropped := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range dropped {
		_ = c.Close()
	}
}

// isAbandoned reports whether an idle connection goes through a node through which none should go any more. One of this node's own may be usable again.
func (p *Pool) isAbandoned(c *conn) bool {
	_, isRelayed := c.Conn.(relayed)
	return isRelayed && !p.opts.IsUsable(c.Conn, c.address)
}

// Sweep closes idle connections that have expired or are abandoned, and drops what is outdated.
func (p *Pool) Sweep(now time.Time) {
	var stale []*conn
	p.mu.Lock()
	for address, kept := range p.idle {
		live := kept[:0]
		for _, c := range kept {
			if now.Before(c.idleUntil) && !p.isAbandoned(c) {
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
	maps.DeleteFunc(p.refusedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= refusalTTL })
	p.mu.Unlock()
	for _, c := range stale {
		_ = c.Close()
	}
}

// SweepInterval returns the interval at which Sweep should be called.
func (p *Pool) SweepInterval() time.Duration { return sweepInterval }

// Close closes the idle connections; connections returned later are closed at once.
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

// parseKeepAlive returns the timeout parameter of a Keep-Alive header, given in seconds; 0 if there is none.
func parseKeepAlive(value string) time.Duration {
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
