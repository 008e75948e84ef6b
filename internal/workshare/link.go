package workshare

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/nodelist"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
)

const (
	// dialTimeout bounds the time in which a connection to an aggregator is opened and changed to the protocol.
	dialTimeout = 500 * time.Millisecond
	// minRetryDelay is the wait before a connection is opened again; it doubles with each failure in a row up to maxRetryDelay.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// maxUnconfirmed bounds the reports that an aggregator hasn't confirmed. With more the connection is given up.
	maxUnconfirmed = 64
)

// ErrRejected means that a node takes no connections for frames; Status is the HTTP status.
type ErrRejected struct{ Status int }

// Error implements error.
func (e *ErrRejected) Error() string {
	return fmt.Sprintf("connection rejected with status %d", e.Status)
}

// link is the connection to an aggregator, which is opened again when it fails. The exchange's mutex guards its fields from out on.
type link struct {
	e      *Exchange
	node   nodelist.Node
	cancel context.CancelFunc
	// isRemote is set for aggregators of other failure domains, which get no reports.
	isRemote bool

	// out is nil while there is no connection.
	out     *outbox
	session session
	// digest tracks what the aggregator knows of this node's work.
	digest *digest
	number uint64
	// wants are the sums that the node wants, wanted those that it asked for.
	wants, wanted scope
	sentAt        time.Time
	// confirmed is this node's part in the sums that come, unconfirmed the later reports, the earliest first.
	confirmed   map[name]amounts
	unconfirmed []frame
	// others is what the sums said of the other nodes' work; isComplete is set once they have come completely.
	others     map[name]row
	isComplete bool
	// heardAt is when the last frame came, asOf the time as of which the sums are known.
	heardAt, asOf time.Time
}

// linkTo returns the connection to an aggregator; the caller holds e.mu.
func (e *Exchange) linkTo(node nodelist.Node, now time.Time) *link {
	l, ok := e.links[node.ID]
	if ok && l.node.Peers == node.Peers {
		return l
	}
	if ok {
		l.close()
	}
	ctx, cancel := context.WithCancel(e.ctx)
	l = &link{e: e, node: node, cancel: cancel, isRemote: node.FailureDomain != e.opts.Domain, heardAt: now}
	e.links[node.ID] = l
	e.running.Go(func() { l.run(ctx) })
	return l
}

// close ends the connection.
func (l *link) close() { l.cancel() }

// isLive reports whether the sums that the node wants come; the caller holds the exchange's mutex.
func (l *link) isLive(now time.Time) bool {
	if l.wants == scopeNone || l.wanted != l.wants {
		return false
	}
	return l.out != nil && l.isComplete && now.Sub(l.heardAt) < max(maxSilence, 3*l.e.interval())
}

// mark records that this node's work at a server has changed; the caller holds the exchange's mutex.
func (l *link) mark(n name) {
	if l.out != nil {
		l.digest.mark(n)
	}
}

