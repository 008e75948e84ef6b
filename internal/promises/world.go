package promises

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/dev"
	"github.com/monsoonrail/monsoonrail/internal/fake/memnet"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
)

const (
	// callerIP is the address of every caller.
	callerIP = "127.1.9.1"
	// warmUp is the time in which nodes learn what servers hold.
	warmUp = 3 * time.Second
	// idleConnections is longer than any transport keeps idle connections.
	idleConnections = 2 * time.Minute
	// settle is the time in which everything comes to rest after the last step and the end of all faults.
	settle = 20 * time.Second
	// billSettle is the time in which the bills of nodes that are gone are written and folded.
	billSettle = 35 * time.Second
)

// world is a running system with its callers.
type world struct {
	net     *memnet.Network
	system  *dev.System
	client  *http.Client
	history *history
	// began is when the plan's time began.
	began time.Time
	// calmed is when everything had come to rest after the last fault.
	calmed time.Time

	// callers and faults are waited for at the end.
	callers sync.WaitGroup
	steps   sync.WaitGroup

	// nodeBusy holds off other faults of a node that is down; a channel, since virtual time stands still while a
	// goroutine waits for a mutex.
	nodeBusy [planNodes]chan struct{}

	mu       sync.Mutex
	sessions map[int]heldSession
	// wentBack tells that the key-value service came back in an older state.
	wentBack bool
	// changes counts the operators' changes and roll-outs.
	changes int
}

// Options changes a world, for mutations that the oracle must catch.
type Options struct {
	Config *fleet.Config
	// Change alters the system before it starts.
	Change func(*dev.Options)
	// Started alters the stand-ins once they run.
	Started func(*dev.System, *memnet.Network)
}

// Run carries out a plan and returns every breach of a promise. It must be called within a synctest bubble.
func Run(steps []Step, opts Options) []string {
	w, err := newWorld(opts)
	if err != nil {
		return []string{err.Error()}
	}
	defer w.close()
	var watcher sync.WaitGroup
	watching, stop := context.WithCancel(context.Background())
	watcher.Go(func() { w.watchRevisions(watching) })
	watcher.Go(func() { w.watchRollOuts(watching) })
	defer watcher.Wait()
	defer stop()
	time.Sleep(warmUp)
	w.began = time.Now()
	for i, step := range steps {
		time.Sleep(time.Until(w.began.Add(step.At)))
		w.do(i, step)
	}
	w.callers.Wait()
	w.steps.Wait()
	time.Sleep(settle)
	w.calmed = time.Now()
	w.history.notes = append(w.history.notes, w.checkCalm(len(steps))...)
	time.Sleep(billSettle)
	return judge(w)
}

func newWorld(opts Options) (*world, error) {
	network := memnet.New()
	devOpts := dev.Options{
		Config:       forbid(*opts.Config),
		Networks:     func(ip string) tcp.Network { return network.Host(ip) },
		Nodes:        planNodes,
		Engines:      planEngines,
		PlainServers: planPlains,
		AddressKeep:  addressKeep,
		Seed:         1,
	}
	if opts.Change != nil {
		opts.Change(&devOpts)
	}
	system, err := dev.Start(context.Background(), devOpts)
	if err != nil {
		return nil, err
	}
	if opts.Started != nil {
		opts.Started(system, network)
	}
	w := &world{
		net:      network,
		system:   system,
		client:   &http.Client{Transport: tcp.NewTransport(network.Host(callerIP))},
		history:  &history{},
		sessions: make(map[int]heldSession),
	}
	for i := range w.nodeBusy {
		w.nodeBusy[i] = make(chan struct{}, 1)
	}
	return w, nil
}

func (w *world) close() {
	w.system.Close()
	w.client.CloseIdleConnections()
	// A dial that outlived its request leaves an idle connection, which its transport closes after a time.
	time.Sleep(idleConnections)
}

// hasGoneBack reports whether the key-value service came back in an older state.
func (w *world) hasGoneBack() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.wentBack
}

func (w *world) do(index int, step Step) {
	if step.Kind <= StepOnce {
		w.begin(index, step)
		return
	}
	w.steps.Go(func() { w.fault(step) })
}

// checkCalm asks every node once more, now that no fault is left: all must answer.
func (w *world) checkCalm(index int) []string {
	first := len(w.history.calls)
	for node := range planNodes {
		for i, kind := range []StepKind{StepChat, StepStream, StepPlain, StepOnce} {
			w.begin(index+node*4+i, Step{Kind: kind, Node: node})
		}
	}
	w.callers.Wait()
	var notes []string
	for _, c := range w.history.calls[first:] {
		for _, t := range c.tries {
			if !t.whole {
				notes = append(notes, "no answer although every fault is over: "+describe(c, t))
			}
		}
	}
	return notes
}
