package cmd

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
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
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fake/platformfake"
	"github.com/monsoonrail/monsoonrail/internal/framing"
)

const (
	// crowdSize is the number of connections that a crowd keeps open, crowdTime how long it does.
	crowdSize = 400
	crowdTime = 2500 * time.Millisecond
	// crowdPause is the pause before a client of a crowd connects again, samplePause the one between two looks at the process.
	crowdPause  = 50 * time.Millisecond
	samplePause = 20 * time.Millisecond
	// crowdMemoryMB and crowdFiles are the limits of the process. reservedFiles of the descriptors are for files.
	crowdMemoryMB = 64
	crowdFiles    = 500
	reservedFiles = 200
	// ruinousMemory is that of a process which the machine would end.
	ruinousMemory = 512 << 20
	// outputTail is how much of a process's output a failed test shows.
	outputTail = 2000
	// ampleFiles are enough for every connection of a crowd, so that only memory bounds them.
	ampleFiles = 4100
	// largeAnswer is the size of the server's answers that the crowd doesn't read.
	largeAnswer = 1 << 20
	// ordinaryTries bounds how often the ordinary caller connects anew.
	ordinaryTries = 40

	// untrustedCallersEnv has to be set for the crowds, since the process must not share its machine with other tests.
	untrustedCallersEnv = "UNTRUSTED_CALLERS"

	// callersPort, readinessPort, addressesPort, peersPort and metricsPort are those of the listeners.
	callersPort   = 8001
	readinessPort = 8002
	addressesPort = 8003
	peersPort     = 8004
	metricsPort   = 8005

	crowdSettings = `nodeName = "edge-a-1"
zone = "a"
ip = "%[1]s"
internalPortRange = [8004, 8004]
[listen]
front = "%[1]s:8001"
ready = "%[1]s:8002"
directory = "%[1]s:8003"
[limits]
cores = 1
memoryMb = %[2]d
maxFds = %[3]d
[bounds]
contactMs = 3000
drainMs = 2000
graceS = 3
configApplyMs = 2000
revokeMs = 5000
retryBudgetRatio = 0.9
retryWindowS = 10
retrySlack = 56
exposureShare = 0.15
[platform]
address = "%[4]s"
minTtlMs = 1000
`
	crowdConfiguration = `{"version":1,"routes":[{"name":"call","host":"app.example","prefix":"/c/","routeType":"unsafe","service":"calls",` +
		`"maxAttempts":1,"public":true}],"services":[{"name":"calls","healthPath":"/health"}],` +
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`
	requestLine = "POST /c/1 HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: crowd\r\n"
	// chunkedRequest is the head of a request whose body comes in chunks.
	chunkedRequest = requestLine + "Transfer-Encoding: chunked\r\n\r\n"
)

// crowdCase is what each client of a crowd does on its connection.
type crowdCase struct {
	name string
	// files is the limit of the process's descriptors.
	files int
	send  func(conn net.Conn)
	// port is the listener's; 0 means that of callers.
	port int
	// memoryMB is the limit of the process's memory; 0 means crowdMemoryMB.
	memoryMB int
	// configuration is crowdConfiguration if empty.
	configuration string
	// isStopped has the process stopped while the crowd is there, instead of an ordinary caller.
	isStopped bool
	// prepare, which may be nil, writes further entries to the store.
	prepare func(store *platformfake.Store)
}

// memoryLimit returns the limit of the process's memory in bytes.
func (t *crowdCase) memoryLimit() int { return cmp.Or(t.memoryMB, crowdMemoryMB) << 20 }

// repeat sends a head and then a piece without end, until the node stops reading.
func repeat(head, piece string) func(net.Conn) {
	return func(conn net.Conn) {
		if _, err := io.WriteString(conn, head); err != nil {
			return
		}
		block := []byte(strings.Repeat(piece, max(1, (4<<10)/len(piece))))
		for {
			if _, err := conn.Write(block); err != nil {
				return
			}
		}
	}
}

// hold sends a text and then nothing, until the node closes the connection.
func hold(text string) func(net.Conn) {
	return func(conn net.Conn) {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, conn)
	}
}

// dribble sends a head a byte at a time.
func dribble(conn net.Conn) {
	for i := 0; ; i++ {
		text := "x"
		if i < len(requestLine) {
			text = requestLine[i : i+1]
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// shortFields returns the fields of a head, of a few bytes each, with the given size together.
func shortFields(size int) string {
	var head strings.Builder
	for i := 0; head.Len() < size; i++ {
		head.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return head.String()
}

// unread asks for answers that it doesn't read.
func unread(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(4 << 10)
	}
	for i := 0; ; i++ {
		if _, err := fmt.Fprintf(conn, "POST /c/large HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: crowd-%d\r\nContent-Length: 1000\r\n\r\n%s", i, strings.Repeat("x", 1000)); err != nil {
			return
		}
	}
}

func crowdCases() []crowdCase {
	const overLimit = 60 << 10
	long := "X-Long: " + strings.Repeat("a", overLimit)
	cases := []crowdCase{
		{name: "heads over the limit", files: ampleFiles, send: hold(requestLine + long)},
		{name: "heads without end", files: ampleFiles, send: repeat(requestLine+"X-Long: ", "a")},
		{name: "short fields over the limit", files: ampleFiles, send: hold(requestLine + shortFields(overLimit))},
		{name: "empty lines without end", files: ampleFiles, send: repeat("", "\r\n")},
		{name: "empty lines after a request", files: ampleFiles, send: repeat(requestLine+"Content-Length: 0\r\n\r\n", "\r\n")},
		{name: "heads a byte at a time", files: crowdFiles, send: dribble},
		{name: "chunk size without end", files: ampleFiles, send: repeat(chunkedRequest, "0")},
		{name: "chunk extension without end", files: ampleFiles, send: repeat(chunkedRequest+"1;", "a")},
		{name: "trailer without end", files: ampleFiles, send: repeat(chunkedRequest+"1\r\na\r\n0\r\n", "X-Trailer: a\r\n")},
		{name: "bodies that do not come", files: ampleFiles, send: hold(requestLine + "Content-Length: 10\r\n\r\nx")},
		{name: "unread answers and further requests", files: ampleFiles, send: unread},
		{name: "connections without a request", files: crowdFiles, send: hold("")},
		{name: "idle connections", files: crowdFiles, send: hold("GET / HTTP/1.1\r\nHost: app.example\r\n\r\n")},
	}
	for _, listener := range []struct {
		name string
		port int
	}{{"readiness", readinessPort}, {"addresses", addressesPort}, {"peers", peersPort}, {"metrics", metricsPort}} {
		cases = append(cases,
			crowdCase{name: "heads over the limit, " + listener.name, files: ampleFiles, send: hold("GET / HTTP/1.1\r\n" + long), port: listener.port},
			crowdCase{name: "short fields over the limit, " + listener.name, files: ampleFiles, send: hold("GET / HTTP/1.1\r\n" + shortFields(overLimit)), port: listener.port},
			crowdCase{name: "connections without a request, " + listener.name, files: crowdFiles, send: hold(""), port: listener.port},
		)
	}
	return append(cases, edgeCrowdCases()...)
}

// TestUntrustedCallers lets a crowd of clients that nobody controls loose on a node's process: the process lives within its memory and descriptors, and an
// ordinary request is answered.
func TestUntrustedCallers(t *testing.T) {
	requireUntrustedCallers(t)
	for _, test := range crowdCases() {
		t.Run(test.name, func(t *testing.T) {
			test.port = cmp.Or(test.port, callersPort)
			startCrowdedNode(qt.New(t), &test).bear(&test)
		})
	}
}

// requireUntrustedCallers skips a test that isn't run apart from others.
func requireUntrustedCallers(t *testing.T) {
	if os.Getenv(untrustedCallersEnv) == "" {
		t.Skipf("make crowds runs it apart from other tests, and sets %s", untrustedCallersEnv)
	}
}

// bear lets the crowd of a case loose on the process, and checks what must hold.
func (n *crowdedNode) bear(test *crowdCase) {
	ctx, endCrowd := context.WithTimeout(context.Background(), crowdTime)
	defer endCrowd()
	crowd := startCrowd(ctx, fmt.Sprintf("%s:%d", n.ip, test.port), test.send)
	if test.isStopped {
		n.stop(crowdTime / 2)
		endCrowd()
		crowd.close()
		return
	}
	peak := n.watch(ctx)
	// The crowd's last connections are open while the ordinary caller asks.
	status, body := n.callOrdinary()
	isHeard := n.isHeard == nil || n.isHeard(test.port)
	crowd.close()
	n.c.Logf("memory %d KiB at most (%d KiB resident, %d KiB unread), %d sockets at most", (peak.resident+peak.unread)>>10, peak.resident>>10, peak.unread>>10, peak.sockets)
	n.c.Check(n.isRunning(), qt.IsTrue)
	n.c.Check(status, qt.Equals, http.StatusOK)
	n.checkOrdinary(body)
	n.c.Check(isHeard, qt.IsTrue, qt.Commentf("the crowd's listener answers no ordinary request"))
	n.c.Check(peak.resident+peak.unread <= n.memory, qt.IsTrue, qt.Commentf("%d KiB of memory", (peak.resident+peak.unread)>>10))
	n.c.Check(peak.sockets <= test.files-reservedFiles, qt.IsTrue, qt.Commentf("%d sockets", peak.sockets))
}

// crowdedNode is a node's process that a crowd uses.
type crowdedNode struct {
	c      *qt.C
	ip     string
	cmd    *exec.Cmd
	exited chan struct{}
	out    bytes.Buffer
	// memory is the bound of the process's memory in bytes.
	memory int
	// sendOrdinary sends an ordinary request, checkOrdinary checks the body of its response.
	sendOrdinary  func() (*http.Response, error)
	checkOrdinary func(body string)
	// isHeard reports whether the listener at a port answers an ordinary request; nil if sendOrdinary tells.
	isHeard func(port int) bool
}

// startCrowdedNode starts a node of the users' platform and waits until it is ready.
func startCrowdedNode(c *qt.C, test *crowdCase) *crowdedNode {
	node := &crowdedNode{c: c, ip: ownLoopbackIP(), exited: make(chan struct{}), memory: test.memoryLimit()}
	node.isHeard = func(port int) bool { return port == callersPort || node.askOrdinary(port) }
	node.checkOrdinary = func(body string) { c.Check(body, qt.Equals, "answer of s0") }
	client := ordinaryClient()
	node.sendOrdinary = func() (*http.Response, error) {
		req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/c/1", node.ip, callersPort), strings.NewReader("order"))
		c.Assert(err, qt.IsNil)
		req.Host = "app.example"
		req.Header.Set("Attempt-Id", "ordinary")
		return client.Do(req)
	}
	store := platformfake.NewStore()
	c.TB.Cleanup(store.Close)
	large := strings.Repeat("a", largeAnswer)
	server := platformfake.NewServer(platformfake.ServerOptions{ID: "s0", Script: func(run platformfake.Run) *platformfake.Script {
		if !strings.HasSuffix(run.Path, "large") {
			return nil
		}
		return &platformfake.Script{Status: http.StatusOK, Text: large, Framing: framing.Length, IsFramedEnd: true}
	}})
	store.Put("op/config", []byte(cmp.Or(test.configuration, crowdConfiguration)))
	store.Put("servers/s0", fmt.Appendf(nil,
		`{"service":"calls","address":%q,"zone":"a","version":"v1","slots":8,"state":"ready","warmupLeftMs":0,"sequence":1,"born":1}`, listen(c, server)))
	if test.prepare != nil {
		test.prepare(store)
	}
	settings := filepath.Join(c.TB.TempDir(), "local.toml")
	c.Assert(os.WriteFile(settings, fmt.Appendf(nil, crowdSettings, node.ip, test.memoryLimit()>>20, test.files, listen(c, store)), 0o600), qt.IsNil)
	node.start([]string{"edge", "--settings", settings, "--metrics-listen", fmt.Sprintf("%s:%d", node.ip, metricsPort)}, nil,
		func() (*http.Response, error) {
			return http.Get(fmt.Sprintf("http://%s:%d/monsoonrail/readiness", node.ip, readinessPort))
		})
	return node
}

// start runs the program with further environment variables, and waits until the answer that get returns shows that the process is ready.
func (n *crowdedNode) start(args, env []string, get func() (*http.Response, error)) {
	n.cmd = exec.Command(os.Args[0], args...)
	n.cmd.Env = append(append(os.Environ(), runProgramEnv+"=1"), env...)
	n.cmd.Stdout, n.cmd.Stderr = &n.out, &n.out
	n.c.Assert(n.cmd.Start(), qt.IsNil)
	go func() {
		_ = n.cmd.Wait()
		close(n.exited)
	}()
	n.c.TB.Cleanup(func() {
		_ = n.cmd.Process.Kill()
		<-n.exited
		if n.c.Failed() {
			n.c.Logf("end of the process's output: %s", n.out.Bytes()[max(0, n.out.Len()-outputTail):])
		}
	})
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(samplePause) {
		n.c.Assert(time.Now().Before(end) && n.isRunning(), qt.IsTrue, qt.Commentf("the process did not become ready"))
		resp, err := get()
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
}

// ordinaryClient returns a client that opens a connection for each request.
func ordinaryClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
}

// stop asks the process to stop after a while, which it has to do by itself.
func (n *crowdedNode) stop(after time.Duration) {
	time.Sleep(after)
	n.c.Assert(n.isRunning(), qt.IsTrue)
	n.c.Assert(n.cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	select {
	case <-n.exited:
		n.c.Check(n.cmd.ProcessState.Success(), qt.IsTrue, qt.Commentf("%v", n.cmd.ProcessState))
	case <-time.After(20 * time.Second):
		n.c.Error("the process hangs")
	}
}

func (n *crowdedNode) isRunning() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// callOrdinary sends an ordinary request, on a new connection where one was closed, and returns its status and body.
func (n *crowdedNode) callOrdinary() (int, string) {
	for range ordinaryTries {
		resp, err := n.sendOrdinary()
		if err == nil {
			body, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if err == nil && resp.StatusCode == http.StatusOK {
				return resp.StatusCode, string(body)
			}
		}
		time.Sleep(crowdPause)
	}
	return 0, ""
}

// askOrdinary sends an ordinary request to a listener other than that of callers, and reports whether it is answered.
func (n *crowdedNode) askOrdinary(port int) bool {
	client := ordinaryClient()
	method, path := http.MethodGet, map[int]string{readinessPort: "/monsoonrail/readiness", addressesPort: "/monsoonrail/resolution?name=app.example", metricsPort: "/metrics"}[port]
	if port == peersPort {
		method, path = http.MethodPost, "/v1/store/list"
	}
	for range ordinaryTries {
		req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", n.ip, port, path), strings.NewReader("{}"))
		n.c.Assert(err, qt.IsNil)
		resp, err := client.Do(req)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if err == nil && resp.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(crowdPause)
	}
	return false
}

// usage is the most that a process used of something at any time; resident and unread are those of one moment.
type usage struct{ resident, unread, sockets int }

// watch looks at the process until ctx ends, and ends it when it takes more memory than any machine of the tests has.
func (n *crowdedNode) watch(ctx context.Context) usage {
	var peak usage
	for ctx.Err() == nil && n.isRunning() {
		now := usage{resident: n.resident(), unread: n.unread(), sockets: n.sockets()}
		if now.resident+now.unread > peak.resident+peak.unread {
			peak.resident, peak.unread = now.resident, now.unread
		}
		peak.sockets = max(peak.sockets, now.sockets)
		if now.resident > ruinousMemory {
			_ = n.cmd.Process.Kill()
			<-n.exited
		}
		time.Sleep(samplePause)
	}
	return peak
}

// resident returns the bytes of memory that the process has.
func (n *crowdedNode) resident() int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kib << 10
		}
	}
	return 0
}

// unread returns the bytes that have arrived at the node's address and were not read.
func (n *crowdedNode) unread() int {
	file, err := os.Open("/proc/net/tcp")
	n.c.Assert(err, qt.IsNil)
	defer file.Close()
	ip := net.ParseIP(n.ip).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:", ip[3], ip[2], ip[1], ip[0])
	all := 0
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		fields := strings.Fields(scanner.Text())
		if len(fields) < 5 || !strings.HasPrefix(fields[1], local) || fields[3] == listenState {
			continue
		}
		_, received, _ := strings.Cut(fields[4], ":")
		bytes, _ := strconv.ParseInt(received, 16, 64)
		all += int(bytes)
	}
	return all
}

// listenState is the state of a listening socket in /proc/net/tcp, whose queue counts connections.
const listenState = "0A"

// sockets returns the number of the process's open descriptors other than files.
func (n *crowdedNode) sockets() int {
	dir := fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid)
	entries, _ := os.ReadDir(dir)
	count := 0
	for _, entry := range entries {
		target, _ := os.Readlink(filepath.Join(dir, entry.Name()))
		if strings.HasPrefix(target, "socket:") || strings.HasPrefix(target, "pipe:") {
			count++
		}
	}
	return count
}

// crowd is a number of clients that connect again whenever they are closed out.
type crowd struct {
	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
	done   sync.WaitGroup
}

// startCrowd starts a crowd, which opens connections until ctx ends and keeps its last ones until it is closed.
func startCrowd(ctx context.Context, address string, send func(net.Conn)) *crowd {
	cr := &crowd{conns: make(map[net.Conn]bool)}
	for range crowdSize {
		cr.done.Go(func() {
			for ctx.Err() == nil {
				conn, err := net.Dial("tcp", address)
				if err == nil && cr.add(conn) {
					send(conn)
					cr.remove(conn)
				}
				time.Sleep(crowdPause)
			}
		})
	}
	return cr
}

func (cr *crowd) add(conn net.Conn) bool {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	if cr.closed {
		_ = conn.Close()
		return false
	}
	cr.conns[conn] = true
	return true
}

func (cr *crowd) remove(conn net.Conn) {
	_ = conn.Close()
	cr.mu.Lock()
	defer cr.mu.Unlock()
	delete(cr.conns, conn)
}

func (cr *crowd) close() {
	cr.mu.Lock()
	cr.closed = true
	for conn := range cr.conns {
		_ = conn.Close()
	}
	cr.mu.Unlock()
	cr.done.Wait()
}
