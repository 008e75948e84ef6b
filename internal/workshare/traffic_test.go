package workshare_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/workload"
)

const (
	// streamRate is the number of streams that a node begins each second, promptTime the work before their first event in the mean and streamTime how
	// long they run.
	streamRate = 4
	promptTime = 100 * time.Millisecond
	streamTime = time.Second
	// measuredTime is how long a fleet is measured.
	measuredTime = 10 * time.Second
	// maxBytesPerSecond bounds what a node of a fleet of largeFleet nodes or more receives from other nodes in the mean, in bytes per second.
	largeFleet        = 295
	maxBytesPerSecond = 6 << 10
)

var isLarge = flag.Bool("workshare.large", false, "also measure fleets of 295 and 590 nodes")

// stream runs a stream at a server.
func (n *testNode) stream(server workload.Server, prompt time.Duration) {
	n.add(server, load(1, prompt))
	time.Sleep(prompt)
	n.add(server, load(0, -prompt))
	time.Sleep(streamTime)
	n.add(server, load(-1, 0))
}

// add changes what the node has under way at a server, which reports a slowdown with its answers.
func (n *testNode) add(server workload.Server, change workload.Load) {
	n.servers.mu.Lock()
	defer n.servers.mu.Unlock()
	own := n.servers.own[server]
	own.Server, own.Load = server, own.Load.Add(change)
	if change.Requests <= 0 {
		own.Slowdown, own.SlowdownAt = 1+0.1*rand.Float64(), time.Now()
		own.Pace = own.Pace.Add(workload.Pace{Answers: 0.5, Took: workload.Work(promptTime), Expected: workload.Work(promptTime)})
	}
	n.servers.own[server] = own
}

// TestTraffic measures what the nodes of fleets of several sizes send each other while they send streams to servers.
func TestTraffic(t *testing.T) {
	for _, size := range []struct{ domains, nodesPerDomain, servers int }{{2, 4, 20}, {4, 23, 90}, {5, 59, 6000}, {10, 59, 12000}} {
		if !*isLarge && size.servers > 90 {
			continue
		}
		withFleet(t, size.domains, size.nodesPerDomain, size.servers, func(f *testFleet) {
			for i, n := range f.nodes {
				n.mu.Lock()
				n.received, n.remote = 0, 0
				n.mu.Unlock()
				random := rand.New(rand.NewPCG(1, uint64(i)))
				go func() {
					for begin := time.Now(); time.Since(begin) < measuredTime; {
						time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / streamRate))
						go n.stream(f.servers[random.IntN(len(f.servers))], time.Duration(random.ExpFloat64()*float64(promptTime)))
					}
				}()
			}
			time.Sleep(measuredTime)
			var received, remote int
			var age time.Duration
			for _, n := range f.nodes {
				n.mu.Lock()
				received, remote = received+n.received, remote+n.remote
				n.mu.Unlock()
				at := n.servers.peersAt(f.servers[0]).At
				f.c.Check(at.IsZero(), qt.IsFalse)
				age += time.Since(at)
			}
			perNode := func(bytes int) float64 { return float64(bytes) / float64(len(f.nodes)) / measuredTime.Seconds() }
			t.Logf("%d nodes, %d servers: %.0f B/s a node, %.0f B/s of them from other failure domains; known as of %s ago",
				len(f.nodes), len(f.servers), perNode(received), perNode(remote), age/time.Duration(len(f.nodes)))
			f.c.Check(received > 0 && remote > 0, qt.IsTrue)
			if len(f.nodes) >= largeFleet {
				f.c.Check(perNode(received) <= maxBytesPerSecond, qt.IsTrue)
			} else {
				f.c.Check(age/time.Duration(len(f.nodes)) <= freshness, qt.IsTrue)
			}
		})
	}
}
