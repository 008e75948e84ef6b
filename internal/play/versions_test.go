package play

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/load"
	"github.com/monsoonrail/monsoonrail/internal/oracle"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// TestVersionFaultsAreHeldAgainstRuns shows that work on a withdrawn version is seen once its withdrawal had to be in force,
// that one which nobody accepted is seen too, and that only answers of the bad version in its bad time count as exposure.
func TestVersionFaultsAreHeldAgainstRuns(t *testing.T) {
	version := api.VersionID{Model: "swift", Version: "3.1"}
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	faults := versionFaults{
		withdrawn: []withdrawn{{version: version, at: at}},
		bad:       []badTime{{version: version, from: at.Add(-time.Minute), to: at}},
	}
	run := func(call string, after time.Duration, began bool) oracle.Run {
		return oracle.Run{Call: call, Version: version, At: at.Add(after), Began: began}
	}
	seen := oracle.Seen{
		Runs: []oracle.Run{
			run("early", -2*time.Minute, true), run("bad", -time.Second, true), run("moved", -time.Second, true),
			run("spreading", inForceWithin, true), run("refused", inForceWithin+time.Second, false),
		},
		Results: []load.Result{
			{Call: "early", Answered: true, Version: version}, {Call: "bad", Answered: true, Version: version},
			{Call: "moved", Answered: true, Version: api.VersionID{Model: "swift", Version: "3.2"}},
		},
	}
	qt.Assert(t, faults.broken(seen), qt.HasLen, 0)
	qt.Assert(t, faults.exposure(seen), qt.Equals, 1)
	seen.Runs = append(seen.Runs, run("late", inForceWithin+time.Second, true))
	faults.refused = []api.VersionID{version}
	qt.Assert(t, faults.broken(seen), qt.DeepEquals, []string{
		"Withdraw: no node accepted the withdrawal of swift@3.1",
		"Withdrawn: 1 runs on swift@3.1 more than 11s after its withdrawal",
	})
}
