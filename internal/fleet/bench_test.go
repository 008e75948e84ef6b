package fleet

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// BenchmarkApply applies a delta of one exception to a configuration with 2,000 additional teams.
func BenchmarkApply(b *testing.B) {
	config := loadExample(b, "commons")
	team := config.Teams[0]
	for i := range 2000 {
		team.Name = api.Team(fmt.Sprint("school-", i))
		config.Teams = append(config.Teams, team)
	}
	config.Sort()
	state := stateOf(b, config)
	next := *config
	next.Exceptions = next.Exceptions[1:]
	delta := Delta{Revision: 2, Parent: "first", Change: Change{ID: "x", Ops: state.Ops(&next)}}
	qt.Assert(b, delta.Ops, qt.HasLen, 1)
	for b.Loop() {
		_, err := state.Apply(delta)
		qt.Assert(b, err, qt.IsNil)
	}
}
