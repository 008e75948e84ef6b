package rollout

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// FuzzDecodePlan decodes arbitrary bytes: the error must be IsErrBadPlanFile, and defaults must make a decoded plan usable.
func FuzzDecodePlan(f *testing.F) {
	f.Add([]byte("ID: r1\nService: s\nVersion: m@2\nControl: m@1\nReason: better\n"))
	f.Add([]byte("Steps: [{Share: 0.1, Requests: 5, Dwell: 1m, Window: 3}]\nFalseAlarm: .nan\n"))
	f.Add([]byte("&a [*a]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		plan, err := DecodePlan(data)
		if err != nil {
			qt.Assert(t, IsErrBadPlanFile(err), qt.IsTrue)
			return
		}
		filled := plan.WithDefaults()
		qt.Assert(t, len(filled.Steps) > 0, qt.IsTrue)
		_ = filled.Threshold()
	})
}
