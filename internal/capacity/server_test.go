package capacity_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/balance"
	"github.com/monsoonrail/monsoonrail/internal/capacity"
	"github.com/monsoonrail/monsoonrail/internal/fake/vmlistfake"
	"github.com/monsoonrail/monsoonrail/internal/vmlist"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// listInterval is the mean time in seconds between two reads of a large VM list that changes all the time.
const listInterval = 61.0

// listing is what a list of VMs costs a node.
type listing struct{ packed, heap, decode, subset, subsetSize, lacking, extras float64 }

// measureListing reads a list of servers and takes a node's subset.
func measureListing(t *testing.T, servers int) listing {
	vms := listOf(servers)
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodGet, "/v1/vms", nil)
	request.Header.Set("Accept-Encoding", "gzip")
	vmlistfake.New(vms...).ServeHTTP(recorder, request)
	qt.Assert(t, recorder.Header().Get("Content-Encoding"), qt.Equals, "gzip")
	seen := listing{packed: float64(recorder.Body.Len())}
	encoded, err := json.Marshal(vmlist.List{VMs: vms})
	qt.Assert(t, err, qt.IsNil)
	before := heap()
	var snapshot *vmlist.Snapshot
	seen.decode = timed(t, repeat(10), func() {
		var list vmlist.List
		qt.Assert(t, json.Unmarshal(encoded, &list), qt.IsNil)
		snapshot = vmlist.NewSnapshot(list)
	})
	seen.heap = heap() - before
	opts := balance.SubsetOptions{Node: nodeName(0)}
	for i := range capacity.Nodes {
		opts.Nodes = append(opts.Nodes, nodeName(i))
	}
	for _, server := range snapshot.Servers {
		opts.Servers = append(opts.Servers, server.ID)
	}
	seen.subset = timed(t, repeat(5), func() { seen.subsetSize = float64(len(balance.Subset(opts))) })
	seen.lacking, seen.extras = measurePools(opts, repeat(10))
	runtime.KeepAlive(vms)
	runtime.KeepAlive(encoded)
	return seen
}

// measurePools returns, for some nodes in the mean, of how many versions their subsets hold fewer servers than a node wants, and how
// many servers these lack. The versions are spread evenly over the servers.
func measurePools(opts balance.SubsetOptions, nodes int) (lacking, extras float64) {
	const wanted = 2
	for node := range nodes {
		opts.Node = nodeName(node)
		held := make(map[int]int)
		for _, server := range balance.Subset(opts) {
			held[slices.Index(opts.Servers, server)%capacity.Versions]++
		}
		for version := range capacity.Versions {
			if missing := wanted - held[version]; missing > 0 {
				lacking += 1 / float64(nodes)
				extras += float64(missing) / float64(nodes)
			}
		}
	}
	return lacking, extras
}

func listOf(servers int) []vmlist.VM {
	random := rand.New(rand.NewPCG(3, 4))
	vms := make([]vmlist.VM, servers)
	for i := range vms {
		vms[i] = vmlist.VM{
			ID: fmt.Sprintf("server-%05d", i), Address: fmt.Sprintf("10.%d.%d.%d:8000", random.IntN(256), random.IntN(256), random.IntN(256)),
			FailureDomain: api.FailureDomain(fmt.Sprint("domain-", random.IntN(10))), Role: vmlist.RoleServer, Service: "a-service",
			State: vmlist.StateLive,
		}
	}
	return vms
}

// TestMeasureServers varies the servers of the fleet and those that a node uses.
func TestMeasureServers(t *testing.T) {
	servers, used := sizes(1500, 3000, 6000, 12_000), sizes(2, 4, 8, 16)
	lists, polls := make([]listing, len(servers)), make([]idle, len(used))
	for i, n := range servers {
		lists[i] = measureListing(t, n)
	}
	for i, n := range used {
		polls[i] = measureIdle(t, systemOptions{nodes: 2, domains: 1, services: 1, engines: n})
	}
	subset := float64(max(2, capacity.Nodes*balance.DefaultSubsetSize/capacity.Servers)) * capacity.Servers / capacity.Nodes
	const fleetSize = "servers of the fleet"
	finish(t, "servers", "TestMeasureServers", []capacity.Series{
		series(capacity.Series{Quantity: "VM list, packed", Unit: "KB", Over: fleetSize, Target: capacity.Servers, Mechanism: "ETag, gzip, at most 2 KB/s (internal/vmlist)"},
			servers, func(i int) float64 { return lists[i].packed / 1e3 }),
		series(capacity.Series{Quantity: "time between two readings of the list while it changes all the time", Unit: "s", Over: fleetSize, Target: capacity.Servers, Mechanism: "at most 2 KB/s; leaving servers: see below (internal/vmlist)"},
			servers, func(i int) float64 { return lists[i].packed / 2048 }),
		series(capacity.Series{Quantity: "heap of the list", Unit: "MB", Over: fleetSize, Target: capacity.Servers, Budget: capacity.ControlMemory / 1e6, Mechanism: "one snapshot (internal/vmlist)"},
			servers, func(i int) float64 { return lists[i].heap / 1e6 }),
		series(capacity.Series{Quantity: "decoding and subset, every 61 s", Unit: "of a core", Over: fleetSize, Target: capacity.Servers, Budget: capacity.ControlCore, Mechanism: "rendezvous hashing (internal/balance)"},
			servers, func(i int) float64 { return (lists[i].decode + lists[i].subset) / 1e6 / listInterval }),
		series(capacity.Series{Quantity: "servers that a node uses, one pool", Over: fleetSize, Target: capacity.Servers, Budget: balance.MaxSubsetSize, Mechanism: "each server picks 2 nodes or more (internal/balance)"},
			servers, func(i int) float64 { return lists[i].subsetSize }),
		series(capacity.Series{Quantity: "versions, of 17 over the servers of a service, of which a node's subset holds fewer than two", Over: fleetSize, Target: capacity.Servers, Mechanism: "each server picks 2 nodes or more (internal/balance)"},
			servers, func(i int) float64 { return lists[i].lacking }),
		series(capacity.Series{Quantity: "servers that a node uses with the extra ones that it finds", Over: fleetSize, Target: capacity.Servers, Budget: balance.MaxSubsetSize, Mechanism: "peers are asked for servers of a version (internal/node)"},
			servers, func(i int) float64 { return lists[i].subsetSize + lists[i].extras }),
		series(capacity.Series{Quantity: "load reports of a node, one a second and server", Unit: "B/s", Over: "servers used by the node", Target: subset, Budget: capacity.ControlBytes, Mechanism: "polling of the subset (internal/node)"},
			used, func(i int) float64 { return polls[i].bytes[portServer] }),
		series(capacity.Series{Quantity: "all duties of a node, with its share of the stand-ins", Unit: "of a core", Over: "servers used by the node", Target: subset, Budget: capacity.ControlCore, Mechanism: "polling of the subset (internal/node)"},
			used, func(i int) float64 { return polls[i].core }),
	})
}
