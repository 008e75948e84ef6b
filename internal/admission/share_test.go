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

// TestLongAnswersCountInFull floods four slots with two teams whose requests look alike, but one gets answers four times as long: each
// team gets half of the slots' time, within the tenth that the target leaves.
func TestLongAnswersCountInFull(t *testing.T) {
	const token, callers, during = 10 * time.Millisecond, 8, 2 * time.Minute
	synctest.Test(t, func(t *testing.T) {
		gate := newGate(t, 4)
		held := map[api.Team]time.Duration{}
		var mu sync.Mutex
		var calling sync.WaitGroup
		end := time.Now().Add(during)
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
						held[team] += took
						mu.Unlock()
					}
				})
			}
		}
		calling.Wait()
		half := (held["short"] + held["long"]) / 2
		t.Logf("short %s, long %s", held["short"], held["long"])
		qt.Check(t, math.Abs(float64(held["long"])/float64(half)-1) <= 0.1, qt.IsTrue)
	})
}
