package tunnel

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/eventlog"
	"github.com/monsoonrail/monsoonrail/internal/nodelist"
	"github.com/monsoonrail/monsoonrail/internal/region"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// detourDelay is how long a node waits for a connection of its own before it also asks another node for one. A node whose share of a core is used up may stand
	// still for a tenth of a second.
	detourDelay = 200 * time.Millisecond
	// askDelay is the time between two nodes that are asked.
	askDelay = 100 * time.Millisecond
	// ownTimeout bounds the time in which a node opens a connection of its own while it asks other nodes for one.
	ownTimeout = 400 * time.Millisecond
	// defaultTimeout bounds the time in which a connection is opened at all.
	defaultTimeout = 500 * time.Millisecond
	// maxHelpersAsked bounds the nodes that are asked for one connection.
	maxHelpersAsked = 4
	// refusalsNeeded is the number of other nodes that must be refused, too, before a server counts as refusing connections.
	refusalsNeeded = 2
	// maxSlowDials bounds the own attempts that are slow, but have not failed, for which other nodes are asked at the same time: on a node that is slow itself, all
	// attempts are.
	maxSlowDials = 8
	// minCheckInterval is the minimum time between two checks of a path, maxChecks the number of paths that are checked in that time at most.
	minCheckInterval = time.Second
	maxChecks        = 4
)

// DialerOptions configures NewDialer; all fields but Timeout, OnSilent, Sign and Log are required.
type DialerOptions struct {
	Network tcp.Network
	Paths   *Paths
	Helpers *Helpers
	Log     log.Interface
	// CountTunnel counts the connections asked of other nodes by outcome.
	CountTunnel func(outcome tcp.DialOutcome)
	// Timeout bounds the time in which a connection is opened; 0 means 500 ms.
	Timeout time.Duration
	// OnSilent is called when a path is found to be silent.
	OnSilent func()
	// Sign returns the header by which other nodes recognize a CONNECT request for an address as a node's; nil means that they need none.
	Sign func(address string) http.Header
}

// Dialer opens connections to servers, through other nodes where this node's own paths are lost. Close must be called.
type Dialer struct {
	opts DialerOptions
	// ctx ends with Close; running are the races that still go on.
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu sync.Mutex
	// checkedAt holds when paths were checked within minCheckInterval, by address; at most maxChecks.
	checkedAt map[string]time.Time
	// slowDials counts the slow own attempts for which other nodes are asked.
	slowDials int
	isClosed  bool
}

// NewDialer returns a Dialer.
func NewDialer(opts DialerOptions) *Dialer {
	opts.Log = eventlog.OrDiscard(opts.Log)
	if opts.OnSilent == nil {
		opts.OnSilent = func() {}
	}
	if opts.Timeout == 0 {
		opts.Timeout = defaultTimeout
	}
	if opts.Sign == nil {
		opts.Sign = func(string) http.Header { return nil }
	}
	d := &Dialer{opts: opts, checkedAt: make(map[string]time.Time)}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	return d
}

// Close ends the attempts to open connections that still go on, and waits for them.
func (d *Dialer) Close() {
	d.mu.Lock()
	d.isClosed = true
	d.mu.Unlock()
	d.cancel()
	d.running.Wait()
}

// Conn is a connection to a server through another node.
type Conn struct {
	net.Conn
	// Via is the other node.
	Via nodelist.Node
}

// NetConn returns the connection to the other node.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// RelayedBy returns the "IP:port" of the other node.
func (c *Conn) RelayedBy() string { return c.Via.Peers }

// IsUsable reports whether an open connection to a server may be used for a further request: one of this node's own unless its path is silent, one through
// another node as long as that node is listed.
func (d *Dialer) IsUsable(conn net.Conn, address string) bool {
	if tunneled, ok := conn.(*Conn); ok {
		return d.opts.Helpers.IsListed(tunneled.Via)
	}
	return !d.opts.Paths.IsSilent(address)
}

// MayCarry reports whether a connection may carry the requests of a context: one through another node only if that is in a region of the context.
func (d *Dialer) MayCarry(ctx context.Context, conn net.Conn) bool {
	tunneled, ok := conn.(*Conn)
	return !ok || region.FromContext(ctx).Has(d.opts.Helpers.regions[tunneled.Via.FailureDomain])
}

// IsOwnPathLost reports whether this node's own path to a server is lost.
func (d *Dialer) IsOwnPathLost(address string) bool { return d.opts.Paths.IsLost(address) }

