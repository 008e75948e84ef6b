package promises

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/dev"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/node"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// operatorPatience is how long an operator waits for a change to be accepted.
const operatorPatience = 3 * time.Second

// accepted is a change that an operator was told to be in force.
type accepted struct {
	id       fleet.ChangeID
	revision api.Revision
	at       time.Time
}

// withdraw has one of two versions withdrawn for good, through a node's operator API.
func (w *world) withdraw(step Step) {
	versions := []api.VersionID{{Model: "swift", Version: "3.1"}, {Model: "scholar", Version: "2.0"}}
	version := versions[step.Server%len(versions)]
	running := w.system.Node(step.Node)
	if running == nil {
		return
	}
	change := w.exceptionChange(running, step, version)
	if revision, ok := w.accept(running, change); ok {
		w.history.mu.Lock()
		w.history.withdrawals = append(w.history.withdrawals, withdrawal{version: version, at: time.Now()})
		w.history.mu.Unlock()
		w.noteAccepted(change.ID, revision)
	}
}

// race has two operators change the same thing through two nodes at once, both from what they saw before.
func (w *world) race(step Step) {
	var operators sync.WaitGroup
	for _, i := range []int{step.Node, step.Other} {
		running := w.system.Node(i)
		if running == nil {
			continue
		}
		version := api.VersionID{Model: "professor", Version: "1.4"}
		change := w.exceptionChange(running, step, version)
		change.Ops = w.targetOps(running, step, i)
		operators.Go(func() {
			if revision, ok := w.accept(running, change); ok {
				w.noteAccepted(change.ID, revision)
			}
		})
	}
	operators.Wait()
}

func (w *world) accept(running *node.Node, change fleet.Change) (api.Revision, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorPatience)
	defer cancel()
	revision, err := running.Acceptor().Accept(ctx, change)
	return revision, err == nil
}

// exceptionChange is a change that withdraws a version, from the configuration that a node holds.
func (w *world) exceptionChange(running *node.Node, step Step, version api.VersionID) fleet.Change {
	w.mu.Lock()
	w.changes++
	id := fmt.Sprintf("change-%d", w.changes)
	w.mu.Unlock()
	return dev.Withdrawal(running, fleet.ChangeID(id), version, "drawn "+step.Kind.String())
}

// targetOps changes a default, to a value that tells the operators of a race apart.
func (w *world) targetOps(running *node.Node, step Step, i int) []fleet.Op {
	state := running.Configs().State()
	next := *state.Config
	next.Defaults.Exploration = float64(step.Server*planNodes+i) / 1000
	return state.Ops(&next)
}

func (w *world) noteAccepted(id fleet.ChangeID, revision api.Revision) {
	w.history.mu.Lock()
	defer w.history.mu.Unlock()
	w.history.accepted = append(w.history.accepted, accepted{id: id, revision: revision, at: time.Now()})
}

// watchRevisions notes every node whose revision goes down, until the world closes.
func (w *world) watchRevisions(ctx context.Context) {
	const interval = 50 * time.Millisecond
	type seen struct {
		incarnation api.Incarnation
		revision    api.Revision
	}
	last := make([]seen, planNodes)
	for ctx.Err() == nil {
		for i := range planNodes {
			running := w.system.Node(i)
			if running == nil {
				continue
			}
			now := seen{running.Incarnation(), running.Configs().Revision()}
			if now.incarnation == last[i].incarnation && now.revision < last[i].revision {
				w.history.note(fmt.Sprintf("node %d went back from revision %d to %d", i, last[i].revision, now.revision))
			}
			last[i] = now
		}
		time.Sleep(interval)
	}
}

// judgeConfig: an accepted change is in force everywhere and never reverts, and no revision holds two changes.
func judgeConfig(w *world) []string {
	var breaches []string
	byRevision := make(map[api.Revision]fleet.ChangeID)
	newest := api.Revision(0)
	for _, change := range w.history.accepted {
		if other, ok := byRevision[change.revision]; ok && other != change.id {
			breaches = append(breaches, fmt.Sprintf("revision %d holds %s and %s", change.revision, other, change.id))
		}
		byRevision[change.revision] = change.id
		newest = max(newest, change.revision)
	}
	for i := range planNodes {
		running := w.system.Node(i)
		if running == nil {
			breaches = append(breaches, fmt.Sprintf("node %d is not running at the end", i))
			continue
		}
		if got := running.Configs().Revision(); got < newest {
			breaches = append(breaches, fmt.Sprintf("node %d is at revision %d, accepted is %d", i, got, newest))
		}
	}
	return breaches
}
