package capacity_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/monsoonrail/monsoonrail/internal/capacity"
	"github.com/monsoonrail/monsoonrail/internal/fake/listnodes"
	"github.com/monsoonrail/monsoonrail/internal/fake/memnet"
	"github.com/monsoonrail/monsoonrail/internal/fake/vmlistfake"
	"github.com/monsoonrail/monsoonrail/internal/vmlist"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// marking is what it costs that nodes pass on who leaves.
type marking struct {
	// mean, p99 and worst are the seconds until a node knows of a server that the platform shows as leaving.
	mean, p99, worst float64
	// wire and topic are bytes of a node's exchange in a second.
	wire, topic float64
}

// measureMarking has servers of a long list leave at a rate while nodes read it.
func measureMarking(t *testing.T, nodes, servers int, perHour float64, isAlone bool) marking {
	var seen marking
	synctest.Test(t, func(t *testing.T) {
		list := vmlistfake.New(listOf(servers)...)
		group, err := listnodes.Start(listnodes.Options{
			Network: memnet.New(), VMList: list, Nodes: nodes, Domains: (nodes + capacity.NodesPerDomain - 1) / capacity.NodesPerDomain, WithoutExchange: isAlone,
		})
		qt.Assert(t, err, qt.IsNil)
		clock := &leavingClock{list: list, random: rand.New(rand.NewPCG(5, 6)), left: make(map[api.ServerID]time.Time)}
		// Once the list has changed for a while, nodes read it at times of their own.
		clock.leave(3*warmUp(), perHour)
		began, wire, topic := time.Now(), exchanged(group, "wire"), exchanged(group, "topic."+vmlist.TopicName)
		clock.counted = began
		watched := watchLeaving(group, clock)
		clock.leave(5*lasting(), perHour)
		seconds := time.Since(began).Seconds() * float64(nodes)
		// The meters count at the node that calls; the bytes are control of both.
		seen.wire = 2 * float64(exchanged(group, "wire")-wire) / seconds
		seen.topic = 2 * float64(exchanged(group, "topic."+vmlist.TopicName)-topic) / seconds
		time.Sleep(2 * warmUp())
		group.Close()
		close(watched)
		clock.done.Wait()
		slices.Sort(clock.ages)
		for _, age := range clock.ages {
			seen.mean += age / float64(len(clock.ages))
		}
		seen.p99, seen.worst = clock.ages[len(clock.ages)*99/100], clock.ages[len(clock.ages)-1]
	})
	return seen
}

// leavingClock has servers leave and notes when nodes know.
type leavingClock struct {
	list   *vmlistfake.Service
	random *rand.Rand
	// next is the number of the server that leaves next.
	next int
	// counted is the time from which on servers that leave are counted.
	counted time.Time

	mu   sync.Mutex
	left map[api.ServerID]time.Time
	// ages are in seconds, one for each server and node that knows of it.
	ages []float64
	done sync.WaitGroup
}

// leave has servers leave for a while.
func (l *leavingClock) leave(lasting time.Duration, perHour float64) {
	for end := time.Now().Add(lasting); time.Now().Before(end); l.next++ {
		id := fmt.Sprintf("server-%05d", l.next)
		l.mu.Lock()
		l.left[api.ServerID(id)] = time.Now()
		l.mu.Unlock()
		l.list.SetState(id, vmlist.StateLeaving)
		time.Sleep(time.Duration(l.random.ExpFloat64() * float64(time.Hour) / perHour))
	}
}

// watchLeaving notes how late each node knows who leaves, until the channel that it returns is closed.
func watchLeaving(group *listnodes.Group, clock *leavingClock) chan struct{} {
	ended := make(chan struct{})
	for _, node := range group.Nodes {
		clock.done.Go(func() {
			known := make(map[api.ServerID]bool)
			for {
				snapshot, changed := node.Snapshot()
				clock.note(snapshot, known)
				select {
				case <-ended:
					return
				case <-changed:
				}
			}
		})
	}
	return ended
}

