package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

const (
	// relayDialTimeout bounds the connection from a relay to its target.
	relayDialTimeout = 2 * time.Second
	// relayBlock is the most that a relay hands on at once.
	relayBlock = 32 << 10
)

// relay hands the connections to one address on to another, with faults between the two.
type relay struct {
	listen, target string

	mu       sync.Mutex
	listener net.Listener
	links    map[*link]struct{}
	// delay is added to each block, in both directions.
	delay time.Duration
	// held is closed when bytes towards the target flow again; nil while they flow.
	held   chan struct{}
	closed bool
}

// link is one connection through a relay.
type link struct {
	client, server *net.TCPConn
	// silent is closed once when the link goes silent for good: bytes vanish, and neither end learns of the other's.
	silent chan struct{}
	once   sync.Once
}

func newRelay(listen, target string) (*relay, error) {
	r := &relay{listen: listen, target: target, links: make(map[*link]struct{})}
	return r, r.up()
}

// up listens, unless the relay does.
func (r *relay) up() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener != nil || r.closed {
		return nil
	}
	listener, err := net.Listen("tcp", r.listen)
	if err != nil {
		return err
	}
	r.listener = listener
	go r.accept(listener)
	return nil
}

// down refuses new connections; open ones stay.
func (r *relay) down() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener != nil {
		_ = r.listener.Close()
		r.listener = nil
	}
}

func (r *relay) close() {
	r.down()
	r.hold(false)
	r.reset()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
}

func (r *relay) accept(listener net.Listener) {
	for {
		accepted, err := listener.Accept()
		if err != nil {
			return
		}
		go r.serve(accepted.(*net.TCPConn))
	}
}

func (r *relay) serve(client *net.TCPConn) {
	dialled, err := net.DialTimeout("tcp", r.target, relayDialTimeout)
	if err != nil {
		abort(client)
		return
	}
	l := &link{client: client, server: dialled.(*net.TCPConn), silent: make(chan struct{})}
	r.mu.Lock()
	r.links[l] = struct{}{}
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { r.pump(l, l.client, l.server, true) })
	both.Go(func() { r.pump(l, l.server, l.client, false) })
	both.Wait()
	_ = l.client.Close()
	_ = l.server.Close()
	r.mu.Lock()
	delete(r.links, l)
	r.mu.Unlock()
}

// pump hands on what comes from one end until that ends.
func (r *relay) pump(l *link, from, to *net.TCPConn, toTarget bool) {
	block := make([]byte, relayBlock)
	for {
		n, err := from.Read(block)
		r.await(l, toTarget)
		if l.isSilent() {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(block[:n]); writeErr != nil {
				abort(from)
				return
			}
		}
		if err == io.EOF {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			abort(to)
			return
		}
	}
}

// await waits for as long as faults hold bytes back.
func (r *relay) await(l *link, toTarget bool) {
	r.mu.Lock()
	delay, held := r.delay, r.held
	r.mu.Unlock()
	if toTarget && held != nil {
		select {
		case <-held:
		case <-l.silent:
		}
	}
	if delay > 0 {
		time.Sleep(delay)
	}
}

func (l *link) isSilent() bool {
	select {
	case <-l.silent:
		return true
	default:
		return false
	}
}

// abort ends a connection by a reset.
func abort(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// silence makes the open connections silent for good; new ones work.
func (r *relay) silence() int {
	links := r.open()
	for _, l := range links {
		l.once.Do(func() { close(l.silent) })
	}
	return len(links)
}

// reset ends the open connections by resets.
func (r *relay) reset() {
	for _, l := range r.open() {
		l.once.Do(func() { close(l.silent) })
		abort(l.client)
		abort(l.server)
	}
}

func (r *relay) open() []*link {
	r.mu.Lock()
	defer r.mu.Unlock()
	var links []*link
	for l := range r.links {
		links = append(links, l)
	}
	return links
}

// setDelay delays each block.
func (r *relay) setDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// hold keeps bytes towards the target back, on open and new connections, while those from it still flow.
func (r *relay) hold(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case on && r.held == nil:
		r.held = make(chan struct{})
	case !on && r.held != nil:
		close(r.held)
		r.held = nil
	}
}
