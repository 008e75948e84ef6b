package admission_test

import (
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// TestUsageIncludesAnswerLength guards against usage that is charged by the expected cost alone. Two teams flood four slots with equal
// requests, but the answers of one are four times as long. Each team must get half of the slot time within the target's tolerance of 10%.
func TestUsageIncludesAnswerLength(t *testing.T) {
	const token, callers, duration = 10 * time.Millisecond, 8, 2 * time.Minute
	synctest.Test(t, func(t *testing.T) {
		gate := newGate(t, 4)
		used := map[api.Team]time.Duration{}
		var mu sync.Mutex
		var calling sync.WaitGroup
		end := time.Now().Add(duration)
		for team, answer := range map[api.Team]int{"short": 50, "long": 200} {
			for n := range callers {
				calling.Go(func() {
					for time.Now().Before(end) {
						req := request(team, n, time.Hour)
						req.PromptTokens = 1
						admitted, err := gate.Admit(t.Context(), req)
						if !qt.Check(t, err, qt.IsNil) {
							return
						}
						took := time.Duration(answer) * token
						time.Sleep(took)
						admitted.RecordTokens(float64(answer))
						admitted.Release()
						mu.Lock()
						used[team] += took
						mu.Unlock()
					}
				})
			}
		}
		calling.Wait()
		half := (used["short"] + used["long"]) / 2
		t.Logf("short %s, long %s", used["short"], used["long"])
		qt.Check(t, math.Abs(float64(used["long"])/float64(half)-1) <= 0.1, qt.IsTrue)
	})
}
