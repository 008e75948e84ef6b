package cmd

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fake/platformfake"
)

// runProgramEnv makes the test binary run the program instead of the tests, for tests of a process as a whole.
const runProgramEnv = "MONSOONRAIL_TEST_RUN_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runProgramEnv) != "" {
		os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

const (
	// gracePeriod is the time that a node's process has from SIGTERM to its end, callLatency the time that a backend server takes for a call.
	gracePeriod = 3 * time.Second
	callLatency = 600 * time.Millisecond

	edgeSettings = `nodeName = "edge-a-1"
zone = "a"
[listen]
front = "%[1]s"
ready = "%[2]s"
[limits]
cores = 1
memoryMb = 284
[bounds]
contactMs = 3000
drainMs = 2000
graceS = %[3]d
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
	edgeConfiguration = `{"version":1,"routes":[{"name":"call","host":"app.example","prefix":"/c/","routeType":"unsafe","service":"calls",` +
		`"maxAttempts":1,"public":true}],"services":[{"name":"calls","healthPath":"/health"}]}`
)

// edgeProcess is a node of the users' platform as a process, with a fake platform and one backend server on loopback.
type edgeProcess struct {
	c       *qt.C
	cmd     *exec.Cmd
	callers string
	server  *platformfake.Server
	// settings is the path of the settings file.
	settings string
	// exited receives the result of the process, after which out holds its output.
	exited chan error
	out    bytes.Buffer
}

// startEdgeProcess starts the process and waits until it is ready. prepare may change the command before.
func startEdgeProcess(t *testing.T, prepare func(*exec.Cmd)) *edgeProcess {
	c := qt.New(t)
	p := &edgeProcess{c: c, settings: filepath.Join(t.TempDir(), "local.toml"), exited: make(chan error, 1)}
	store := platformfake.NewStore()
	t.Cleanup(store.Close)
	p.server = platformfake.NewServer(platformfake.ServerOptions{ID: "s0", Latency: callLatency})
	store.Put("op/config", []byte(edgeConfiguration))
	store.Put("servers/s0", fmt.Appendf(nil,
		`{"service":"calls","address":%q,"zone":"a","version":"v1","slots":8,"state":"ready","warmupLeftMs":0,"sequence":1,"born":1}`, listen(c, p.server)))
	ip := ownLoopbackIP()
	p.callers = ip + ":8001"
	readiness := ip + ":8002"
	text := fmt.Sprintf(edgeSettings, p.callers, readiness, int(gracePeriod.Seconds()), listen(c, store))
	c.Assert(os.WriteFile(p.settings, []byte(text), 0o600), qt.IsNil)

	p.cmd = exec.Command(os.Args[0], "edge", "--settings", p.settings)
	// The race detector would sleep for a second at the exit.
	p.cmd.Env = append(os.Environ(), runProgramEnv+"=1", "GORACE=atexit_sleep_ms=0")
	p.cmd.Stdout, p.cmd.Stderr = &p.out, &p.out
	if prepare != nil {
		prepare(p.cmd)
	}
	c.Assert(p.cmd.Start(), qt.IsNil)
	t.Cleanup(func() { _ = p.cmd.Process.Kill() })
	go func() { p.exited <- p.cmd.Wait() }()
	p.awaitReady(readiness)
	return p
}

func (p *edgeProcess) awaitReady(address string) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		select {
		case err := <-p.exited:
			p.c.Fatalf("node ended before it was ready: %v\n%s", err, p.out.String())
		default:
		}
		resp, err := http.Get("http://" + address + "/monsoonrail/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	p.c.Fatal("node did not become ready")
}

// call sends a call that must not be repeated, and returns its status, or an error if there is no complete answer.
func (p *edgeProcess) call(id string) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.callers+"/c/"+id, strings.NewReader("order"))
	if err != nil {
		return 0, err
	}
	req.Host = "app.example"
	req.Header.Set("Attempt-Id", id)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// startCall starts a call and returns, once the backend server runs it, a channel that receives its status; 0 stands for no answer.
func (p *edgeProcess) startCall(id string) <-chan int {
	statuses := make(chan int, 1)
	runs := len(p.server.Runs())
	go func() {
		status, err := p.call(id)
		if err != nil {
			status = 0
		}
		statuses <- status
	}()
	for end := time.Now().Add(10 * time.Second); len(p.server.Runs()) == runs; time.Sleep(time.Millisecond) {
		p.c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("call did not reach the backend server"))
	}
	return statuses
}

// listen serves a handler on a free loopback port and returns its address.
func listen(c *qt.C, handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := &http.Server{Handler: handler}
	c.TB.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String()
}

// loopbackIPs counts the results of ownLoopbackIP.
var loopbackIPs atomic.Uint32

// ownLoopbackIP returns a loopback IP that no other process of a test listens on, so that every port of it is free.
func ownLoopbackIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 128+pid>>8%64, pid%256, loopbackIPs.Add(1))
}
