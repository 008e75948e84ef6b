package capacity_test

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/capacity"
	"github.com/monsoonrail/monsoonrail/internal/dev"
	"github.com/monsoonrail/monsoonrail/internal/fake/memnet"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/play"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	portPeer   = 8081
	portServer = 8000
	portKV     = 2379
	portRating = 2381
)

// systemOptions describe a system of whole nodes, without callers.
type systemOptions struct {
	nodes, domains, services, engines int
	// regions is over how many the failure domains are spread; 0 means one.
	regions int
	// teams is how many teams there are; 0 means one, which is named "any".
	teams int
	// changes is how many changes of the configuration are accepted in a day.
	changes int
}

// idle is what control costs a system in a second.
type idle struct {
	// bytes are those of one node by the port of the other side, both directions.
	bytes map[int]float64
	// parts are the bytes of one node's exchange by what they carry, under the names of internal/peer's meters.
	parts map[string]float64
	// total is the bytes of one node over all ports.
	total float64
	// core is the part of a core of one node, stand-ins included.
	core float64
	// heap is the memory of one node in bytes, stand-ins included.
	heap float64
	// reads, writes, leases and watches are calls to the service.
	reads, writes, leases, watches float64
	openWatches                    float64
	// slowest is the longest time in seconds until a change was in force on all nodes.
	slowest float64
}

// measureIdle runs whole nodes in virtual time and counts.
func measureIdle(t *testing.T, opts systemOptions) idle {
	var seen idle
	synctest.Test(t, func(t *testing.T) {
		before := heap()
		system, network := startSystem(t, opts)
		defer system.Close()
		time.Sleep(warmUp())
		calls, bytes, used := system.KV.Counts(), network.counts(), processorTime(t)
		parts := partsOf(system)
		began := time.Now()
		if opts.changes > 0 {
			seen.slowest = operate(t, system, opts.changes)
		} else {
			time.Sleep(lasting())
		}
		nodes, seconds := float64(opts.nodes), time.Since(began).Seconds()
		seen.core = (processorTime(t) - used).Seconds() / seconds / nodes
		seen.heap = (heap() - before) / nodes
		seen.bytes = make(map[int]float64)
		for port, count := range network.counts() {
			seen.bytes[port] = float64(count-bytes[port]) / seconds / nodes
			seen.total += seen.bytes[port]
		}
		seen.parts = make(map[string]float64)
		for name, count := range partsOf(system) {
			// The meters count at the node that calls; the bytes are control of both.
			seen.parts[name] = 2 * float64(count-parts[name]) / seconds / nodes
		}
		now := system.KV.Counts()
		seen.reads = float64(now.Reads-calls.Reads) / seconds
		seen.writes = float64(now.Writes-calls.Writes) / seconds
		seen.leases = float64(now.Leases-calls.Leases) / seconds
		seen.watches = float64(now.Watches-calls.Watches) / seconds
		seen.openWatches = float64(now.OpenWatches)
	})
	return seen
}

// startSystem starts whole nodes and their stand-ins on a network that counts.
func startSystem(t *testing.T, opts systemOptions) (*dev.System, *countedNetwork) {
	network := &countedNetwork{Network: memnet.New(), bytes: make(map[int]*atomic.Int64)}
	system, err := dev.Start(context.Background(), dev.Options{
		Config: configOf(opts), Networks: network.host, Prefix: "10.0", Nodes: opts.nodes, Engines: opts.engines, PlainServers: 1, Seed: 1,
	})
	qt.Assert(t, err, qt.IsNil)
	return system, network
}

// configOf returns a configuration with engine services of one version each.
func configOf(opts systemOptions) *fleet.Config {
	config := &fleet.Config{
		Fleet:    "capacity",
		Defaults: fleet.Policy{Allowed: []string{"*"}, Services: []string{"*"}, QualityTarget: 0.5, Deadline: time.Hour, KeepAnswers: time.Second},
	}
	config.Teams = []fleet.Team{{Name: "any", KeyHashes: []string{play.HashOfKey("any")}, Weight: 1, Service: "service-0"}}
	for i := range opts.teams {
		name := teamName(i)
		config.Teams = append(config.Teams, fleet.Team{Name: name, KeyHashes: []string{play.HashOfKey(name)}, Weight: 1, Service: "service-0"})
	}
	for i := range opts.domains {
		domain := fleet.FailureDomain{Name: api.FailureDomain(fmt.Sprint("domain-", i)), Region: regionOf(i, opts.regions)}
		config.FailureDomains = append(config.FailureDomains, domain)
	}
	for i := range opts.services {
		version := fleet.Version{Name: "1", State: fleet.StateServing, PromptCost: 1, AnswerCost: 1, PriorQuality: 0.9}
		config.Services = append(config.Services, fleet.Service{
			Name: api.Service(fmt.Sprint("service-", i)), Kind: fleet.KindEngine, Classes: []api.Class{"any"},
			Models: []fleet.Model{{Name: fmt.Sprint("model-", i), Versions: []fleet.Version{version}}},
		})
	}
	return config
}

func teamName(i int) api.Team { return api.Team(fmt.Sprint("team-", i)) }

func regionOf(domain, regions int) api.Region {
	return api.Region(fmt.Sprint("region-", domain%max(regions, 1)))
}

// countedNetwork counts the bytes of each port. Peers' bytes are counted at both ends, others at the node.
type countedNetwork struct {
	*memnet.Network
	mu    sync.Mutex
	bytes map[int]*atomic.Int64
}

func (n *countedNetwork) host(ip string) tcp.Network { return countedHost{n.Host(ip), n} }

func (n *countedNetwork) counter(address string) *atomic.Int64 {
	_, text, _ := net.SplitHostPort(address)
	port, _ := strconv.Atoi(text)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.bytes[port] == nil {
		n.bytes[port] = new(atomic.Int64)
	}
	return n.bytes[port]
}

func (n *countedNetwork) counts() map[int]int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	counts := make(map[int]int64)
	for port, bytes := range n.bytes {
		counts[port] = bytes.Load()
		if port == portPeer {
			// The bytes of a connection between two nodes are control of both.
			counts[port] *= 2
		}
	}
	return counts
}

type countedHost struct {
	*memnet.Host
	network *countedNetwork
}

func (h countedHost) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := h.Host.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return countedConn{conn, h.network.counter(address)}, nil
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// series takes one quantity of the measurement at each of xs.
func series(s capacity.Series, xs []int, y func(i int) float64) capacity.Series {
	for i, x := range xs {
		s.Points = append(s.Points, capacity.Point{X: float64(x), Y: y(i)})
	}
	return s
}
