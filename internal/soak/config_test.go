package soak

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/monsoonrail/monsoonrail/internal/acceptance"
	"github.com/monsoonrail/monsoonrail/internal/configlog"
	"github.com/monsoonrail/monsoonrail/internal/dev"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// inForceWithin is the time after which an accepted change is in force everywhere.
	inForceWithin = 11 * time.Second
	// lookInterval is the time between two looks at the revisions in force.
	lookInterval = 250 * time.Millisecond
	// changeTimeout bounds one change.
	changeTimeout = 5 * time.Second
)

// configWatch holds the revisions that nodes have in force against those that were accepted.
type configWatch struct {
	processes *processes
	client    http.Client

	mu sync.Mutex
	// accepted holds when each revision was accepted.
	accepted map[api.Revision]time.Time
	changes  int
	// seen is the highest revision seen of each place, over its incarnations.
	seen map[int]api.Revision
	// excused counts the faults under way that may keep a place from changes, excusedAt is when the last one ended.
	excused   map[int]int
	excusedAt map[int]time.Time
	broken    []string
}

func newConfigWatch(processes *processes) *configWatch {
	return &configWatch{
		processes: processes, client: http.Client{Timeout: time.Second}, accepted: make(map[api.Revision]time.Time),
		seen: make(map[int]api.Revision), excused: make(map[int]int), excusedAt: make(map[int]time.Time),
	}
}

// excuse notes that a fault may keep a place from changes until the returned function is called.
func (w *configWatch) excuse(place int) (end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.excused[place]++
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.excused[place]--
		w.excusedAt[place] = time.Now()
	}
}

// change has an operator add an exception, straight at the key-value service as `config apply` does.
func (w *configWatch) change(ctx context.Context, system *dev.System) {
	w.mu.Lock()
	w.changes++
	number := w.changes
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	changes := configlog.New(system.KV.Store(), configlog.DefaultPrefix)
	acceptor := acceptance.New(changes, nil, &log.Logger{Handler: discard.New()})
	state, err := acceptor.State(ctx)
	if err != nil {
		return
	}
	next := *state.Config
	next.Exceptions = append(append([]fleet.Exception(nil), next.Exceptions...), fleet.Exception{
		ID: fmt.Sprintf("soak-%d", number), Scope: fleet.Scope{Team: "nobody"}, Set: fleet.PolicyPatch{},
		Reason: "a change of the soak", Author: "soak",
	})
	accepted, err := acceptor.Accept(ctx, fleet.Change{
		ID: fleet.ChangeID(fmt.Sprintf("soak-%d", number)), Base: state.Config.Revision, Author: "soak", Reason: "a change of the soak",
		Time: time.Now(), Ops: state.Ops(&next),
	})
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.accepted[accepted] = time.Now()
}

// run looks at every node until ctx ends.
func (w *configWatch) run(ctx context.Context, nodes int) {
	_ = sleep.Every(ctx, lookInterval, func(time.Time) {
		for i := range nodes {
			w.look(i)
		}
	})
}

// look holds what one node has in force against what was accepted and seen before.
func (w *configWatch) look(i int) {
	run := w.processes.find(i)
	if run == nil {
		return
	}
	asked := time.Now()
	revision, ok := w.revisionOf(run)
	if !ok || revision == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if revision < w.seen[i] && asked.Sub(run.started) > inForceWithin {
		w.broken = append(w.broken, fmt.Sprintf("node-%d went back from revision %d to %d", i+1, w.seen[i], revision))
	}
	w.seen[i] = max(w.seen[i], revision)
	since := run.started
	if w.excusedAt[i].After(since) {
		since = w.excusedAt[i]
	}
	if w.excused[i] > 0 {
		return
	}
	for accepted, at := range w.accepted {
		if at.Before(since) {
			at = since
		}
		if accepted > revision && asked.Sub(at) > inForceWithin {
			w.broken = append(w.broken, fmt.Sprintf("node-%d has revision %d, %d was accepted %s ago", i+1, revision, accepted, asked.Sub(at)))
		}
	}
}

// revisionOf asks a process for the revision that it has in force.
func (w *configWatch) revisionOf(run *process) (api.Revision, bool) {
	resp, err := w.client.Get("http://" + run.metrics + "/metrics")
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		if text, ok := strings.CutPrefix(scanner.Text(), "config_revision "); ok {
			revision, err := strconv.ParseInt(text, 10, 64)
			return api.Revision(revision), err == nil
		}
	}
	return 0, false
}

// breaches returns what was broken, the first few of it.
func (w *configWatch) breaches() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.broken[:min(len(w.broken), 5)]
}
