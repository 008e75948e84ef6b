package backend_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/backend"
	"github.com/monsoonrail/monsoonrail/internal/workload"
)

// TestOwnWork checks what other nodes are told of a server: the work before the first events until these arrive, and the pace of the answers.
func TestOwnWork(t *testing.T) {
	set := backend.NewSet(backend.Locality{})
	set.Replace([]backend.Server{server("a", "1", 1), server("b", "2", 1)})
	a := findServer(t, set, "a")
	a.Begin(workload.Work(time.Second))
	a.Begin(workload.Work(2 * time.Second))
	a.FirstByte(workload.Work(time.Second))
	a.ObserveTime(3*time.Second, time.Second, start)
	qt.Assert(t, set.OwnWork(start), qt.DeepEquals, []workload.Own{{
		Server: workload.Server{ID: "a", Start: 1},
		Load:   workload.Load{Requests: 2, Unread: workload.Work(2 * time.Second)},
		Pace:   workload.Pace{Answers: 1, Took: workload.Work(3 * time.Second), Expected: workload.Work(time.Second)},
	}})
	a.End(0)
	a.End(workload.Work(2 * time.Second))
	qt.Assert(t, a.View(start).Unread, qt.Equals, workload.Work(0))
}

// TestOldPeersLoad checks that what other nodes said earlier, or of another start of the server, doesn't replace what they said last.
func TestOldPeersLoad(t *testing.T) {
	set := backend.NewSet(backend.Locality{})
	set.Replace([]backend.Server{server("a", "1", 2)})
	hear := func(startTime int64, requests int, at time.Time) {
		set.HearPeers(workload.Server{ID: "a", Start: startTime}, workload.Peers{Load: workload.Load{Requests: requests}, At: at})
	}
	hear(2, 5, start)
	hear(2, 9, start.Add(-100*time.Millisecond))
	hear(1, 7, start.Add(time.Second))
	view := findServer(t, set, "a").View(start.Add(200 * time.Millisecond))
	qt.Assert(t, view.Peers.Load.Requests, qt.Equals, 5)
	qt.Assert(t, view.PeersAge, qt.Equals, 200*time.Millisecond)
}

// TestPeersPace checks that the answers to other nodes tell how slow a server is of which this node has none.
func TestPeersPace(t *testing.T) {
	set := backend.NewSet(backend.Locality{})
	set.Replace([]backend.Server{server("a", "1", 1)})
	pace := workload.Pace{Answers: 10, Took: workload.Work(6 * time.Second), Expected: workload.Work(2 * time.Second)}
	set.HearPeers(workload.Server{ID: "a", Start: 1}, workload.Peers{Pace: pace, At: start})
	a := findServer(t, set, "a")
	qt.Assert(t, a.View(start).Slowness > 2, qt.IsTrue, qt.Commentf("%f", a.View(start).Slowness))
	qt.Assert(t, a.View(start.Add(20*time.Second)).Slowness < 1.1, qt.IsTrue)
}
