package workshare

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// Path is the path of the requests whose connections carry the frames.
	Path = "/v1/work"
	// protocol is the protocol to which they change.
	protocol = "monsoonrail-work-1"

	headerNode    = "Monsoonrail-Node"
	headerDomain  = "Monsoonrail-Failure-Domain"
	headerStart   = "Monsoonrail-Start"
	headerSession = "Monsoonrail-Session"

	// maxAccepted bounds the connections of other nodes.
	maxAccepted = 1024
	// maxHeldFrames bounds the bytes of large frames that arrive from other nodes at a time.
	maxHeldFrames = 4 << 20
)

// acceptedConn is a connection of another node. The exchange's mutex guards its fields.
type acceptedConn struct {
	e   *Exchange
	out *outbox
	// source and session are those of its reports. Nodes of other failure domains report none.
	source   source
	session  session
	isRemote bool
	// number is that of the last report, wants the sums that it asked for. isInStep is set while all frames with these have been sent.
	number   uint64
	wants    scope
	isInStep bool
	sentAt   time.Time
}

// Handle registers the handler of other nodes' connections.
func Handle(mux *http.ServeMux, e *Exchange) { mux.HandleFunc("GET "+Path, e.serve) }

// serve serves a connection until it ends.
func (e *Exchange) serve(w http.ResponseWriter, req *http.Request) {
	start, err := strconv.ParseInt(req.Header.Get(headerStart), 10, 64)
	number, numberErr := strconv.ParseUint(req.Header.Get(headerSession), 10, 64)
	if err != nil || numberErr != nil || req.Header.Get("Upgrade") != protocol || req.Header.Get(headerNode) == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c := &acceptedConn{
		e: e, source: source{node: api.NodeID(req.Header.Get(headerNode))}, session: session{start: start, number: number},
		isRemote: api.FailureDomain(req.Header.Get(headerDomain)) != e.opts.Domain,
	}
	ctx, ok := e.admit(c)
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.running.Done()
	conn, reader, err := upgrade(w)
	if err != nil {
		return
	}
	out := newOutbox(conn)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	e.running.Go(out.run)
	defer out.stop()
	e.add(c, out)
	defer e.remove(c)
	frames := frameReader{from: reader, memory: e.frames.Reserve(req.RemoteAddr)}
	defer frames.memory.Release()
	for {
		// A node that is silent for longer has no part in the sums any more.
		if conn.SetReadDeadline(time.Now().Add(2*maxIdleSilence)) != nil {
			return
		}
		n, err := frames.receive()
		if err != nil || !e.take(c, &frames, n) {
			return
		}
	}
}

// admit counts a connection among those that leave waits for. It reports false if the node takes no part.
func (e *Exchange) admit(c *acceptedConn) (context.Context, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx == nil || len(e.accepted) >= maxAccepted || c.source.node == e.opts.Self {
		return nil, false
	}
	e.running.Add(1)
	return e.ctx, true
}

// add adds a connection whose protocol was changed.
func (e *Exchange) add(c *acceptedConn, out *outbox) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c.out, c.sentAt = out, time.Now()
	if e.ctx != nil {
		e.accepted[c] = true
	}
}

func (e *Exchange) remove(c *acceptedConn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.accepted, c)
}

// take decodes and heeds the frame that was received. It reports false if the connection is of no use any more.
func (e *Exchange) take(c *acceptedConn, frames *frameReader, bytes int) bool {
	if bytes > smallFrameBytes {
		e.largeFrame.Lock()
		defer e.largeFrame.Unlock()
	}
	f, err := frames.decode()
	return err == nil && e.heed(c, f, bytes, time.Now())
}

// heed applies a report. It reports false if the connection is of no use any more.
func (e *Exchange) heed(c *acceptedConn, f frame, bytes int, now time.Time) bool {
	e.opts.CountFrame(false, c.isRemote, bytes)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case !e.accepted[c]:
		return false
	case c.isRemote:
	case e.opts.MaxBytes > 0 && !e.ledger.hasRoom(c.source, f.entries, e.opts.MaxBytes):
		return false
	case f.isFull && !e.ledger.begin(c.source, c.session, now), !e.ledger.apply(c.source, c.session, f, now):
		return false
	}
	if f.wants != c.wants {
		c.isInStep = false
	}
	c.number, c.wants = f.number, f.wants
	return true
}

// send sends sums, and reports false if the node reads too slowly. The caller holds the exchange's mutex.
func (c *acceptedConn) send(f frame, entries []byte, now time.Time) bool {
	f.number = c.number
	encoded := appendFrame(nil, f, entries)
	if !c.out.offer(encoded) {
		return false
	}
	c.sentAt = now
	c.e.opts.CountFrame(true, c.isRemote, len(encoded))
	return true
}

// upgrade takes the connection of a request over and answers the request.
func upgrade(w http.ResponseWriter) (net.Conn, *bufio.Reader, error) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return nil, nil, Error.Wrap(err)
	}
	if buffered.Reader.Buffered() > 0 {
		err = errors.New("bytes before the protocol was changed")
	} else if err = conn.SetDeadline(time.Now().Add(writeTimeout)); err == nil {
		_, err = conn.Write([]byte("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + protocol + "\r\n\r\n"))
	}
	if err != nil {
		_ = conn.Close()
		return nil, nil, Error.Wrap(err)
	}
	return conn, buffered.Reader, nil
}
