package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/dev"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/internal/trace"
)

// eventKind names a fault that comes from outside of the processes.
type eventKind string

const (
	// eventPause stops a node's process by a signal and lets it go on.
	eventPause eventKind = "Pause"
	// eventReset ends every open connection to a host by a reset.
	eventReset eventKind = "Reset"
	// eventHold holds back what is sent to a host, while what it sends flows.
	eventHold eventKind = "Hold"
	// eventDelay delays what goes to a host and comes from it.
	eventDelay eventKind = "Delay"
	// eventPlatform refuses a node's connections to the platform and ends the open ones.
	eventPlatform eventKind = "Platform"
	// eventChange is an operator who changes the configuration.
	eventChange eventKind = "Change"
)

// event is a fault of the soak's own, beside those of the trace.
type event struct {
	at, lasts time.Duration
	kind      eventKind
	// node is the place that is hit, or -1 for server.
	node   int
	server int
}

// String implements fmt.Stringer.
func (e event) String() string {
	target := fmt.Sprintf("node-%d", e.node+1)
	if e.node < 0 {
		target = fmt.Sprintf("server %d", e.server)
	}
	return fmt.Sprintf("%s %s %s for %s", e.at, e.kind, target, e.lasts)
}

// size is how large a soak is.
type size struct {
	nodes, engines, plains int
	// lasts is how long calls arrive.
	lasts time.Duration
	// perSecond is the mean number of calls.
	perSecond int
	// faults is how many faults begin a second.
	faults float64
}

// schedule is all that happens in a soak; equal seeds and sizes give equal schedules.
type schedule struct {
	trace  []trace.Fault
	events []event
}

// draw makes a schedule. Nodes are stopped one at a time, planned or not, and so are servers, since an answer lives on while its
// node or its server does; all else overlaps.
func draw(seed uint64, of size) schedule {
	rng := rand.New(rand.NewPCG(seed, 0x736f616b))
	within := func(least, most time.Duration) time.Duration {
		return least + time.Duration(rng.Int64N(int64(most-least)))
	}
	var s schedule
	var nodeFree, serverFree, storeFree time.Duration
	count := int(of.faults * of.lasts.Seconds())
	for range count {
		at := within(0, of.lasts)
		switch kind := rng.IntN(14); kind {
		case 0, 1, 2:
			// A planned stop takes up to 10 s before the node is started again.
			if at >= nodeFree {
				lasts := within(500*time.Millisecond, 4*time.Second)
				nodeFree = at + lasts + 10*time.Second
				kinds := []trace.FaultKind{trace.FaultKillNode, trace.FaultDrainNode, trace.FaultDrainNode}
				s.trace = append(s.trace, trace.Fault{At: at, For: lasts, Kind: kinds[kind], Target: fmt.Sprintf("node-%d", rng.IntN(of.nodes)+1)})
			}
		case 3, 4:
			if at >= serverFree {
				lasts := within(time.Second, 8*time.Second)
				serverFree = at + lasts + 4*time.Second
				kinds := []trace.FaultKind{trace.FaultKillServer, trace.FaultLeaveServer}
				s.trace = append(s.trace, trace.Fault{At: at, For: lasts, Kind: kinds[kind-3]})
			}
		case 5, 6:
			if at >= storeFree {
				lasts := within(time.Second, 8*time.Second)
				storeFree = at + lasts
				kinds := []trace.FaultKind{trace.FaultStoreOut, trace.FaultStoreLoses}
				s.trace = append(s.trace, trace.Fault{At: at, For: lasts, Kind: kinds[kind-5]})
			}
		case 7:
			s.trace = append(s.trace, trace.Fault{At: at, Kind: trace.FaultSilence, Target: fmt.Sprintf("node-%d", rng.IntN(of.nodes)+1)})
		default:
			kinds := []eventKind{eventPause, eventReset, eventHold, eventDelay, eventPlatform, eventChange}
			e := event{at: at, lasts: within(200*time.Millisecond, 3*time.Second), kind: kinds[kind-8], node: rng.IntN(of.nodes)}
			isOfServer := e.kind == eventReset || e.kind == eventHold || e.kind == eventDelay
			if isOfServer && rng.IntN(2) == 0 {
				e.node, e.server = -1, rng.IntN(of.engines+of.plains)
			}
			s.events = append(s.events, e)
		}
	}
	slices.SortStableFunc(s.trace, func(a, b trace.Fault) int { return int(a.At - b.At) })
	slices.SortStableFunc(s.events, func(a, b event) int { return int(a.at - b.at) })
	return s
}

// hands carry the soak's own faults out.
type hands struct {
	network   *network
	processes *processes
	system    *dev.System
	watch     *configWatch
	tell      func(text string)
}

// run carries the events out at their times and returns once all are over.
func (h *hands) run(ctx context.Context, events []event) {
	began := time.Now()
	var open sync.WaitGroup
	defer open.Wait()
	for _, e := range events {
		if !sleep.For(ctx, time.Until(began.Add(e.at))) {
			return
		}
		h.tell(e.String())
		open.Go(func() { h.carryOut(ctx, e) })
	}
}

func (h *hands) carryOut(ctx context.Context, e event) {
	if e.node >= 0 && e.kind != eventChange {
		defer h.watch.excuse(e.node)()
	}
	relays := h.relaysOf(e)
	each := func(do func(r *relay)) {
		for _, r := range relays {
			do(r)
		}
	}
	switch e.kind {
	case eventPause:
		h.processes.pause(ctx, e.node, e.lasts)
	case eventReset:
		each((*relay).reset)
	case eventHold:
		each(func(r *relay) { r.hold(true) })
		sleep.For(ctx, e.lasts)
		each(func(r *relay) { r.hold(false) })
	case eventDelay:
		each(func(r *relay) { r.setDelay(e.lasts / 10) })
		sleep.For(ctx, 2*e.lasts)
		each(func(r *relay) { r.setDelay(0) })
	case eventPlatform:
		each((*relay).down)
		each((*relay).reset)
		sleep.For(ctx, 3*e.lasts)
		each(func(r *relay) { _ = r.up() })
	case eventChange:
		h.watch.change(ctx, h.system)
	}
}

// relaysOf returns the relays that an event is about.
func (h *hands) relaysOf(e event) []*relay {
	if e.kind == eventPlatform {
		var own []*relay
		for _, r := range h.network.of("") {
			if strings.Contains(r.listen, fmt.Sprintf(".%d.1:", platformShift+e.node)) {
				own = append(own, r)
			}
		}
		return own
	}
	if e.node < 0 {
		servers := h.system.Servers()
		return h.network.of(hostOf(servers[e.server%len(servers)].Address))
	}
	return h.network.of(hostOf(strings.TrimPrefix(h.system.NodeURL(e.node), "http://")))
}

func hostOf(address string) string {
	host, _, _ := strings.Cut(address, ":")
	return host
}
