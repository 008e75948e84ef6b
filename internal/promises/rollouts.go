package promises

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	pb "github.com/monsoonrail/monsoonrail/internal/operator/operatorpb"
	"github.com/monsoonrail/monsoonrail/internal/rollout"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// engineService is the service of every chat.
const engineService = "tutor-llm"

// candidate is the version that drawn roll-outs bring into service, compared with control.
var (
	candidate = api.VersionID{Model: "scholar", Version: "2.1"}
	control   = api.VersionID{Model: "scholar", Version: "2.0"}
)

// rollOut begins a short roll-out through a node; one that is refused or whose answer is lost is given up by its operator.
func (w *world) rollOut(step Step) {
	w.mu.Lock()
	w.changes++
	id := fmt.Sprintf("roll-out-%d", w.changes)
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), operatorPatience)
	defer cancel()
	_, _ = w.system.OperatorClient(step.Node, w.client).StartRollOut(ctx, connect.NewRequest(&pb.StartRollOutRequest{
		Id: id, Service: engineService, Version: candidate.String(), Control: control.String(), Reason: "drawn",
		Steps: []*pb.Step{{Share: 0.3, Requests: 1, Dwell: "1s", Window: 8}, {Share: 0.6, Requests: 2, Dwell: "1s", Window: 8}},
	}))
}

// command pauses, resumes or aborts the roll-out under way.
func (w *world) command(step Step) {
	commands := []rollout.Command{rollout.CommandAbort, rollout.CommandPause, rollout.CommandResume}
	command := commands[step.Server%len(commands)]
	ctx, cancel := context.WithTimeout(context.Background(), operatorPatience)
	defer cancel()
	moved, err := w.system.OperatorClient(step.Node, w.client).CommandRollOut(ctx, connect.NewRequest(&pb.CommandRollOutRequest{
		Service: engineService, Command: string(command), Reason: "drawn",
	}))
	if err != nil || command != rollout.CommandAbort {
		return
	}
	w.history.mu.Lock()
	defer w.history.mu.Unlock()
	w.history.aborts = append(w.history.aborts, rollout.ID(moved.Msg.Id))
}

// watchRollOuts notes a roll-out that goes back to an earlier transition, as after a write by a holder whose lease is gone.
func (w *world) watchRollOuts(ctx context.Context) {
	const interval = 100 * time.Millisecond
	records := rollout.NewStore(w.system.KV.Store())
	last := rollout.RollOut{}
	for ; ctx.Err() == nil; time.Sleep(interval) {
		record, err := records.Find(ctx, engineService)
		if err != nil {
			continue
		}
		now := record.RollOut
		isBack := now.Plan.ID == last.Plan.ID && now.Transition < last.Transition
		if isBack && !w.hasGoneBack() {
			w.history.note(fmt.Sprintf("roll-out %s went back from transition %d to %d", now.Plan.ID, last.Transition, now.Transition))
		}
		last = now
	}
}

// judgeRollOuts: a roll-out whose abort was accepted ends, and its candidate is out of service everywhere. An older state
// of the key-value service takes the roll-out's record with it.
func judgeRollOuts(w *world, runs []run) []string {
	if len(w.history.aborts) == 0 || w.hasGoneBack() {
		return nil
	}
	var breaches []string
	record, err := rollout.NewStore(w.system.KV.Store()).Find(context.Background(), engineService)
	if err != nil {
		return []string{"the roll-out can't be read: " + err.Error()}
	}
	if !record.RollOut.Phase.IsFinal() {
		breaches = append(breaches, fmt.Sprintf("roll-out %s is %s after the abort of %v", record.RollOut.Plan.ID, record.RollOut.Phase, w.history.aborts))
	}
	for i := range planNodes {
		running := w.system.Node(i)
		if running == nil {
			continue
		}
		state := running.Configs().State().Config.StateOf(fleet.Scope{Service: engineService, Version: candidate}, time.Now())
		if state != fleet.StateWithdrawn {
			breaches = append(breaches, fmt.Sprintf("node %d has %s %s after the abort of %v", i, candidate, state, w.history.aborts))
		}
	}
	for _, r := range runs {
		if r.began && r.version == candidate && r.at.After(w.calmed) {
			breaches = append(breaches, fmt.Sprintf("the roll-outs %v were aborted but ran %v", w.history.aborts, r))
		}
	}
	return breaches
}
