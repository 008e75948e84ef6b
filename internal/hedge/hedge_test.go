package hedge

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestDelay(t *testing.T) {
	usual := Input{Allowed: true, Idempotent: true, LateAfter: 2 * time.Second, Remaining: 10 * time.Second}
	for name, test := range map[string]struct {
		change func(*Input)
		want   bool
	}{
		"usual":         {func(*Input) {}, true},
		"not allowed":   {func(in *Input) { in.Allowed = false }, false},
		"once only":     {func(in *Input) { in.Idempotent = false }, false},
		"suspect":       {func(in *Input) { in.Suspect = true }, false},
		"trial":         {func(in *Input) { in.InRollOut = true }, false},
		"answered":      {func(in *Input) { in.AnswerBegun = true }, false},
		"hedged before": {func(in *Input) { in.AlreadyHedged = true }, false},
		"too late":      {func(in *Input) { in.Remaining = 3 * time.Second }, false},
		"no deadline":   {func(in *Input) { in.Remaining = 0 }, true},
	} {
		t.Run(name, func(t *testing.T) {
			in := usual
			test.change(&in)
			delay, ok := Delay(in)
			qt.Assert(t, ok, qt.Equals, test.want)
			if ok {
				qt.Assert(t, delay, qt.Equals, 2*time.Second)
			}
		})
	}
}
