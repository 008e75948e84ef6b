package promises

import (
	"strings"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
)

func loadConfig(t *testing.T) *fleet.Config {
	config, err := fleet.Load("../../examples/commons")
	qt.Assert(t, err, qt.IsNil)
	return config
}

// runBubble carries out a plan in virtual time.
func runBubble(t *testing.T, steps []Step, opts Options) []string {
	var breaches []string
	synctest.Test(t, func(*testing.T) { breaches = Run(steps, opts) })
	return breaches
}

// TestPromises draws plans of actions and faults; other seeds: go test ./internal/promises -run TestPromises -rapid.checks=N -rapid.seed=S.
func TestPromises(t *testing.T) {
	config := loadConfig(t)
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawPlan(rt)
		breaches := runBubble(t, steps, Options{Config: config})
		if len(breaches) == 0 {
			return
		}
		var plan strings.Builder
		for _, step := range steps {
			plan.WriteString("\n  " + step.String())
		}
		rt.Fatalf("plan:%s\nbreaches:\n  %s", plan.String(), strings.Join(breaches, "\n  "))
	})
}
