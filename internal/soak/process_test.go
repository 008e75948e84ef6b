package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/setting"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
)

const (
	// metricsPort is that of every node's metrics.
	metricsPort = "8082"
	// startPoll is the time between two looks whether a process serves.
	startPoll = 50 * time.Millisecond
	// startTimeout bounds the start of a process.
	startTimeout = 30 * time.Second
	// stopTimeout bounds a planned stop: the longest deadline of a call with the time that addresses are kept.
	stopTimeout = 2 * time.Minute
	// platformShift is what is added to the third number of the platform's address for node 1's own way there, and one more for
	// each further node.
	platformShift = 150
)

// processes runs nodes as processes; it implements dev.NodeRunner.
type processes struct {
	binary, dir string
	// earlier is the program of an earlier release, with which every other node runs until it is started again; empty if there is none.
	earlier string
	network *network

	mu      sync.Mutex
	running map[int]*process
	starts  map[int]int
	// unexpected holds the ends of processes that nobody stopped.
	unexpected []string
}

// process is one run of a node.
type process struct {
	cmd     *exec.Cmd
	started time.Time
	metrics string
	// done is closed once the process has ended, after which err is set.
	done chan struct{}
	err  error

	mu sync.Mutex
	// stopping tells that the end is wanted.
	stopping bool
	// paused tells that the process stands still by SIGSTOP.
	paused bool
}

func newProcesses(binary, earlier, dir string, network *network) *processes {
	return &processes{binary: binary, earlier: earlier, dir: dir, network: network, running: make(map[int]*process), starts: make(map[int]int)}
}

// StartNode implements dev.NodeRunner.
func (p *processes) StartNode(ctx context.Context, i int, settings setting.Settings) error {
	host, _, err := net.SplitHostPort(settings.Node.Listen)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.starts[i]++
	name, binary := fmt.Sprintf("node-%d.%d.log", i+1, p.starts[i]), p.binary
	if p.earlier != "" && i%2 == 1 && p.starts[i] == 1 {
		binary = p.earlier
	}
	p.mu.Unlock()
	output, err := os.Create(filepath.Join(p.dir, name))
	if err != nil {
		return err
	}
	defer output.Close()
	run := &process{metrics: net.JoinHostPort(host, metricsPort), done: make(chan struct{}), started: time.Now()}
	run.cmd = exec.Command(binary, p.arguments(i, settings, run.metrics)...)
	run.cmd.Env = append(os.Environ(),
		"MONSOONRAIL_SESSION_SECRETS="+settings.Secrets.Session[0], "MONSOONRAIL_PEER_SECRET="+settings.Secrets.Peer,
		"MONSOONRAIL_ISSUE_SECRETS="+settings.Secrets.Issue[0], "MONSOONRAIL_OPERATORS="+settings.Secrets.Operators[0])
	run.cmd.Stdout, run.cmd.Stderr = output, output
	if err := run.cmd.Start(); err != nil {
		return err
	}
	go p.wait(i, run)
	p.mu.Lock()
	p.running[i] = run
	p.mu.Unlock()
	return p.awaitServing(ctx, run, settings.Node.Listen)
}

func (p *processes) arguments(i int, settings setting.Settings, metrics string) []string {
	platform := func(url string) string {
		address := strings.TrimPrefix(url, "http://")
		return "http://" + p.network.reachAs(address, platformShift+i)
	}
	node := settings.Node
	args := []string{
		"serve", "--node=" + node.ID, "--failure-domain=" + node.FailureDomain, "--region=" + node.Region,
		"--listen=" + node.Listen, "--peer-listen=" + node.PeerListen, "--metrics-listen=" + metrics,
		"--advertise=http://" + p.network.reach(node.Listen), "--peer-advertise=" + p.network.reach(node.PeerListen),
		"--address-keep=" + node.AddressKeep.String(), "--drain-timeout=" + node.DrainTimeout.String(),
		"--kv=" + platform(settings.Platform.KV[0]), "--vm-list=" + platform(settings.Platform.VMList),
		"--rating=" + platform(settings.Platform.Rating), "--weight-store=" + platform(settings.Platform.WeightStore),
	}
	for _, seed := range node.Seeds {
		args = append(args, "--seed="+p.network.reach(seed))
	}
	return args
}

