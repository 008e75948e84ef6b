package capacity_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/capacity"
	"github.com/monsoonrail/monsoonrail/internal/dev"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
)

const (
	// teamsOfUse is how many teams call, as at today's deployments.
	teamsOfUse = 10
	// callerIP is where the callers are.
	callerIP = "10.0.9.1"
	// askEvery is the time between two requests to a node; what the nodes tell of their use depends on who calls, not how often.
	askEvery = time.Second
)

// measureUsed runs whole nodes that callers of several teams use while a number of changes is accepted in a day, and returns the bytes
// a second of one node by what they carry.
func measureUsed(t *testing.T, nodes, domains, changes int) idle {
	seen := idle{parts: make(map[string]float64)}
	synctest.Test(t, func(t *testing.T) {
		system, network := startSystem(t, systemOptions{nodes: nodes, domains: domains, services: 1, engines: 4, teams: teamsOfUse})
		defer system.Close()
		stop, asking := make(chan struct{}), sync.WaitGroup{}
		transport := tcp.NewTransport(network.host(callerIP))
		callers := &path{t: t, client: &http.Client{Transport: transport}}
		for i := range nodes {
			asking.Go(func() { callers.askOften(system, i, stop) })
		}
		time.Sleep(meeting)
		parts, began := partsOf(system), time.Now()
		if changes > 0 {
			operate(t, system, changes)
		} else {
			time.Sleep(lasting())
		}
		seconds := time.Since(began).Seconds()
		for name, count := range partsOf(system) {
			seen.parts[name] = 2 * float64(count-parts[name]) / seconds / float64(nodes)
		}
		close(stop)
		asking.Wait()
		transport.CloseIdleConnections()
	})
	return seen
}

// askOften asks a node for short answers, one team after the other.
func (p *path) askOften(system *dev.System, node int, stop chan struct{}) {
	ticker := time.NewTicker(askEvery)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
			body := `{"model":"model-0@1","stream":true,"messages":[{"role":"user","content":"tokens=5"}]}`
			p.ask(system.NodeURL(node), fmt.Sprintf("request-%d-%d", node, i), teamName(i%teamsOfUse), body)
		}
	}
}

// TestMeasureUsed tells apart what the exchange of used nodes carries, and what it comes to with changes.
func TestMeasureUsed(t *testing.T) {
	nodes := sizes(4, 8, 16, 32, 59)
	still, changing := make([]idle, len(nodes)), make([]idle, len(nodes))
	for i, n := range nodes {
		still[i], changing[i] = measureUsed(t, n, 1, 0), measureUsed(t, n, 1, capacity.ChangesPerDay)
	}
	over := fmt.Sprintf("nodes of one failure domain, used by %d teams", teamsOfUse)
	all := partSeries(nodes, still, over, capacity.ControlBytes)
	whole := partSeries(nodes, changing, over+", 20,000 changes a day", capacity.ControlBytes)[0]
	finish(t, "exchange-used", "TestMeasureUsed", append(all, whole))
}

// TestMeasureUsedDomains tells apart what the exchange of used nodes carries in several failure domains.
func TestMeasureUsedDomains(t *testing.T) {
	const nodesOfDomain = 4
	domains := sizes(1, 2, 5, 10)
	seen := make([]idle, len(domains))
	for i, n := range domains {
		seen[i] = measureUsed(t, nodesOfDomain*n, n, 0)
	}
	all := partSeries(domains, seen, fmt.Sprintf("failure domains of %d nodes, used by %d teams", nodesOfDomain, teamsOfUse), capacity.ControlBytes)
	for i := range all {
		all[i].Target = capacity.FailureDomains
	}
	finish(t, "exchange-used-domains", "TestMeasureUsedDomains", all)
}
