package promises

import (
	"context"
	"fmt"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/fake/kvfake"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// pauseFactor stretches the time of a fault, so that many pauses are longer than a lease lasts.
	pauseFactor = 2
	// storeLatency is that of a slow key-value service, near the nodes' timeout for a call.
	storeLatency = 1500 * time.Millisecond
)

// addressKeep is how long nodes let callers keep addresses.
const addressKeep = 2 * time.Second

// fault brings a fault about, waits for its time and takes it back.
func (w *world) fault(step Step) {
	switch step.Kind {
	case StepKillNode:
		w.killNode(step)
	case StepDrainNode:
		w.drainNode(step)
	case StepKillServer:
		id := w.serverID(step.Server)
		w.system.KillServer(id)
		time.Sleep(step.For)
		w.system.RestartServer(id)
	case StepLeaveServer:
		w.leaveServer(step)
	case StepPauseNode:
		w.pauseNode(step)
	case StepSilence:
		w.net.Silence(w.nodeIP(step.Node), w.serverIP(step.Server))
	case StepCrossed:
		w.eachEngine(step, func(i int) { w.system.Engines()[i].MixStreams(0.3) }, func(i int) { w.system.Engines()[i].MixStreams(0) })
	case StepSwapped:
		w.eachEngine(step, func(i int) { w.system.Engines()[i].SwapAnswers(0.5) }, func(i int) { w.system.Engines()[i].SwapAnswers(0) })
	case StepSlow:
		w.eachEngine(step, func(i int) { w.system.Engines()[i].SetSlowdown(4) }, func(i int) { w.system.Engines()[i].SetSlowdown(1) })
	case StepCutNodes:
		w.cutNodes(step)
	case StepStoreOut:
		w.system.KV.StartOutage(kvfake.FaultLoseRequest)
		time.Sleep(step.For)
		w.system.KV.EndOutage()
	case StepStoreSlow:
		w.system.KV.SetLatency(storeLatency)
		time.Sleep(step.For)
		w.system.KV.SetLatency(0)
	case StepStoreLoses:
		w.loseAnswers(step)
	case StepStoreCompacts:
		w.system.KV.Compact(w.system.KV.Revision())
		w.system.KV.DropWatches()
	case StepStoreSkips:
		w.system.KV.SkipWatchBatches(1)
	case StepStoreDropsWatches:
		w.system.KV.DropWatches()
	case StepStoreOlder:
		older := w.system.KV.Snapshot()
		time.Sleep(step.For)
		w.mu.Lock()
		w.wentBack = true
		w.mu.Unlock()
		w.system.KV.Restore(older)
	case StepWithdraw:
		w.withdraw(step)
	case StepRace:
		w.race(step)
	case StepRollOut:
		w.rollOut(step)
	case StepCommand:
		w.command(step)
	}
}

func (w *world) killNode(step Step) {
	w.nodeBusy[step.Node] <- struct{}{}
	defer func() { <-w.nodeBusy[step.Node] }()
	w.history.mu.Lock()
	w.history.nodeKills = append(w.history.nodeKills, nodeKill{node: step.Node, at: time.Now()})
	w.history.mu.Unlock()
	killed := time.Now()
	w.system.KillNode(step.Node)
	time.Sleep(step.For)
	w.startNode(step.Node)
	w.noteDowntime(step.Node, killed)
}

func (w *world) drainNode(step Step) {
	w.nodeBusy[step.Node] <- struct{}{}
	defer func() { <-w.nodeBusy[step.Node] }()
	stopped := time.Now().Add(addressKeep)
	w.system.DrainNode(step.Node)
	w.startNode(step.Node)
	w.noteDowntime(step.Node, stopped)
}

// pauseNode holds a node's connections both ways, often for longer than its leases last, and lets it go on with what it knew.
func (w *world) pauseNode(step Step) {
	w.nodeBusy[step.Node] <- struct{}{}
	defer func() { <-w.nodeBusy[step.Node] }()
	from := time.Now()
	w.net.Pause(w.nodeIP(step.Node))
	time.Sleep(pauseFactor * step.For)
	w.net.Resume(w.nodeIP(step.Node))
	w.history.mu.Lock()
	defer w.history.mu.Unlock()
	w.history.pauses = append(w.history.pauses, downtime{node: step.Node, from: from, to: time.Now()})
}

// noteDowntime records the time from a node's last accepted connection to its next start. Until the end of its graceful
// shutdown a node accepts connections; addresses that it gave out are no longer kept by then.
func (w *world) noteDowntime(node int, from time.Time) {
	w.history.mu.Lock()
	defer w.history.mu.Unlock()
	w.history.downtimes = append(w.history.downtimes, downtime{node: node, from: from, to: time.Now()})
}

func (w *world) startNode(node int) {
	if err := w.system.StartNode(context.Background(), node); err != nil {
		w.history.note(fmt.Sprintf("node %d does not start: %v", node, err))
	}
}

// loseAnswers makes the key-value service lose some of the answers to writes after their effect.
func (w *world) loseAnswers(step Step) {
	calls := 0
	w.system.KV.SetFault(func(kind kvfake.CallKind) kvfake.Fault {
		if kind != kvfake.CallWrite && kind != kvfake.CallLease {
			return kvfake.FaultNone
		}
		calls++
		if calls%2 == 0 {
			return kvfake.FaultNone
		}
		return kvfake.FaultLoseResponse
	})
	time.Sleep(step.For)
	w.system.KV.EndOutage()
}

func (w *world) leaveServer(step Step) {
	id := w.serverID(step.Server)
	from := time.Now()
	w.system.LeaveServer(id)
	time.Sleep(step.For)
	w.history.mu.Lock()
	w.history.left = append(w.history.left, interval{server: id, from: from, to: time.Now()})
	w.history.mu.Unlock()
	w.system.JoinServer(id)
}

func (w *world) eachEngine(step Step, begin, end func(i int)) {
	i := step.Server % planEngines
	begin(i)
	time.Sleep(step.For)
	end(i)
}

func (w *world) cutNodes(step Step) {
	if step.Node == step.Other {
		return
	}
	from := time.Now()
	w.net.Cut(w.nodeIP(step.Node), w.nodeIP(step.Other))
	time.Sleep(step.For)
	w.net.Heal(w.nodeIP(step.Node), w.nodeIP(step.Other))
	w.history.mu.Lock()
	defer w.history.mu.Unlock()
	w.history.cuts = append(w.history.cuts, cut{a: step.Node, b: step.Other, from: from, to: time.Now()})
}

func (w *world) nodeIP(i int) string { return fmt.Sprintf("127.1.1.%d", i+1) }

// serverIP returns the address of the ith backend server, the engines first.
func (w *world) serverIP(i int) string {
	if i < planEngines {
		return fmt.Sprintf("127.1.2.%d", i+1)
	}
	return fmt.Sprintf("127.1.3.%d", i-planEngines+1)
}

func (w *world) serverID(i int) api.ServerID {
	if i < planEngines {
		return w.system.Engines()[i].ID()
	}
	return w.system.PlainServers()[i-planEngines].ID()
}
