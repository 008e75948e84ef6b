package workshare_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fake/memnet"
	"github.com/monsoonrail/monsoonrail/internal/nodelist"
	"github.com/monsoonrail/monsoonrail/internal/workload"
	"github.com/monsoonrail/monsoonrail/internal/workshare"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// startTime is the time within which nodes have found each other, spreadTime that within which all know of a change, recoveryTime the same after
	// the loss of an aggregator.
	startTime    = 2 * time.Second
	spreadTime   = 300 * time.Millisecond
	recoveryTime = 1500 * time.Millisecond
	// freshness is the age from which on a node's knowledge counts as outdated.
	freshness = time.Second
)

// testServers are the servers as one node sees them.
type testServers struct {
	mu    sync.Mutex
	own   map[workload.Server]workload.Own
	peers map[workload.Server]workload.Peers
}

func (s *testServers) AppendOwnWork(all []workload.Own, _ time.Time) []workload.Own {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, own := range s.own {
		all = append(all, own)
	}
	return all
}

func (s *testServers) HearPeers(server workload.Server, peers workload.Peers) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers[server] = peers
}

func (s *testServers) peersAt(server workload.Server) workload.Peers {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peers[server]
}

// testNode is a node of a testFleet.
type testNode struct {
	node    nodelist.Node
	servers *testServers
	stop    func()
	// received counts the bytes that came from other nodes, remote those among them that came from other failure domains.
	mu               sync.Mutex
	received, remote int
}

func (n *testNode) ip() string { return string(n.node.ID) }

// put sets what the node has under way at a server.
func (n *testNode) put(server workload.Server, load workload.Load) {
	n.servers.mu.Lock()
	defer n.servers.mu.Unlock()
	n.servers.own[server] = workload.Own{Server: server, Load: load}
}

// testFleet are nodes that share their work, in virtual time.
type testFleet struct {
	c       *qt.C
	network *memnet.Network
	nodes   []*testNode
	list    atomic.Pointer[[]nodelist.Node]
	servers []workload.Server
}

// withFleet runs a test with nodes in some failure domains. The first nodes of a failure domain have the most capacity.
func withFleet(t *testing.T, domains, nodesPerDomain, servers int, test func(f *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &testFleet{c: qt.New(t), network: memnet.New()}
		for i := range servers {
			f.servers = append(f.servers, workload.Server{ID: api.ServerID(fmt.Sprintf("server-%d", i)), Start: int64(i)})
		}
		var list []nodelist.Node
		for d := range domains {
			for i := range nodesPerDomain {
				ip := fmt.Sprintf("10.0.%d.%d", d, i+1)
				list = append(list, nodelist.Node{
					ID: api.NodeID(ip), FailureDomain: api.FailureDomain(fmt.Sprintf("d%d", d)), Peers: ip + ":83", CPU: float64(nodesPerDomain - i), SharesWork: true,
				})
			}
		}
		f.list.Store(&list)
		for _, node := range list {
			f.nodes = append(f.nodes, f.start(node))
		}
		time.Sleep(startTime)
		test(f)
		for _, n := range f.nodes {
			n.stop()
		}
		// Servers that don't read see the end of their connections when they write.
		time.Sleep(time.Minute)
	})
}

// start starts a node; one that doesn't share its work answers as an older release does.
func (f *testFleet) start(node nodelist.Node) *testNode {
	n := &testNode{node: node, servers: &testServers{own: make(map[workload.Server]workload.Own), peers: make(map[workload.Server]workload.Peers)}}
	exchange := workshare.New(workshare.Options{
		Self: node.ID, Domain: node.FailureDomain, Network: f.network.Host(n.ip()), Servers: n.servers, Nodes: f.list.Load,
		IsOn: func() bool { return node.SharesWork },
		CountFrame: func(isSent, isRemote bool, bytes int) {
			n.mu.Lock()
			defer n.mu.Unlock()
			if !isSent {
				n.received += bytes
				if isRemote {
					n.remote += bytes
				}
			}
		},
	})
	exchange.SetServers(f.servers)
	mux := http.NewServeMux()
	workshare.Handle(mux, exchange)
	listener, err := f.network.Host(n.ip()).Listen(context.Background(), node.Peers)
	f.c.Assert(err, qt.IsNil)
	web := &http.Server{Handler: mux}
	go func() { _ = web.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = exchange.Run(ctx)
	}()
	n.stop = sync.OnceFunc(func() {
		cancel()
		<-done
		_ = web.Close()
		f.network.Kill(n.ip())
	})
	return n
}

// check checks what a node knows of the others' load at a server, and that it is up to date.
func (f *testFleet) check(node *testNode, server workload.Server, want workload.Load) {
	f.c.Helper()
	peers := node.servers.peersAt(server)
	f.c.Check(peers.Load, qt.Equals, want, qt.Commentf("node %s, server %s", node.ip(), server.ID))
	f.c.Check(time.Since(peers.At) < freshness, qt.IsTrue, qt.Commentf("node %s, server %s, age %s", node.ip(), server.ID, time.Since(peers.At)))
}

// checkAll checks that each of the nodes knows the sum of the others' loads at each server.
func (f *testFleet) checkAll(nodes []*testNode) {
	f.c.Helper()
	for _, server := range f.servers {
		var sum workload.Load
		for _, n := range nodes {
			sum = sum.Add(n.servers.own[server].Load)
		}
		for _, n := range nodes {
			own := n.servers.own[server].Load
			f.check(n, server, workload.Load{Requests: sum.Requests - own.Requests, Unread: sum.Unread - own.Unread})
		}
	}
}

