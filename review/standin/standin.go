//go:build review

// Package standin runs one node of the users' platform as a process, with a store, servers and callers of its own, all on loopback.
package standin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
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
	settings   = `nodeName = "edge-a-1"
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
		`"targetLatencyMs":300,"priority":0,"service":"desk","maxAttempts":3,"public":false}],` +
		`"services":[{"name":"desk","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false}],` +
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},` +
		`"tenants":[{"name":"t1","apiKeys":["k1"],"priority":0}]}`
)

// ErrCannotRun means that a case could not be run.
var ErrCannotRun = errors.New("case could not run")

// Deployment is a node with all that it needs.
type Deployment struct {
	Store   *platformfake.Store
	Servers []*platformfake.Server
	// Callers is the address of the node's listener for callers.
	Callers string
	Node    *exec.Cmd
	// Exited receives the end of the node's process.
	Exited chan error

	dir, path, text string
	stop            context.CancelFunc
}

// Start starts a deployment with servers of the given options, and returns once the node is ready.
func Start(servers ...platformfake.ServerOptions) (*Deployment, error) {
	d := &Deployment{Store: platformfake.NewStore(), Exited: make(chan error, 1)}
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
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
		server := platformfake.NewServer(options)
		address, err := serve(server)
		if err != nil {
			return err
		}
		d.Servers = append(d.Servers, server)
		go d.beat(ctx, options.ID, address)
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

// freeAddress returns a loopback address that was free a moment ago.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// beat writes a server's entry until ctx ends.
func (d *Deployment) beat(ctx context.Context, id, address string) {
	born := time.Now().UnixMilli()
	for sequence := 0; ctx.Err() == nil; sequence++ {
		d.Store.Put("servers/"+id, fmt.Appendf(nil,
			`{"service":"desk","address":%q,"zone":"a","version":"v1","slots":16,"state":"ready","warmupLeftMs":0,"sequence":%d,"born":%d}`,
			address, sequence, born))
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

// Call sends requests that may run once over a kept connection, one after the other, and opens a new connection after an answer with Connection:
// close. After a 503, which promises that the request has not run, it sends the same order once more. It stops when the node takes no more
// connections, or stopping is closed.
func Call(address string, seen *Record, stopping <-chan struct{}) {
	again := ""
	for {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		for isOpen := true; isOpen; {
			select {
			case <-stopping:
				_ = conn.Close()
				return
			default:
			}
			q := Request{ID: seen.nextID(), Path: again}
			if again == "" {
				q.Path = "/orders/" + q.ID
			}
			isOpen = exchange(conn, reader, &q)
			seen.add(q)
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
func exchange(conn net.Conn, reader *bufio.Reader, q *Request) bool {
	defer func() { q.Ended = time.Now() }()
	body := "order " + q.ID
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
