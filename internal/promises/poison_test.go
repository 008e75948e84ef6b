package promises

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/monsoonrail/monsoonrail/internal/dev"
	"github.com/monsoonrail/monsoonrail/internal/fake/script"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/poison"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// poisonEngines is the number of servers before which a poison plan runs.
	poisonEngines = 6
	// poisonCuts bounds the time in which nodes are cut from each other.
	poisonCuts = 10 * time.Second
	// poisonRestart is when a server that went down comes back.
	poisonRestart = 3 * time.Second
)

// poisonPlan is a caller that sends a request which crashes its server, again and again, while other things fail.
type poisonPlan struct {
	sends  []poisonSend
	faults []poisonFault
}

// poisonSend sends the request through a node, a time after the last answer.
type poisonSend struct {
	node  int
	after time.Duration
}

// poisonFault cuts two nodes from each other until a time, or kills a server if both are the same. No node is killed: what it alone
// knew of a request is lost with it.
type poisonFault struct {
	at, until time.Duration
	a, b      int
	server    int
}

func drawPoisonPlan(t *rapid.T) poisonPlan {
	node := rapid.IntRange(0, planNodes-1)
	return poisonPlan{
		sends: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) poisonSend {
			return poisonSend{node: node.Draw(t, "node"), after: drawSometimes(t, "after")}
		}), 4, 30).Draw(t, "sends"),
		faults: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) poisonFault {
			at, until := drawMillis(t, "at", poisonCuts), drawMillis(t, "until", poisonCuts)
			return poisonFault{
				at: min(at, until), until: max(at, until), a: node.Draw(t, "a"), b: node.Draw(t, "b"),
				server: rapid.IntRange(0, poisonEngines-1).Draw(t, "server"),
			}
		}), 0, 8).Draw(t, "faults"),
	}
}

// run carries the plan out and returns the servers that the request crashed.
func (p poisonPlan) run(w *world) []api.ServerID {
	var faults sync.WaitGroup
	for _, fault := range p.faults {
		faults.Go(func() { fault.bringAbout(w) })
	}
	for _, send := range p.sends {
		time.Sleep(send.after)
		w.sendPoison(send.node)
	}
	faults.Wait()
	var crashed []api.ServerID
	for _, engine := range w.system.Engines() {
		for _, r := range engine.Runs() {
			if r.Began {
				crashed = append(crashed, engine.ID())
			}
		}
	}
	return crashed
}

func (f poisonFault) bringAbout(w *world) {
	time.Sleep(f.at)
	if f.a == f.b {
		w.system.KillServer(w.system.Engines()[f.server].ID())
		return
	}
	w.net.Cut(w.nodeIP(f.a), w.nodeIP(f.b))
	time.Sleep(f.until - f.at)
	w.net.Heal(w.nodeIP(f.a), w.nodeIP(f.b))
}

// sendPoison waits for whatever the node answers.
func (w *world) sendPoison(node int) {
	body, _ := json.Marshal(api.ChatRequest{
		Model: api.ModelAuto, Stream: true,
		Messages: []api.ChatMessage{{Role: "user", Content: script.Prompt{Crash: true}.String()}},
	})
	req, err := http.NewRequest(http.MethodPost, w.system.NodeURL(node)+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		w.history.note(err.Error())
		return
	}
	req.Header.Set("Authorization", "Bearer key-"+callerTeam)
	resp, err := w.client.Do(req)
	if err != nil {
		w.history.note(err.Error())
		return
	}
	defer resp.Body.Close()
	_, _ = new(bytes.Buffer).ReadFrom(resp.Body)
}

// restartServers brings each server back that has been down for a time.
func (w *world) restartServers(ctx context.Context) {
	down := make(map[api.ServerID]time.Time)
	for ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		for _, engine := range w.system.Engines() {
			since, ok := down[engine.ID()]
			switch {
			case !engine.IsDown():
				delete(down, engine.ID())
			case !ok:
				down[engine.ID()] = time.Now()
			case time.Since(since) >= poisonRestart:
				engine.Restart()
			}
		}
	}
}

// play runs the plan against a system of its own and returns the servers that the request crashed, and what went wrong besides.
func (p poisonPlan) play(t *testing.T, config *fleet.Config) (crashed []api.ServerID, notes []string) {
	synctest.Test(t, func(t *testing.T) {
		w, err := newWorld(Options{Config: config, Change: func(o *dev.Options) { o.Engines = poisonEngines }})
		qt.Assert(t, err, qt.IsNil)
		defer w.close()
		ctx, stop := context.WithCancel(context.Background())
		var restarts sync.WaitGroup
		restarts.Go(func() { w.restartServers(ctx) })
		defer restarts.Wait()
		defer stop()
		time.Sleep(warmUp)
		crashed = p.run(w)
		notes = w.history.notes
	})
	return crashed, notes
}

// TestPoisonPlans lets a caller resend a request that crashes servers while nodes are cut from each other and servers die of other
// causes: it crashes two servers at most.
func TestPoisonPlans(t *testing.T) {
	config := loadConfig(t)
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawPoisonPlan(rt)
		crashed, notes := plan.play(t, config)
		if len(crashed) > poison.MaxCrashes || len(notes) > 0 {
			rt.Fatalf("crashed %v, %s\n%+v", crashed, strings.Join(notes, "; "), plan)
		}
	})
}

// TestPoisonGivenUpAtItsDeadline is a drawn plan that was red once: a request's deadline passes in the moment in which it crashes its
// second server.
func TestPoisonGivenUpAtItsDeadline(t *testing.T) {
	ms := time.Millisecond
	plan := poisonPlan{
		sends:  []poisonSend{{0, 3 * time.Second}, {0, 0}, {0, 87 * ms}, {0, 0}, {2, 28 * ms}},
		faults: []poisonFault{{476 * ms, 8503 * ms, 0, 2, 1}, {4 * ms, 7247 * ms, 2, 0, 0}, {3 * ms, 7495 * ms, 2, 2, 2}},
	}
	crashed, notes := plan.play(t, loadConfig(t))
	qt.Check(t, len(crashed) <= poison.MaxCrashes, qt.IsTrue, qt.Commentf("%v", crashed))
	qt.Check(t, notes, qt.HasLen, 0)
}