// Check finds out in the background whether this node's path to a server is lost, as when a connection to it is silent.
func (d *Dialer) Check(address string) {
	if !d.isCheckDue(address, time.Now()) {
		return
	}
	if r := d.begin(d.ctx, address); r != nil {
		// Nobody waits for the connection.
		r.abandon()
	}
}

// isCheckDue reports whether a path may be checked, and counts the check if so.
func (d *Dialer) isCheckDue(address string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.checkedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= minCheckInterval })
	if _, isRecent := d.checkedAt[address]; isRecent || len(d.checkedAt) >= maxChecks {
		return false
	}
	d.checkedAt[address] = now
	return true
}

// Listen implements tcp.Network.
func (d *Dialer) Listen(ctx context.Context, address string) (net.Listener, error) {
	return d.opts.Network.Listen(ctx, address)
}

// DialContext implements tcp.Network.
func (d *Dialer) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	r := d.begin(ctx, address)
	if r == nil {
		return nil, Error.Wrap(net.ErrClosed)
	}
	select {
	case won := <-r.won:
		return won.conn, won.err
	case <-ctx.Done():
		r.abandon()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	}
}

// begin starts a race for a connection; nil if the dialer is closed.
func (d *Dialer) begin(ctx context.Context, address string) *race {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isClosed {
		return nil
	}
	r := &race{
		d: d, address: address, within: region.FromContext(ctx), plan: d.opts.Paths.Plan(address, time.Now()), won: make(chan result, 1), abandoned: make(chan struct{}),
		results: make(chan result, maxHelpersAsked+1),
	}
	d.running.Go(func() { r.run(ctx) })
	return r
}

// beginSlowDial counts a slow own attempt, and reports false if there are too many.
func (d *Dialer) beginSlowDial() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.slowDials >= maxSlowDials {
		return false
	}
	d.slowDials++
	return true
}

func (d *Dialer) endSlowDial() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slowDials--
}

// logPath logs that a path is lost or usable again.
func (d *Dialer) logPath(message, address string, fields log.Fields) {
	d.opts.Log.WithFields(fields).WithFields(log.Fields{"address": address, "all_lost": d.opts.Paths.AreAllLost()}).Info(message)
}

// ask opens a connection to a server through another node.
func (d *Dialer) ask(ctx context.Context, helper nodelist.Node, address string) (net.Conn, error) {
	conn, err := d.opts.Network.DialContext(ctx, "tcp", helper.Peers)
	if err != nil {
		return nil, Error.Wrap(&unreachableHelper{err})
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	err = connect(conn, address, d.opts.Sign(address))
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = conn.Close()
		return nil, Error.Wrap(err)
	}
	return &Conn{Conn: conn, Via: helper}, nil
}

// unreachableHelper means that another node could not be reached. It hides whether that node refused the connection, which says nothing of the server.
type unreachableHelper struct{ cause error }

func (e *unreachableHelper) Error() string { return "node not reached: " + e.cause.Error() }

// connect sends a CONNECT request and reads the answer.
func connect(conn net.Conn, address string, header http.Header) error {
	var head bytes.Buffer
	head.WriteString("CONNECT " + address + " HTTP/1.1\r\nHost: " + address + "\r\n")
	// Writes to a bytes.Buffer don't fail.
	_ = header.Write(&head)
	head.WriteString("\r\n")
	if _, err := conn.Write(head.Bytes()); err != nil {
		return &unreachableHelper{err}
	}
	reader := bufio.NewReader(conn)
	answer, err := http.ReadResponse(reader, &http.Request{Method: http.MethodConnect})
	switch {
	case err != nil:
		return &unreachableHelper{err}
	case answer.StatusCode != http.StatusOK:
		return &ErrRejected{Status: answer.StatusCode}
	case reader.Buffered() > 0:
		return &unreachableHelper{errors.New("bytes before the first request")}
	}
	return nil
}

// outcomeOfAsk returns the outcome of asking another node for a connection.
func outcomeOfAsk(err error) tcp.DialOutcome {
	var rejected *ErrRejected
	switch {
	case err == nil:
		return tcp.DialOpened
	case !errors.As(err, &rejected):
		return tcp.DialFailed
	case rejected.Status == statusRefused:
		return tcp.DialRefused
	case rejected.Status == statusSilent:
		return tcp.DialSilent
	default:
		return tcp.DialFailed
	}
}

// isUnable reports whether a node that was asked can open no connection to any server now, or can't be reached.
func isUnable(err error) bool {
	var rejected *ErrRejected
	return !errors.As(err, &rejected) || rejected.Status == statusUnable
}

// result is the result of one attempt in a race.
type result struct {
	conn net.Conn
	err  error
	// helper is the node that was asked; empty for the node's own attempt.
	helper api.NodeID
}
