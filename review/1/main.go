//go:build review

// Command case1 runs one node of the users' platform with its store, three servers and callers, all on loopback. The node gets SIGTERM and,
// one second later, SIGHUP because its settings file has changed. Requests that the node has passed on to a server must still be answered.
package main

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/fake/platformfake"
)

const (
	callers = 16
	// work is the time that a server takes for a request, deadline the time that a caller waits for the answer.
	work     = 300 * time.Millisecond
	deadline = 4 * time.Second
	// grace is the time from SIGTERM to SIGKILL.
	grace = 8 * time.Second
	// hangUpAfter is the time from SIGTERM to SIGHUP.
	hangUpAfter = time.Second
	heartbeat   = 1200 * time.Millisecond
	settings    = `nodeName = "edge-a-1"
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

// request is what a caller saw of one request.
type request struct {
	id                 string
	sent, ended        time.Time
	status             int
	signed, isComplete bool
	err                error
}

// record collects what callers saw.
type record struct {
	mu       sync.Mutex
	requests []request
	ids      int
}

func (r *record) nextID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids++
	return fmt.Sprintf("%016x", r.ids)
}

func (r *record) add(q request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, q)
}

// answered returns the number of complete answers of servers.
func (r *record) answered() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, q := range r.requests {
		if q.isComplete && q.status == http.StatusOK {
			n++
		}
	}
	return n
}

// errCannotRun means that the case could not be run.
var errCannotRun = errors.New("case could not run")

func main() {
	recordPath := flag.String("record", "record.txt", "file to write")
	trouble := flag.String("trouble", "1", "0 leaves the SIGHUP out")
	flag.Parse()
	lost, err := run(*recordPath, *trouble != "0")
	switch {
	case err != nil:
		fmt.Println(err)
		os.Exit(2)
	case lost > 0:
		os.Exit(1)
	}
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

func run(recordPath string, isTrouble bool) (lost int, err error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return 0, errors.Join(errCannotRun, err)
	}
	defer os.RemoveAll(dir)
	store := platformfake.NewStore()
	defer store.Close()
	storeAddress, err := serve(store)
	if err != nil {
		return 0, errors.Join(errCannotRun, err)
	}
	store.Put("op/config", []byte(configuration))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var servers []*platformfake.Server
	for i := range 3 {
		id := "i-" + strconv.Itoa(i)
		server := platformfake.NewServer(platformfake.ServerOptions{ID: id, Latency: work})
		address, err := serve(server)
		if err != nil {
			return 0, errors.Join(errCannotRun, err)
		}
		servers = append(servers, server)
		go beat(ctx, store, id, address)
	}
	var own [5]string
	for i := range own {
		if own[i], err = freeAddress(); err != nil {
			return 0, errors.Join(errCannotRun, err)
		}
	}
	_, peerPort, _ := net.SplitHostPort(own[3])
	port, _ := strconv.Atoi(peerPort)
	text := fmt.Sprintf(settings, port, own[0], own[1], own[2], storeAddress)
	path := filepath.Join(dir, "local.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return 0, errors.Join(errCannotRun, err)
	}
	_, metricsPort, _ := net.SplitHostPort(own[4])
	node := exec.Command("target/monsoonrail", "edge", "--metrics-listen", "127.0.0.1:"+metricsPort)
	node.Env = append(os.Environ(), "MONSOONRAIL_CONFIG="+path)
	if err := node.Start(); err != nil {
		return 0, errors.Join(errCannotRun, err)
	}
	exited := make(chan error, 1)
	go func() { exited <- node.Wait() }()
	defer func() { _ = node.Process.Kill() }()
	if err := awaitReady(own[1]); err != nil {
		return 0, err
	}
	seen := &record{}
	var wait sync.WaitGroup
	stopping := make(chan struct{})
	for range callers {
		wait.Go(func() { call(own[0], seen, stopping) })
	}
	time.Sleep(3 * time.Second)
	if seen.answered() == 0 {
		return 0, errors.Join(errCannotRun, errors.New("no request was answered before the stop"))
	}
	terminated := time.Now()
	if err := node.Process.Signal(syscall.SIGTERM); err != nil {
		return 0, errors.Join(errCannotRun, err)
	}
	time.Sleep(hangUpAfter)
	if isTrouble {
		if err := os.WriteFile(path, []byte(text+"# changed\n"), 0o600); err != nil {
			return 0, errors.Join(errCannotRun, err)
		}
		if err := node.Process.Signal(syscall.SIGHUP); err != nil {
			return 0, errors.Join(errCannotRun, err)
		}
	}
	var end string
	select {
	case err := <-exited:
		end = fmt.Sprintf("process ended %.2f s after SIGTERM: %v", time.Since(terminated).Seconds(), err)
	case <-time.After(time.Until(terminated.Add(grace))):
		_ = node.Process.Kill()
		end = fmt.Sprintf("process killed at the end of the grace period: %v", <-exited)
	}
	close(stopping)
	wait.Wait()
	return judge(recordPath, seen, servers, terminated, end)
}

// beat writes a server's entry until ctx ends.
func beat(ctx context.Context, store *platformfake.Store, id, address string) {
	born := time.Now().UnixMilli()
	for sequence := 0; ctx.Err() == nil; sequence++ {
		store.Put("servers/"+id, fmt.Appendf(nil,
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
	return errors.Join(errCannotRun, errors.New("node did not become ready"))
}

// call sends requests over a kept connection, one after the other, and opens a new one after an answer with Connection: close. It stops when
// the node takes no more connections.
func call(address string, seen *record, stopping <-chan struct{}) {
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
			q := request{id: seen.nextID()}
			isOpen = exchange(conn, reader, &q)
			seen.add(q)
			if q.status == http.StatusServiceUnavailable {
				time.Sleep(300 * time.Millisecond)
			}
		}
		_ = conn.Close()
	}
}

// exchange sends one request and reads its answer; it reports whether the connection may be used again.
func exchange(conn net.Conn, reader *bufio.Reader, q *request) bool {
	defer func() { q.ended = time.Now() }()
	body := "order " + q.id
	head := "POST /orders/1 HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: " + q.id + "\r\nKey: k1\r\nDeadline-Ms: " +
		strconv.FormatInt(deadline.Milliseconds(), 10) + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	_ = conn.SetDeadline(time.Now().Add(deadline + 2*time.Second))
	if _, q.err = io.WriteString(conn, head+body); q.err != nil {
		return false
	}
	q.sent = time.Now()
	resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		q.err = err
		return false
	}
	defer resp.Body.Close()
	q.status, q.signed = resp.StatusCode, resp.Header.Get("Server-Signature") != ""
	if _, q.err = io.ReadAll(resp.Body); q.err != nil {
		return false
	}
	q.isComplete = true
	return !resp.Close
}

// judge writes the record and returns the number of requests that were passed on to a server during the stop and got no answer.
func judge(path string, seen *record, servers []*platformfake.Server, terminated time.Time, end string) (lost int, err error) {
	arrived := make(map[string]time.Time)
	for _, server := range servers {
		for _, arrival := range server.ListArrivals() {
			arrived[arrival.ID] = arrival.At
		}
	}
	var out strings.Builder
	fmt.Fprintf(&out, "times in seconds from SIGTERM\n%s\n", end)
	since := func(t time.Time) string {
		if t.IsZero() {
			return "-"
		}
		return fmt.Sprintf("%.3f", t.Sub(terminated).Seconds())
	}
	inFlight := 0
	for _, q := range seen.requests {
		ran, isRun := arrived[q.id]
		verdict := "answered"
		switch {
		case q.isComplete:
		case !isRun:
			verdict = "no answer, not passed on"
		// The rule excuses an end at the deadline, and requests at which a server is still at work in the last sixth of the grace period.
		case q.ended.Before(terminated), q.ended.Sub(q.sent) >= deadline, q.ended.Sub(terminated) >= grace*5/6:
			verdict = "no answer, excused"
		default:
			verdict = "LOST: passed on, ran, no answer"
			lost++
		}
		if q.sent.Before(terminated.Add(hangUpAfter)) && q.ended.After(terminated.Add(hangUpAfter)) {
			inFlight++
		}
		if q.ended.Before(terminated.Add(-time.Second)) && q.isComplete {
			continue
		}
		fmt.Fprintf(&out, "%s sent %s ran %s ended %s status %d signed %t error %v: %s\n", q.id, since(q.sent), since(ran), since(q.ended), q.status,
			q.signed, q.err, verdict)
	}
	fmt.Fprintf(&out, "%d requests, %d of them under way one second after SIGTERM, %d lost\n", len(seen.requests), inFlight, lost)
	fmt.Printf("%s; %d requests, %d under way at +1 s, %d lost\n", end, len(seen.requests), inFlight, lost)
	if err := os.WriteFile(path, []byte(out.String()), 0o600); err != nil {
		return 0, errors.Join(errCannotRun, err)
	}
	if inFlight == 0 {
		return 0, errors.Join(errCannotRun, errors.New("no request was under way one second after SIGTERM"))
	}
	return lost, nil
}
