package connguard

import (
	"context"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/metric"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
)

const (
	// memoryShare is the share of the machine's memory that the connections of a group take.
	memoryShare = 0.25
	// reservedFiles of the process's descriptors are for files; listenedShare of the others is for connections that others open, the rest for the process's own.
	reservedFiles = 200
	listenedShare = 0.7
	// minConns is the least bound of a listener.
	minConns = 8
	// sweepInterval is the interval at which connections that take too long are closed and what was closed is logged.
	sweepInterval = 500 * time.Millisecond
	// runtimeShare is the share of the machine's memory that the Go runtime gets as its soft memory limit, above which the collector works harder. It is less where
	// that leaves no room for nonHeapMemory: the pages of the program, what the kernel holds for its connections, and what is allocated beyond the limit while a
	// collection runs. But the runtime keeps minRuntimeMemory, or minRuntimeShare of a machine that has too little for that.
	runtimeShare     = 0.6
	nonHeapMemory    = 40 << 20
	minRuntimeMemory = 24 << 20
	minRuntimeShare  = 0.5
)

// Resources are what a process may use of its machine; 0 means unknown.
type Resources struct {
	MemoryBytes int64
	// MaxFiles bounds the descriptors.
	MaxFiles int
}

// LimitRuntime sets the memory limit of the Go runtime of this process.
func (r Resources) LimitRuntime() {
	if limit := r.runtimeLimit(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
}

// runtimeLimit returns the memory limit of the Go runtime; 0 means none.
func (r Resources) runtimeLimit() int64 {
	memory := float64(r.MemoryBytes)
	return int64(min(runtimeShare*memory, max(memory-nonHeapMemory, min(minRuntimeMemory, minRuntimeShare*memory))))
}

// GroupOptions configures NewGroup.
type GroupOptions struct {
	Resources Resources
	// DefaultConns and DefaultBytes bound the connections of all listeners and their memory if the resources are unknown.
	DefaultConns int
	DefaultBytes int64
	// Shares are the parts of the connections and the memory that each listener gets, by its name, so that a crowd at one leaves the others alone.
	Shares  map[string]float64
	Metrics *metric.Set
	// MetricPrefix begins the names of the metrics.
	MetricPrefix string
	Log          log.Interface
}

// Group is the listeners of a process, which share its resources. Guard must not be called together with other methods.
type Group struct {
	opts      GroupOptions
	listeners map[string]*Listener

	mu sync.Mutex
	// closed counts the connections that were closed or refused since the last log line, by listener and cause.
	closed map[string]map[Cause]int
}

// NewGroup returns a group without listeners.
func NewGroup(opts GroupOptions) *Group {
	return &Group{opts: opts, listeners: make(map[string]*Listener), closed: make(map[string]map[Cause]int)}
}

// Guard returns a listener with the bounds of the given name. It sets the bounds of the options and their Count.
func (g *Group) Guard(name string, listener net.Listener, opts Options) *Listener {
	memory, conns := float64(g.opts.DefaultBytes), float64(g.opts.DefaultConns)
	if bytes := g.opts.Resources.MemoryBytes; bytes > 0 {
		memory = memoryShare * float64(bytes)
	}
	if files := g.opts.Resources.MaxFiles; files > reservedFiles {
		conns = listenedShare * float64(files-reservedFiles)
	}
	share := g.opts.Shares[name]
	opts.Listener, opts.MaxConns, opts.MaxBytes = listener, max(minConns, int(share*conns)), int64(share*memory)
	if g.opts.Resources.MemoryBytes > 0 {
		waiting := min(opts.MaxConns, max(minConns, int(opts.MaxBytes/ConnBytes)))
		if err := tcp.BoundQueue(listener, waiting, ConnBytes); err != nil {
			g.opts.Log.WithField("listener", name).WithError(err).Warn("could not bound the queue of new connections")
		}
	}
	opts.Count = func(cause Cause) { g.count(name, cause) }
	guarded := New(opts)
	g.listeners[name] = guarded
	return guarded
}

// count counts a connection that was closed or refused.
func (g *Group) count(listener string, cause Cause) {
	g.opts.Metrics.Counter(g.opts.MetricPrefix+"closed_connections",
		metric.Label{Name: "listener", Value: listener}, metric.Label{Name: "cause", Value: string(cause)}).Inc(1)
	if cause == IdleTooLong {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed[listener] == nil {
		g.closed[listener] = make(map[Cause]int)
	}
	g.closed[listener][cause]++
}

// Run closes the connections that take too long, and logs what was closed, until ctx ends.
func (g *Group) Run(ctx context.Context) error {
	return sleep.Every(ctx, sweepInterval, func(now time.Time) {
		for _, listener := range g.listeners {
			listener.Sweep(now)
		}
		g.UpdateGauges()
		g.LogClosed()
	})
}

// LogClosed logs the connections that were closed or refused since the last call.
func (g *Group) LogClosed() {
	g.mu.Lock()
	closed := g.closed
	g.closed = make(map[string]map[Cause]int)
	g.mu.Unlock()
	for listener, causes := range closed {
		for cause, count := range causes {
			g.opts.Log.WithFields(log.Fields{"listener": listener, "cause": string(cause), "connections": count}).Warn("connections closed")
		}
	}
}

// Drain drains the listener of the given name, if there is one; see Listener.Drain.
func (g *Group) Drain(ctx context.Context, name string) error {
	listener, ok := g.listeners[name]
	if !ok {
		return nil
	}
	return listener.Drain(ctx)
}

// UpdateGauges updates the gauges of open connections and of their memory.
func (g *Group) UpdateGauges() {
	for name, listener := range g.listeners {
		conns, bytes := listener.Usage()
		label := metric.Label{Name: "listener", Value: name}
		g.opts.Metrics.Gauge(g.opts.MetricPrefix+"open_connections", label).Update(int64(conns))
		g.opts.Metrics.Gauge(g.opts.MetricPrefix+"connection_memory_bytes", label).Update(bytes)
	}
}
