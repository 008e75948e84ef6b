package capacity_test

import (
	"fmt"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/capacity"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/play"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// measureTeams returns the bytes of a configuration with some teams, and the microseconds that a change of it takes.
func measureTeams(t *testing.T, teams int) (bytes, microseconds float64) {
	before := heap()
	state, err := fleet.NewState().Apply(fleet.Delta{Revision: 1, Change: fleet.Change{ID: "first", Ops: teamOps(teams)}})
	qt.Assert(t, err, qt.IsNil)
	bytes = heap() - before
	delta := fleet.Delta{Revision: 2, Parent: "first", Change: exceptionChange(1)}
	microseconds = timed(t, repeat(20), func() {
		_, err := state.Apply(delta)
		qt.Assert(t, err, qt.IsNil)
	})
	runtime.KeepAlive(state)
	return bytes, microseconds
}

func teamOps(teams int) []fleet.Op {
	config := configOf(systemOptions{domains: capacity.FailureDomains, services: capacity.Versions})
	for i := range teams {
		name := api.Team(fmt.Sprint("team-", i))
		config.Teams = append(config.Teams, fleet.Team{Name: name, KeyHashes: []string{play.HashOfKey(name)}, Weight: 1, Service: "service-0"})
	}
	config.Sort()
	return fleet.NewState().Ops(config)
}

// TestMeasureTeams varies the teams of the configuration.
func TestMeasureTeams(t *testing.T) {
	teams := sizes(250, 500, 1000, 2000)
	memory, apply := make([]float64, len(teams)), make([]float64, len(teams))
	for i, n := range teams {
		memory[i], apply[i] = measureTeams(t, n)
	}
	const over = "teams (2,000 are our assumption)"
	finish(t, "teams", "TestMeasureTeams", []capacity.Series{
		series(capacity.Series{Quantity: "heap of the configuration", Unit: "MB", Over: over, Target: 2000, Budget: capacity.ControlMemory / 1e6, Mechanism: "one state a node, deltas by entity (internal/fleet)"},
			teams, func(i int) float64 { return memory[i] / 1e6 }),
		series(capacity.Series{Quantity: "applying 20,000 changes a day", Unit: "of a core", Over: over, Target: 2000, Times: capacity.ChangesPerSecond, Budget: capacity.ControlCore, Mechanism: "one state a node, deltas by entity (internal/fleet)"},
			teams, func(i int) float64 { return apply[i] / 1e6 }),
	})
}
