//go:build review

// Package standin runs one node of the users' platform as a process, with a store, servers and callers of its own, all on loopback.
package standin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/fake/platformfake"
)

const (
	// Deadline is how long a caller waits for an answer.
	Deadline = 4 * time.Second
	// retryAfter is the wait before an order is sent again.
	retryAfter = 300 * time.Millisecond
	heartbeat  = 1200 * time.Millisecond
	// expiry is the time after which the entry of a silent server is removed: three heartbeats.
	expiry   = 3 * heartbeat
	settings = `nodeName = "edge-a-1"
role = "edge"
machineClass = "edge"
serves = ["edge","registry"]
ip = "127.0.0.1"
zone = "a"
region = "r"
internalPortRange = [%[1]d,%[1]d]
seeds = []
bootstrap = true
heartbeatMs = 1200
[zones]
a = "r"
[listen]
front = "%[2]s"
ready = "%[3]s"
directory = "%[4]s"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
[bounds]
contactMs = 3000
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
strictRevocation = true
revokeMs = 5000
retryBudgetRatio = 0.9
retryWindowS = 10
retrySlack = 56
exposureShare = 0.15
exposureSlack = 30
rollbackMs = 5000
sessionS = 5
ttl_max_s = 5
[platform]
address = "%[5]s"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
maxValueBytes = 1048576
minTtlMs = 1000
`
	configuration = `{"version":1,"routes":[{"name":"orders","host":"app.example","prefix":"/orders/","routeType":"unsafe","timeoutMs":4000,` +
		`"targetLatencyMs":300,"priority":0,"service":"desk","maxAttempts":3,"public":false},{"name":"chat","host":"app.example","prefix":"/chat/",` +
		`"routeType":"streaming","timeoutMs":20000,"targetLatencyMs":2000,"priority":0,"service":"engines","maxAttempts":3,"public":false,` +
		`"sessionAffinity":true,"resumable":true,"itlTargetMs":1500},{"name":"once","host":"app.example","prefix":"/once/",` +
		`"routeType":"streaming","timeoutMs":20000,"targetLatencyMs":2000,"priority":0,"service":"engines","maxAttempts":3,"public":false,` +
		`"sessionAffinity":true,"resumable":false,"itlTargetMs":1500}],` +
		`"services":[{"name":"desk","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false},{"name":"engines",` +
		`"healthPath":"/health","maxConnections":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacityTokens":489604}}],` +
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},` +
		`"tenants":[{"name":"t1","apiKeys":["k1"],"priority":0}]}`
)

// ErrCannotRun means that a case could not be run.
var ErrCannotRun = errors.New("case could not run")

// Deployment is a node with all that it needs.
type Deployment struct {
	Store *platformfake.Store
	// Callers is the address of the node's listener for callers.
	Callers string
	Node    *exec.Cmd
	// Exited receives the end of the node's process.
	Exited chan error

	dir, path, text string
	stop            context.CancelFunc

	// ctx ends with Close.
	ctx context.Context

	mu      sync.Mutex
	servers []*Server
	// passedOn holds when requests reached a server, by their ids.
	passedOn map[string]time.Time
}

// Start starts a deployment with servers of the given options, and returns once the node is ready.
func Start(servers ...platformfake.ServerOptions) (*Deployment, error) {
	d := &Deployment{Store: platformfake.NewStore(), Exited: make(chan error, 1), passedOn: make(map[string]time.Time)}
	ctx, stop := context.WithCancel(context.Background())
	d.ctx, d.stop = ctx, stop
	if err := d.start(ctx, servers); err != nil {
		d.Close()
		return nil, errors.Join(ErrCannotRun, err)
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context, servers []platformfake.ServerOptions) error {
	var err error
	if d.dir, err = os.MkdirTemp("", "review"); err != nil {
		return err
	}
	storeAddress, err := serve(d.Store)
	if err != nil {
		return err
	}
	d.Store.Put("op/config", []byte(configuration))
	for _, options := range servers {
		if err := d.startServer(ctx, options, "127.0.0.1:0"); err != nil {
			return err
		}
	}
	var own [5]string
	for i := range own {
		if own[i], err = freeAddress(); err != nil {
			return err
		}
	}
	_, peerPort, _ := net.SplitHostPort(own[3])
	port, _ := strconv.Atoi(peerPort)
	_, metricsPort, _ := net.SplitHostPort(own[4])
	d.Callers, d.path = own[0], filepath.Join(d.dir, "local.toml")
	d.text = fmt.Sprintf(settings, port, own[0], own[1], own[2], storeAddress)
	if err := d.writeSettings(""); err != nil {
		return err
	}
	d.Node = exec.Command("target/monsoonrail", "edge", "--metrics-listen", "127.0.0.1:"+metricsPort)
	d.Node.Env = append(os.Environ(), "MONSOONRAIL_CONFIG="+d.path)
	if err := d.Node.Start(); err != nil {
		return err
	}
	go func() { d.Exited <- d.Node.Wait() }()
	return awaitReady(own[1])
}

func (d *Deployment) writeSettings(more string) error {
	return os.WriteFile(d.path, []byte(d.text+more), 0o600)
}

// ChangeSettings changes the node's settings file without an effect on any setting.
func (d *Deployment) ChangeSettings() error { return d.writeSettings("# changed\n") }

// Close ends the node's process.
func (d *Deployment) Close() {
	d.stop()
	if d.Node != nil && d.Node.Process != nil {
		_ = d.Node.Process.Kill()
	}
	d.Store.Close()
	_ = os.RemoveAll(d.dir)
}

// serve serves a handler on a free loopback port.
func serve(handler http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}

// readFirst records that a request has reached a server, and lets the handler begin once its body has been read, as backend servers do.
func (d *Deployment) readFirst(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		d.mu.Lock()
		d.passedOn[req.Header.Get("Attempt-Id")] = time.Now()
		d.mu.Unlock()
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, req)
	})
}

// PassedOn returns when each request has reached a server, by its id.
func (d *Deployment) PassedOn() map[string]time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.passedOn)
}

// freeAddress returns a loopback address that was free a moment ago.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// startServer starts a backend server at an address, which may have port 0, and writes its entry until ctx ends or the server crashes.
func (d *Deployment) startServer(ctx context.Context, options platformfake.ServerOptions, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	server := platformfake.NewServer(options)
	own := &Server{Server: server, ID: options.ID, Address: listener.Addr().String(), stop: stop}
	own.http = &http.Server{Handler: d.readFirst(server)}
	d.mu.Lock()
	d.servers = append(d.servers, own)
	d.mu.Unlock()
	go func() { _ = own.http.Serve(listener) }()
	go d.beat(ctx, own, options.Events > 0)
	return nil
}

// Server is a backend server.
type Server struct {
	*platformfake.Server
	ID, Address string

	http *http.Server
	stop context.CancelFunc
}

// Servers returns all servers that were started.
func (d *Deployment) Servers() []*Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.servers)
}

// Crash ends a server's process: its connections are closed and it refuses new ones. It reports false if the server has crashed already. After a
// time another server with the options starts at its address.
func (d *Deployment) Crash(id string, down time.Duration, next platformfake.ServerOptions) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := slices.IndexFunc(d.servers, func(s *Server) bool { return s.ID == id })
	if i < 0 || d.servers[i].stop == nil {
		return false
	}
	crashed := d.servers[i]
	crashed.stop()
	crashed.stop = nil
	_ = crashed.http.Close()
	time.AfterFunc(down, func() { _ = d.startServer(d.ctx, next, crashed.Address) })
	time.AfterFunc(expiry, func() { d.Store.Delete("servers/" + id) })
	return true
}

// beat writes a server's entry until ctx ends.
func (d *Deployment) beat(ctx context.Context, server *Server, isEngine bool) {
	service := "desk"
	if isEngine {
		service = "engines"
	}
	born := time.Now().UnixMilli()
	for sequence := 0; ctx.Err() == nil; sequence++ {
		d.Store.Put("servers/"+server.ID, fmt.Appendf(nil,
			`{"service":%q,"address":%q,"zone":"a","version":"v1","slots":16,"state":"ready","warmupLeftMs":0,"sequence":%d,"born":%d}`,
			service, server.Address, sequence, born))
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

func awaitReady(address string) error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		resp, err := http.Get("http://" + address + "/monsoonrail/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("node did not become ready")
}

// Request is what a caller saw of one request.
type Request struct {
	ID string
	// Path names what the request orders: it is the same when a caller sends the order again.
	Path               string
	Sent, Ended        time.Time
	Status             int
	Signed, IsComplete bool
	Err                error
}

// Record collects what callers saw. The zero value is ready.
type Record struct {
	mu       sync.Mutex
	requests []Request
	ids      int
}

func (r *Record) nextID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids++
	return fmt.Sprintf("%016x", r.ids)
}

func (r *Record) add(q Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, q)
}

// Requests returns the requests that have ended.
func (r *Record) Requests() []Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Request(nil), r.requests...)
}

// Caller sends requests that may run once.
type Caller struct {
	Address  string
	Seen     *Record
	Stopping <-chan struct{}
}

// Call sends requests over a kept connection, one after the other, and opens a new connection after an answer with Connection: close. After a
// 503, which promises that the request has not run, it sends the same order once more. It stops when the node takes no more connections, or
// Stopping is closed.
func (c *Caller) Call() {
	again := ""
	for {
		conn, err := net.DialTimeout("tcp", c.Address, time.Second)
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		for isOpen := true; isOpen; {
			select {
			case <-c.Stopping:
				_ = conn.Close()
				return
			default:
			}
			q := Request{ID: c.Seen.nextID(), Path: again}
			if again == "" {
				q.Path = "/orders/" + q.ID
			}
			isOpen = c.exchange(conn, reader, &q)
			c.Seen.add(q)
			isRetry := again != ""
			again = ""
			if q.Status == http.StatusServiceUnavailable {
				time.Sleep(retryAfter)
				if !isRetry {
					again = q.Path
				}
			}
		}
		_ = conn.Close()
	}
}

// exchange sends one request and reads its answer; it reports whether the connection may be used again.
func (c *Caller) exchange(conn net.Conn, reader *bufio.Reader, q *Request) bool {
	defer func() { q.Ended = time.Now() }()
	body := "order " + q.Path
	head := "POST " + q.Path + " HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: " + q.ID + "\r\nKey: k1\r\nDeadline-Ms: " +
		strconv.FormatInt(Deadline.Milliseconds(), 10) + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	_ = conn.SetDeadline(time.Now().Add(Deadline + 2*time.Second))
	if _, q.Err = io.WriteString(conn, head+body); q.Err != nil {
		return false
	}
	q.Sent = time.Now()
	resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		q.Err = err
		return false
	}
	defer resp.Body.Close()
	q.Status, q.Signed = resp.StatusCode, resp.Header.Get("Server-Signature") != ""
	if _, q.Err = io.ReadAll(resp.Body); q.Err != nil {
		return false
	}
	q.IsComplete = true
	return !resp.Close
}
