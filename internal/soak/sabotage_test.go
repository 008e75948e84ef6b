package soak

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/trace"
)

// TestSoakCatchesSabotage breaks promises on purpose, from outside of the program; the soak must name each. What the oracle of
// calls, runs and bills catches is shown by internal/oracle. It runs by hand: SOAK_SABOTAGE=1 go test ./internal/soak -run Sabotage.
func TestSoakCatchesSabotage(t *testing.T) {
	if envInt("SOAK_SABOTAGE", 0) == 0 {
		t.Skip("SOAK_SABOTAGE=1 runs it")
	}
	binary := build(t)
	const second = time.Second
	for _, test := range []struct {
		name     string
		faults   []trace.Fault
		sabotage func(h *hands)
		want     string
	}{
		{
			name: "a node dies that nobody stopped",
			sabotage: func(h *hands) {
				victim := h.processes.find(1)
				time.AfterFunc(2*second, func() { _ = victim.cmd.Process.Kill() })
			},
			want: "node-2 ended by itself",
		},
		{
			name: "an operator is told of a change that no node gets",
			sabotage: func(h *hands) {
				h.watch.mu.Lock()
				defer h.watch.mu.Unlock()
				h.watch.accepted[1000] = time.Now()
			},
			want: "1000 was accepted",
		},
		{
			name:   "a leaving server goes on being sent calls",
			faults: []trace.Fault{{At: second, Kind: trace.FaultLeaveServer, Target: "forge-app-1"}},
			sabotage: func(h *hands) {
				h.system.VMs.Freeze()
				for _, plain := range h.system.PlainServers() {
					plain.IgnoreLeaving(true)
				}
			},
			want: "Leaving: forge-app-1",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, broken := runSoak(t, run{
				binary: binary, dir: t.TempDir(), seed: 1, size: usual, plan: schedule{trace: test.faults}, sabotage: test.sabotage,
			})
			qt.Check(t, strings.Join(broken, "\n"), qt.Contains, test.want)
		})
	}
}