// awaitServing waits until a process answers.
func (p *processes) awaitServing(ctx context.Context, run *process, listen string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		if resp, err := http.Get("http://" + listen + "/healthz"); err == nil {
			_ = resp.Body.Close()
			return nil
		}
		select {
		case <-run.done:
			return run.err
		default:
		}
		if err := sleep.Wait(ctx, startPoll); err != nil {
			return err
		}
	}
}

func (p *processes) wait(i int, run *process) {
	run.err = run.cmd.Wait()
	run.mu.Lock()
	wanted := run.stopping
	run.mu.Unlock()
	p.mu.Lock()
	if !wanted {
		p.unexpected = append(p.unexpected, fmt.Sprintf("node-%d ended by itself: %v", i+1, run.err))
	}
	if p.running[i] == run {
		delete(p.running, i)
	}
	p.mu.Unlock()
	close(run.done)
}

// find returns the running process of a place; nil if there is none.
func (p *processes) find(i int) *process {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running[i]
}

// KillNode implements dev.NodeRunner.
func (p *processes) KillNode(i int) { p.stop(i, syscall.SIGKILL) }

// DrainNode implements dev.NodeRunner.
func (p *processes) DrainNode(i int) { p.stop(i, syscall.SIGTERM) }

func (p *processes) stop(i int, signal syscall.Signal) {
	run := p.find(i)
	if run == nil {
		return
	}
	run.mu.Lock()
	run.stopping = true
	run.mu.Unlock()
	_ = run.cmd.Process.Signal(signal)
	_ = run.cmd.Process.Signal(syscall.SIGCONT)
	if signal == syscall.SIGTERM {
		go run.repeatSignals()
	}
	select {
	case <-run.done:
	case <-time.After(stopTimeout):
		p.mu.Lock()
		p.unexpected = append(p.unexpected, fmt.Sprintf("node-%d did not end within %s of %s", i+1, stopTimeout, signal))
		p.mu.Unlock()
		_ = run.cmd.Process.Kill()
		<-run.done
		return
	}
	if signal == syscall.SIGTERM && run.err != nil {
		p.mu.Lock()
		p.unexpected = append(p.unexpected, fmt.Sprintf("node-%d ended a planned stop with %v", i+1, run.err))
		p.mu.Unlock()
	}
}

// stopSignalInterval is the interval at which a stopping process gets further signals.
const stopSignalInterval = 50 * time.Millisecond

// repeatSignals sends a stopping process SIGHUP and SIGTERM until it has ended: neither may end it sooner.
func (r *process) repeatSignals() {
	ticks := time.NewTicker(stopSignalInterval)
	defer ticks.Stop()
	for {
		select {
		case <-r.done:
			return
		case <-ticks.C:
			// An error means that the process has ended.
			_ = r.cmd.Process.Signal(syscall.SIGHUP)
			_ = r.cmd.Process.Signal(syscall.SIGTERM)
		}
	}
}

// pause lets a process stand still for a time.
func (p *processes) pause(ctx context.Context, i int, d time.Duration) {
	run := p.find(i)
	if run == nil {
		return
	}
	run.setPaused(true)
	_ = run.cmd.Process.Signal(syscall.SIGSTOP)
	sleep.For(ctx, d)
	_ = run.cmd.Process.Signal(syscall.SIGCONT)
	run.setPaused(false)
}

func (r *process) setPaused(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paused = on
}

// faults returns what went wrong with the processes themselves.
func (p *processes) faults() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.unexpected...)
}

// killAll ends every process that is left.
func (p *processes) killAll() {
	p.mu.Lock()
	var places []int
	for i := range p.running {
		places = append(places, i)
	}
	p.mu.Unlock()
	for _, i := range places {
		p.KillNode(i)
	}
}