// run keeps the connection open until ctx ends.
func (l *link) run(ctx context.Context) {
	delay := minRetryDelay
	for {
		begin := time.Now()
		err := l.serve(ctx)
		if ctx.Err() != nil {
			return
		}
		if time.Since(begin) > maxRetryDelay {
			delay = minRetryDelay
		}
		l.e.opts.Log.WithField("node", string(l.node.ID)).WithError(err).Debug("connection for work failed")
		if !sleep.For(ctx, delay) {
			return
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// serve opens the connection and reads from it until it ends.
func (l *link) serve(ctx context.Context) error {
	l.e.mu.Lock()
	s := l.e.nextSession()
	l.e.mu.Unlock()
	conn, reader, err := l.open(ctx, s)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	out := newOutbox(conn)
	l.e.running.Go(out.run)
	defer out.stop()
	l.begin(out, s)
	defer l.end()
	frames := frameReader{from: reader}
	for {
		if err := conn.SetReadDeadline(time.Now().Add(l.silence())); err != nil {
			return Error.Wrap(err)
		}
		f, n, err := frames.next()
		if err != nil {
			return Error.Wrap(err)
		}
		l.e.opts.CountFrame(false, l.isRemote, n)
		l.receive(f, time.Now())
	}
}

// silence returns how long the connection may be silent.
func (l *link) silence() time.Duration {
	interval := l.e.interval()
	l.e.mu.Lock()
	defer l.e.mu.Unlock()
	if l.isComplete && l.wants != scopeNone {
		return max(maxSilence, 3*interval)
	}
	return max(maxIdleSilence, 4*interval)
}

// open opens a connection and changes it to the protocol.
func (l *link) open(ctx context.Context, s session) (net.Conn, *bufio.Reader, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := l.e.opts.Network.DialContext(ctx, "tcp", l.node.Peers)
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	reader, err := l.upgrade(conn, s)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = conn.Close()
		return nil, nil, Error.Wrap(err)
	}
	return conn, reader, nil
}

func (l *link) upgrade(conn net.Conn, s session) (*bufio.Reader, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+l.node.Peers+Path, nil)
	if err != nil {
		return nil, err
	}
	for key, value := range map[string]string{
		"Connection": "Upgrade", "Upgrade": protocol, headerNode: string(l.e.opts.Self), headerDomain: string(l.e.opts.Domain),
		headerStart: strconv.FormatInt(s.start, 10), headerSession: strconv.FormatUint(s.number, 10),
	} {
		req.Header.Set(key, value)
	}
	if err := req.Write(conn); err != nil {
		return nil, err
	}
	reader := bufio.NewReader(conn)
	answer, err := http.ReadResponse(reader, req)
	if err != nil {
		return nil, err
	}
	if answer.StatusCode != http.StatusSwitchingProtocols {
		_ = answer.Body.Close()
		return nil, &ErrRejected{Status: answer.StatusCode}
	}
	return reader, nil
}

// begin begins to use a connection.
func (l *link) begin(out *outbox, s session) {
	l.e.mu.Lock()
	defer l.e.mu.Unlock()
	now := time.Now()
	l.out, l.session, l.digest, l.number, l.wanted = out, s, newDigest(0, 0), 0, scopeNone
	l.confirmed, l.unconfirmed = make(map[name]amounts), nil
	l.others, l.isComplete, l.heardAt = make(map[name]row), false, now
	for n := range l.e.own {
		l.digest.mark(n)
	}
	l.report(now, l.e.interval())
}

// end ends the use of a connection. The sums of another failure domain count until they are outdated.
func (l *link) end() {
	l.e.mu.Lock()
	defer l.e.mu.Unlock()
	l.out, l.isComplete = nil, false
}

func (l *link) remote() source { return source{domain: l.node.FailureDomain} }

// report sends what changed of this node's work, if anything did; the caller holds the exchange's mutex.
func (l *link) report(now time.Time, interval time.Duration) {
	if l.out == nil {
		return
	}
	f := frame{number: l.number + 1, isFull: l.number == 0, wants: l.wants}
	if !l.isRemote {
		f.entries = l.digest.next(func(n name) row { return l.e.own[n].row }, l.budget(f.isFull, interval), now)
	}
	if len(f.entries) == 0 && !f.isFull && l.wants == l.wanted && now.Sub(l.sentAt) < idleHeartbeat-interval/2 {
		return
	}
	encoded := f.encode(now)
	if len(l.unconfirmed) >= maxUnconfirmed || !l.out.offer(encoded) {
		// The aggregator doesn't read or doesn't answer.
		_ = l.out.conn.Close()
		return
	}
	l.e.opts.CountFrame(true, l.isRemote, len(encoded))
	l.number, l.sentAt = f.number, now
	if l.wants != l.wanted {
		l.wanted, l.isComplete = l.wants, false
	}
	if !l.isRemote {
		l.unconfirmed = append(l.unconfirmed, f)
	}
}

// budget returns the bytes of a report; the first one says all.
func (l *link) budget(isFull bool, interval time.Duration) int {
	if isFull {
		return maxFrameBytes / 2
	}
	return int(reportBytes * interval.Seconds())
}

// receive applies sums that have come.
func (l *link) receive(f frame, now time.Time) {
	l.e.mu.Lock()
	defer l.e.mu.Unlock()
	if l.e.ctx == nil || l.out == nil {
		return
	}
	l.heardAt = now
	l.confirm(f.number)
	if f.wants != l.wanted || f.wants == scopeNone || !f.isFull && !l.isComplete {
		return
	}
	l.isComplete = true
	if l.isRemote {
		if f.isFull {
			l.e.ledger.begin(l.remote(), l.session, now)
		}
		l.e.ledger.apply(l.remote(), l.session, f, now)
		return
	}
	if f.isFull {
		clear(l.others)
	}
	if asOf := now.Add(-f.lag); asOf.After(l.asOf) {
		// Frames arrive in order: the lag of some changes must not make the others count as older than what they replace.
		l.asOf = asOf
	}
	isUsed := l.e.hearsFrom == l.node.ID
	if isUsed && !l.e.hasReceivers() {
		l.e.nudge()
	}
	for _, e := range f.entries {
		r := l.othersRow(e)
		l.others[e.name] = r
		if server, ok := l.e.servers[e.name]; ok && isUsed && !f.isFull {
			l.e.opts.Servers.HearPeers(server, r.peers(l.asOf))
		}
	}
	if isUsed && f.isFull {
		l.e.refreshedAt = time.Time{}
	}
}

// othersRow returns what a sum says of the other nodes' work; the caller holds the exchange's mutex.
func (l *link) othersRow(e entry) row {
	before, own := l.others[e.name], l.confirmed[e.name]
	r := e.row
	if e.hasPace {
		r.amounts = r.amounts.minus(own)
	} else {
		r.amounts = r.amounts.minus(own).withPaceOf(before.amounts)
	}
	if !r.slowdown.isNewerThan(before.slowdown) {
		r.slowdown = before.slowdown
	}
	return r
}

// confirm records that the sums hold a report and all before it; the caller holds the exchange's mutex.
func (l *link) confirm(number uint64) {
	done := 0
	for _, f := range l.unconfirmed {
		if f.number > number {
			break
		}
		for _, e := range f.entries {
			next := e.row.amounts
			if !e.hasPace {
				next = next.withPaceOf(l.confirmed[e.name])
			}
			if next == (amounts{}) {
				delete(l.confirmed, e.name)
			} else {
				l.confirmed[e.name] = next
			}
		}
		done++
	}
	l.unconfirmed = append(l.unconfirmed[:0], l.unconfirmed[done:]...)
}
