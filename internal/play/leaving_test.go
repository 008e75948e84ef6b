package play

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/oracle"
)

func TestLateWorkForALeavingServerIsABreach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var leaving leavingServers
		began := time.Now()
		joined := leaving.leave("s1")
		at := func(d time.Duration) []oracle.Run { return []oracle.Run{{Server: "s1", At: began.Add(d)}} }
		qt.Check(t, leaving.broken(at(leavingWithin)), qt.HasLen, 0)
		qt.Check(t, leaving.broken(at(leavingWithin+1)), qt.HasLen, 1)
		qt.Check(t, leaving.broken([]oracle.Run{{Server: "s2", At: began.Add(time.Minute)}}), qt.HasLen, 0)
		time.Sleep(10 * time.Second)
		joined()
		qt.Check(t, leaving.broken(at(9*time.Second)), qt.HasLen, 1)
		qt.Check(t, leaving.broken(at(11*time.Second)), qt.HasLen, 0)
	})
}
