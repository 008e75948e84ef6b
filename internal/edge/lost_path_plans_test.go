package edge_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fake/platformfake"
)

var (
	pathPlans    = flag.Int("path-plans", 10, "number of drawn plans of lost paths")
	pathPlanSeed = flag.Uint64("path-plan-seed", 1, "seed of the first plan")
)

// pathPlan draws which nodes lose their links to which servers, and when, beside crashes of model servers and links between nodes that fail, and checks what callers
// and servers see.
type pathPlan struct {
	*testFleet
	random *rand.Rand
	// cut holds, by node, the servers that it can't reach, and cutAllSince when it lost the last one; zero if it reaches one.
	cut         []map[string]bool
	cutAllSince []time.Time
	log         []string

	mu sync.Mutex
	// tried and failed count the first tries, at nodes that had lost all servers for contactTime, and at the others.
	tried, failed map[bool]int
}

func (p *pathPlan) note(format string, args ...any) {
	p.log = append(p.log, fmt.Sprintf("%v ", time.Since(p.startedAt))+fmt.Sprintf(format, args...))
}

// cutServers makes a node lose its links to some servers.
func (p *pathPlan) cutServers(node int, servers []string, path lostPath) {
	p.note("node %d loses %v: %s", node, servers, path.name)
	for _, ip := range servers {
		path.cut(p.network, p.nodes[node].ip, ip)
		p.cut[node][ip] = true
	}
	if len(p.cut[node]) == len(p.serverIPs()) && p.cutAllSince[node].IsZero() {
		p.cutAllSince[node] = time.Now()
	}
}

// heal restores all links of a node to servers.
func (p *pathPlan) heal(node int) {
	p.note("node %d reaches all servers", node)
	p.healNode(node)
	clear(p.cut[node])
	p.cutAllSince[node] = time.Time{}
}

// step draws one event. The last node keeps its links to servers.
func (p *pathPlan) step() {
	node, servers := p.random.IntN(len(p.nodes)-1), p.serverIPs()
	path := lostPaths[p.random.IntN(len(lostPaths))]
	switch p.random.IntN(10) {
	case 0, 1, 2:
		p.cutServers(node, servers, path)
	case 3:
		p.cutServers(node, servers[:1+p.random.IntN(len(servers))], path)
	case 4:
		p.cutServers(node, servers[p.random.IntN(len(servers)):], path)
	case 5, 6:
		p.heal(node)
	case 7:
		other := (node + 1 + p.random.IntN(len(p.nodes)-1)) % len(p.nodes)
		p.note("connections between nodes %d and %d fall silent", node, other)
		p.network.Silence(p.nodes[node].ip, p.nodes[other].ip)
	case 8:
		model := p.random.IntN(len(p.models))
		p.note("m%d breaks its connections", model)
		for _, n := range p.nodes {
			p.network.Reset(n.ip, fmt.Sprintf("10.1.0.%d", model+1))
		}
	}
}

// send sends a request to a node and checks its answer. since is when the node lost its links to all servers; zero if it has some.
func (p *pathPlan) send(number, node int, since time.Time) {
	path := []string{"/s/", "/c/", "/r/", "/once/"}[number%4] + fmt.Sprint("plan", number)
	isCut := !since.IsZero() && time.Since(since) > contactTime
	isCounted := since.IsZero() || isCut
	got := p.testFleet.send(context.Background(), node, path, "key-1")
	whole := "answer of c0"
	if strings.HasPrefix(path, "/s/") || strings.HasPrefix(path, "/once/") {
		whole = platformfake.Stream(path, 10)
	}
	if got.status == http.StatusOK && got.err == nil && got.isFramed {
		p.c.Check(got.body, qt.Equals, whole, qt.Commentf("%s at node %d", path, node))
	}
	if got.status == http.StatusServiceUnavailable && !strings.HasPrefix(path, "/r/") {
		ran := slices.ContainsFunc(p.executedRuns(), func(run platformfake.Run) bool { return run.ID == got.id })
		p.c.Check(ran, qt.IsFalse, qt.Commentf("%s at node %d was said not to have run", path, node))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if isCounted {
		p.tried[isCut]++
		if got.status != http.StatusOK || got.err != nil {
			p.failed[isCut]++
			p.note("%s at node %d failed: %d %v", path, node, got.status, got.err)
		}
	}
}

// check checks the whole plan.
func (p *pathPlan) check() {
	runs := make(map[string]int)
	for _, run := range p.executedRuns() {
		if strings.HasPrefix(run.Path, "/c/") || strings.HasPrefix(run.Path, "/once/") {
			runs[run.ID]++
		}
	}
	for id, count := range runs {
		p.c.Check(count, qt.Equals, 1, qt.Commentf(id))
	}
	tried, failed := p.tried[true], p.failed[true]
	isFarWorse := float64(tried-failed)*float64(p.tried[false]) < 2.0/3*float64(p.tried[false]-p.failed[false])*float64(tried)
	p.c.Check(failed > 10+tried/50 && isFarWorse, qt.IsFalse, qt.Commentf("nodes without links: %d of %d failed, the others %d of %d", failed, tried, p.failed[false], p.tried[false]))
}

// TestDrawnLostPaths plays drawn plans; -path-plans sets their number.
func TestDrawnLostPaths(t *testing.T) {
	plans := *pathPlans
	if testing.Short() {
		plans = min(plans, maxShortPlans)
	}
	for i := range plans {
		seed := *pathPlanSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			withTestFleet(t, func(f *testFleet) {
				f.addModelServer()
				f.startIn("10.0.0.3", "z2")
				f.startIn("10.0.0.4", "z2")
				f.startIn("10.0.0.5", "z3")
				time.Sleep(startTime)
				f.parts = "shared:20,own*:5"
				p := &pathPlan{testFleet: f, random: rand.New(rand.NewPCG(seed, 0)), tried: make(map[bool]int), failed: make(map[bool]int)}
				for range f.nodes {
					p.cut = append(p.cut, make(map[string]bool))
				}
				p.cutAllSince = make([]time.Time, len(f.nodes))
				var running sync.WaitGroup
				for number := range int(planTime / planStep) {
					if number%30 == 0 {
						p.mu.Lock()
						p.step()
						p.mu.Unlock()
					}
					node := p.random.IntN(len(p.nodes))
					since := p.cutAllSince[node]
					running.Go(func() { p.send(number, node, since) })
					time.Sleep(planStep)
				}
				running.Wait()
				p.check()
				if t.Failed() {
					t.Log(strings.Join(p.log, "\n"))
				}
			})
		})
	}
}
