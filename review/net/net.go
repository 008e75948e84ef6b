//go:build review

// Package net runs a small deployment for the cases of this review: nodes as separate processes, the platform's store, backend servers,
// and links between all of them that can be cut.
package net

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	stdnet "net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/fake/platformfake"
)

// beat is how often a server writes its entry.
const beat = 1200 * time.Millisecond

// nodePrefix precedes the keys by which nodes tell each other their addresses.
const nodePrefix = "monsoonrail/nodes/"

// Record writes what was sent, answered and run, with the time since its start.
type Record struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
}

// NewRecord returns a record that is written to a file and to standard output.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{out: io.MultiWriter(file, os.Stdout), began: time.Now()}, nil
}

// Printf adds a line.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Link forwards connections to an address until it is cut. What is sent over a link that is cut is held up, and delivered once it is healed.
type Link struct {
	// Address is where the link is reached.
	Address string

	listener stdnet.Listener
	target   string
	mu       sync.Mutex
	open     chan struct{}
	conns    map[stdnet.Conn]bool
}

// NewLink returns a link to an address.
func NewLink(target string) (*Link, error) {
	listener, err := stdnet.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	open := make(chan struct{})
	close(open)
	l := &Link{Address: listener.Addr().String(), listener: listener, target: target, open: open, conns: make(map[stdnet.Conn]bool)}
	go l.serve()
	return l, nil
}

// Cut stops all bytes, Heal lets them pass again.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = make(chan struct{})
}

// Heal ends a cut.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.open:
	default:
		close(l.open)
	}
}

// wait waits while the link is cut.
func (l *Link) wait() {
	l.mu.Lock()
	open := l.open
	l.mu.Unlock()
	<-open
}

func (l *Link) serve() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			l.wait()
			far, err := stdnet.Dial("tcp", l.target)
			if err != nil {
				_ = near.(*stdnet.TCPConn).SetLinger(0)
				_ = near.Close()
				return
			}
			go l.copy(near, far)
			l.copy(far, near)
		}()
	}
}

func (l *Link) copy(to, from stdnet.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		l.wait()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}

// freePorts returns ports that are free at an IP address.
func freePorts(ip string, ports []int) error {
	for i := range ports {
		listener, err := stdnet.Listen("tcp", ip+":0")
		if err != nil {
			return err
		}
		defer listener.Close()
		ports[i] = listener.Addr().(*stdnet.TCPAddr).Port
	}
	return nil
}

// Node is a node of the system, which runs as a process of its own.
type Node struct {
	Name, Front, Ready, Directory, Peers string

	ip, metrics, settings string
	process               *exec.Cmd
	done                  chan struct{}
	// toStore is the node's link to the store, toNodes those to the other nodes by their address.
	toStore *Link
	toNodes map[string]*Link
	view    *http.Server
}

// Deployment is a small deployment.
type Deployment struct {
	Store   *platformfake.Store
	Nodes   []*Node
	Servers map[string]*platformfake.Server
	Record  *Record

	dir, binary string
	ends        []func()
	// stops ends each server.
	stops map[string]func()
}

// New returns a deployment without nodes and servers. binary is the program, dir a folder for its files.
func New(binary, dir string, record *Record) *Deployment {
	return &Deployment{Store: platformfake.NewStore(), Servers: make(map[string]*platformfake.Server), stops: make(map[string]func()), Record: record, binary: binary, dir: dir}
}

// Close ends all that was started.
func (d *Deployment) Close() {
	for _, n := range d.Nodes {
		n.Signal(syscall.SIGKILL)
	}
	for _, n := range d.Nodes {
		if n.done != nil {
			<-n.done
		}
	}
	for i := len(d.ends) - 1; i >= 0; i-- {
		d.ends[i]()
	}
	d.Store.Close()
}

// AddServer starts a backend server and has it write its entry.
func (d *Deployment) AddServer(id, service, zone, version string, opts platformfake.ServerOptions, slots int) error {
	opts.ID = id
	server := platformfake.NewServer(opts)
	return d.AddHandler(id, service, zone, version, server, slots, func() { d.Servers[id] = server })
}

// AddHandler is AddServer for any handler.
func (d *Deployment) AddHandler(id, service, zone, version string, handler http.Handler, slots int, add func()) error {
	listener, err := stdnet.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	if add != nil {
		add()
	}
	web := &http.Server{Handler: handler}
	go func() { _ = web.Serve(listener) }()
	stop := make(chan struct{})
	born := time.Now().UnixMilli()
	write := func(sequence int) {
		entry, _ := json.Marshal(map[string]any{
			"service": service, "address": listener.Addr().String(), "zone": zone, "version": version, "slots": slots, "state": "ready",
			"warmupLeftMs": 0, "sequence": sequence, "born": born,
		})
		d.Store.Put("servers/"+id, entry)
	}
	write(1)
	go func() {
		for sequence := 2; ; sequence++ {
			select {
			case <-stop:
				return
			case <-time.After(beat):
				write(sequence)
			}
		}
	}()
	d.stops[id] = sync.OnceFunc(func() { close(stop); _ = web.Close() })
	d.ends = append(d.ends, d.stops[id])
	return nil
}

// StopServer ends a server. Its entry is removed at once if it leaves, and after three beats without one if it has crashed.
func (d *Deployment) StopServer(id string, leaves bool) {
	d.stops[id]()
	if leaves {
		d.Store.Delete("servers/" + id)
		return
	}
	time.AfterFunc(3*beat, func() { d.Store.Delete("servers/" + id) })
}