func load(requests int, unread time.Duration) workload.Load {
	return workload.Load{Requests: requests, Unread: workload.Work(unread)}
}

// putSome gives each of the nodes work at some servers.
func (f *testFleet) putSome(nodes []*testNode) {
	for i, n := range nodes {
		for j, server := range f.servers {
			if (i+j)%3 == 0 {
				n.put(server, load(1+i%4, time.Duration(i+10*j)*time.Millisecond))
			}
		}
	}
}

func TestNodesKnowTheOthersLoads(t *testing.T) {
	withFleet(t, 3, 4, 5, func(f *testFleet) {
		f.putSome(f.nodes)
		time.Sleep(2 * spreadTime)
		f.checkAll(f.nodes)
		for _, n := range f.nodes {
			n.put(f.servers[0], workload.Load{})
		}
		time.Sleep(2 * spreadTime)
		f.checkAll(f.nodes)
	})
}

// TestChangeIsKnownSoon begins long work at one server, which must be known in the failure domain and beyond before much more is sent there.
func TestChangeIsKnownSoon(t *testing.T) {
	withFleet(t, 3, 4, 5, func(f *testFleet) {
		f.nodes[3].put(f.servers[1], load(1, time.Second))
		time.Sleep(spreadTime)
		for i, n := range f.nodes {
			if i != 3 {
				f.check(n, f.servers[1], load(1, time.Second))
			}
		}
	})
}

func TestLostAggregator(t *testing.T) {
	for _, lose := range []struct {
		name string
		lose func(f *testFleet, n *testNode)
	}{
		{"killed", func(f *testFleet, n *testNode) {
			f.network.Kill(n.ip())
			n.stop()
		}},
		{"silent", func(f *testFleet, n *testNode) {
			for _, other := range f.nodes {
				if other != n {
					f.network.Blackhole(n.ip(), other.ip())
				}
			}
		}},
	} {
		t.Run(lose.name, func(t *testing.T) {
			withFleet(t, 3, 4, 5, func(f *testFleet) {
				f.putSome(f.nodes)
				time.Sleep(spreadTime)
				lose.lose(f, f.nodes[0])
				time.Sleep(recoveryTime)
				f.putSome(f.nodes[1:])
				f.nodes[5].put(f.servers[2], load(7, 3*time.Second))
				time.Sleep(2 * spreadTime)
				f.checkAll(f.nodes[1:])
			})
		})
	}
}

// TestSilentConnection silences the open connections of a node for good; new ones work.
func TestSilentConnection(t *testing.T) {
	withFleet(t, 2, 4, 5, func(f *testFleet) {
		f.putSome(f.nodes)
		for i := range 2 {
			f.network.Silence(f.nodes[3].ip(), f.nodes[i].ip())
		}
		time.Sleep(2 * recoveryTime)
		f.nodes[3].put(f.servers[2], load(7, 3*time.Second))
		time.Sleep(2 * spreadTime)
		f.checkAll(f.nodes)
	})
}

// TestDeadNodesPartVanishes kills a node that is no aggregator.
func TestDeadNodesPartVanishes(t *testing.T) {
	withFleet(t, 2, 4, 5, func(f *testFleet) {
		f.nodes[3].put(f.servers[0], load(3, time.Second))
		time.Sleep(spreadTime)
		f.check(f.nodes[7], f.servers[0], load(3, time.Second))
		f.network.Kill(f.nodes[3].ip())
		f.nodes[3].stop()
		time.Sleep(recoveryTime + spreadTime)
		f.check(f.nodes[7], f.servers[0], workload.Load{})
	})
}

// TestRestartedNode starts a node again with other work.
func TestRestartedNode(t *testing.T) {
	withFleet(t, 2, 4, 5, func(f *testFleet) {
		f.nodes[3].put(f.servers[0], load(3, time.Second))
		time.Sleep(spreadTime)
		f.network.Kill(f.nodes[3].ip())
		f.nodes[3].stop()
		f.nodes[3] = f.start(f.nodes[3].node)
		f.nodes[3].put(f.servers[1], load(2, time.Second))
		time.Sleep(2 * spreadTime)
		f.checkAll(f.nodes)
	})
}

// TestOlderNodes lets the nodes with the most capacity be of an older release.
func TestOlderNodes(t *testing.T) {
	withFleet(t, 2, 4, 5, func(f *testFleet) {
		older := slices.Clone(*f.list.Load())
		for i := range 2 {
			older[i].SharesWork = false
			f.network.Kill(f.nodes[i].ip())
			f.nodes[i].stop()
			f.nodes[i] = f.start(older[i])
		}
		f.list.Store(&older)
		time.Sleep(startTime)
		f.putSome(f.nodes[2:])
		time.Sleep(2 * spreadTime)
		f.checkAll(f.nodes[2:])
	})
}

// TestUnknownWithoutAggregators cuts a node off, which must not take what it knew for current.
func TestUnknownWithoutAggregators(t *testing.T) {
	withFleet(t, 2, 4, 5, func(f *testFleet) {
		f.putSome(f.nodes)
		time.Sleep(2 * spreadTime)
		f.checkAll(f.nodes)
		for _, other := range f.nodes[:3] {
			f.network.Blackhole(f.nodes[3].ip(), other.ip())
		}
		time.Sleep(2 * freshness)
		peers := f.nodes[3].servers.peersAt(f.servers[0])
		f.c.Check(time.Since(peers.At) >= freshness, qt.IsTrue)
	})
}