func (l *leavingClock) note(snapshot *vmlist.Snapshot, known map[api.ServerID]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, server := range snapshot.Servers {
		if !server.Leaving || known[server.ID] {
			continue
		}
		known[server.ID] = true
		if left := l.left[server.ID]; !left.Before(l.counted) {
			l.ages = append(l.ages, time.Since(left).Seconds())
		}
	}
}

// exchanged sums a meter of the nodes' exchanges.
func exchanged(group *listnodes.Group, part string) int64 {
	sum := int64(0)
	for _, node := range group.Nodes {
		if counter, ok := node.Metrics.Get(partPrefix + part).(metrics.Counter); ok {
			sum += counter.Count()
		}
	}
	return sum
}

const (
	// restartsOfServer is how many servers leave in an hour if VMs of servers are restarted as often as those of nodes.
	restartsOfServer = 1_400.0 / capacity.Nodes * capacity.Servers / 24
	// perThousand scales readings between two nodes' to whole numbers.
	perThousand = 1000
)

// TestMeasureLeaving varies how often any node reads the list, and the servers that leave.
func TestMeasureLeaving(t *testing.T) {
	nodes, rates, servers := sizes(4, 8, 16, 32, 59, 118), sizes(300, 600, 1200, 2400), capacity.Servers
	rateNodes := capacity.NodesPerDomain
	if *out == "" {
		servers, rateNodes = 600, 4
	}
	alone, overNodes, overRates := measureMarking(t, nodes[1], servers, restartsOfServer, true), make([]marking, len(nodes)), make([]marking, len(rates))
	t.Logf("8 nodes that pass on nothing: %.1f s in the mean, %.1f s for 99 in 100, %.1f s at most", alone.mean, alone.p99, alone.worst)
	gaps := make([]int, len(nodes))
	for i, n := range nodes {
		overNodes[i] = measureMarking(t, n, servers, restartsOfServer, false)
		gaps[i] = int(listInterval * perThousand / float64(n))
		t.Logf("%d nodes: %+v", n, overNodes[i])
	}
	for i, rate := range rates {
		overRates[i] = measureMarking(t, rateNodes, servers, float64(rate), false)
		t.Logf("%d an hour: %+v", rate, overRates[i])
	}
	const (
		between   = "ms between two readings: 4, 8, 16, 32 and 59 nodes of a failure domain, 118 of two"
		leaving   = "servers that leave in an hour, 59 nodes of one failure domain"
		passingOn = "whoever reads it first pushes a mark of 16 bytes (internal/vmlist)"
	)
	finish(t, "leaving", "TestMeasureLeaving", []capacity.Series{
		series(capacity.Series{Quantity: "time until a node knows that a server leaves, mean", Unit: "s", Over: between, Target: perThousand * listInterval / capacity.Nodes, Budget: 5, Mechanism: passingOn},
			gaps, func(i int) float64 { return overNodes[i].mean }),
		series(capacity.Series{Quantity: "time until a node knows that a server leaves, 99 in 100", Unit: "s", Over: between, Target: perThousand * listInterval / capacity.Nodes, Budget: 5, Mechanism: passingOn},
			gaps, func(i int) float64 { return overNodes[i].p99 }),
		series(capacity.Series{Quantity: "time until a node knows that a server leaves, 99 in 100", Unit: "s", Over: leaving, Target: restartsOfServer, Budget: 5, Mechanism: passingOn},
			rates, func(i int) float64 { return overRates[i].p99 }),
		series(capacity.Series{Quantity: "exchange: topic.leaving", Unit: "B/s", Over: leaving, Target: restartsOfServer, Mechanism: passingOn},
			rates, func(i int) float64 { return overRates[i].topic }),
		series(capacity.Series{Quantity: "exchange: wire, with nothing else to tell", Unit: "B/s", Over: leaving, Target: restartsOfServer, Budget: capacity.ControlBytes, Mechanism: passingOn},
			rates, func(i int) float64 { return overRates[i].wire }),
	})
}