const settings = `nodeName = "%[1]s"
role = "edge"
machineClass = "edge"
serves = ["edge", "registry"]
ip = "%[2]s"
zone = "%[3]s"
region = "sur"
internalPortRange = [%[4]d, %[4]d]
seeds = []
bootstrap = true
faultCounted = false
discovery = "platform"
entry = "registry"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","rollout"]
[zones]
montevideo = "sur"
canelones = "sur"
maldonado = "sur"
colonia = "sur"
[listen]
front = "%[2]s:%[5]d"
ready = "%[2]s:%[6]d"
directory = "%[2]s:%[7]d"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
partitionMaxMs = 5000
strictRevocation = true
revokeMs = 5000
retryBudgetRatio = 0.9
retryWindowS = 10
retrySlack = 56
exposureShare = 0.15
exposureSlack = 30
rollbackMs = 5000
recoveryS = 12
maxDeliveryMs = 120
reuseWindowS = 10
sessionS = 5
ttl_max_s = 5
[platform]
address = "%[8]s"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
maxValueBytes = 1048576
minTtlMs = 1000
`

// AddNodes prepares nodes, one for each zone; Start starts each.
func (d *Deployment) AddNodes(zones ...string) error {
	for i, zone := range zones {
		n := &Node{Name: fmt.Sprintf("edge-%s-1", zone), ip: fmt.Sprintf("127.0.7.%d", i+1), toNodes: make(map[string]*Link)}
		var ports [5]int
		if err := freePorts(n.ip, ports[:]); err != nil {
			return err
		}
		at := func(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }
		n.Peers, n.Front, n.Ready, n.Directory, n.metrics = at(ports[0]), at(ports[1]), at(ports[2]), at(ports[3]), at(ports[4])
		view, err := stdnet.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		n.view = &http.Server{Handler: d.viewOf(n)}
		go func() { _ = n.view.Serve(view) }()
		d.ends = append(d.ends, func() { _ = n.view.Close() })
		if n.toStore, err = NewLink(view.Addr().String()); err != nil {
			return err
		}
		n.settings = filepath.Join(d.dir, n.Name+".toml")
		text := fmt.Sprintf(settings, n.Name, n.ip, zone, ports[0], ports[1], ports[2], ports[3], n.toStore.Address)
		if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
			return err
		}
		d.Nodes = append(d.Nodes, n)
	}
	for _, n := range d.Nodes {
		for _, other := range d.Nodes {
			if other == n {
				continue
			}
			link, err := NewLink(other.Peers)
			if err != nil {
				return err
			}
			n.toNodes[other.Peers] = link
		}
	}
	return nil
}

// viewOf returns the store as a node sees it: the other nodes' addresses are those of its links to them.
func (d *Deployment) viewOf(n *Node) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		got := httptest.NewRecorder()
		d.Store.ServeHTTP(got, req)
		body := got.Body.Bytes()
		var answer map[string]any
		if json.Unmarshal(body, &answer) == nil {
			for _, field := range []string{"items", "events"} {
				items, _ := answer[field].([]any)
				for _, i := range items {
					item, _ := i.(map[string]any)
					key, _ := item["key"].(string)
					text, ok := item["value"].(string)
					if !ok || !strings.HasPrefix(key, nodePrefix) {
						continue
					}
					value, _ := base64.StdEncoding.DecodeString(text)
					for address, link := range n.toNodes {
						value = []byte(strings.ReplaceAll(string(value), address, link.Address))
					}
					item["value"] = base64.StdEncoding.EncodeToString(value)
				}
			}
			body, _ = json.Marshal(answer)
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(got.Code)
		_, _ = w.Write(body)
	})
}

// Cut partitions a node from the store and from all other nodes, in both directions.
func (d *Deployment) Cut(n *Node) { d.eachLink(n, (*Link).Cut) }

// Heal ends a cut.
func (d *Deployment) Heal(n *Node) { d.eachLink(n, (*Link).Heal) }

func (d *Deployment) eachLink(n *Node, do func(*Link)) {
	do(n.toStore)
	for _, link := range n.toNodes {
		do(link)
	}
	for _, other := range d.Nodes {
		if link := other.toNodes[n.Peers]; link != nil {
			do(link)
		}
	}
}

// Start starts a node's process.
func (d *Deployment) Start(n *Node) error {
	output, err := os.OpenFile(filepath.Join(d.dir, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	n.process = exec.Command(d.binary, "edge", "--metrics-listen", n.metrics)
	n.process.Env = append(os.Environ(), "MONSOONRAIL_CONFIG="+n.settings)
	n.process.Stdout, n.process.Stderr = output, output
	if err := n.process.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.done = done
	process := n.process
	go func() {
		_ = process.Wait()
		close(done)
	}()
	return nil
}

// Signal sends a signal to a node's process.
func (n *Node) Signal(signal syscall.Signal) {
	if n.process != nil && n.process.Process != nil {
		_ = n.process.Process.Signal(signal)
	}
}

// HasEnded reports whether a node's process has ended.
func (n *Node) HasEnded() bool {
	select {
	case <-n.done:
		return true
	default:
		return false
	}
}

// AwaitReady waits until all nodes are ready.
func (d *Deployment) AwaitReady(within time.Duration) error {
	until := time.Now().Add(within)
	for _, n := range d.Nodes {
		for {
			resp, err := http.Get("http://" + n.Ready + "/monsoonrail/readiness")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", n.Name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// PutConfig writes a configuration as the operator does; its acknowledgement is the store's.
func (d *Deployment) PutConfig(config map[string]any) error {
	value, err := json.Marshal(config)
	if err != nil {
		return err
	}
	d.Store.Put("op/config", value)
	return nil
}
