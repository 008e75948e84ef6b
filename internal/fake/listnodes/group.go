// Package listnodes runs the parts of nodes that poll the VM list and forward leaving VMs to peers, on an in-memory network.
package listnodes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rcrowley/go-metrics"
	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/internal/fake/memnet"
	"github.com/monsoonrail/monsoonrail/internal/fake/vmlistfake"
	"github.com/monsoonrail/monsoonrail/internal/peer"
	"github.com/monsoonrail/monsoonrail/internal/standalone"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/internal/vmlist"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Error is the class of every error of the package.
var Error = errs.Class("listnodes")

const (
	peerPort = 8081
	listPort = 2380
	// VMListIP is the address of the VM list service.
	VMListIP = "10.9.0.1"
)

// Options describes a group.
type Options struct {
	Network *memnet.Network
	// VMList is the fake VM list that the nodes poll.
	VMList  *vmlistfake.Service
	Nodes   int
	Domains int
	// WithoutExchange disables forwarding of changes of the VM list to peers.
	WithoutExchange bool
	// BytesPerSecond is passed on as vmlist.PollerOptions.BytesPerSecond.
	BytesPerSecond int
}

// Node polls the VM list and exchanges changes with its peers.
type Node struct {
	*vmlist.Poller
	IP      string
	Metrics metrics.Registry
}

// Group is a set of running nodes.
type Group struct {
	opts  Options
	Nodes []*Node
	log   log.Interface
	stop  context.CancelFunc
	// running counts the goroutines of all nodes.
	running sync.WaitGroup
	closers []func()
}

// Start starts a group, which runs until Close.
func Start(opts Options) (*Group, error) {
	ctx, stop := context.WithCancel(context.Background())
	g := &Group{opts: opts, log: &log.Logger{Handler: discard.New()}, stop: stop}
	if err := g.serve(ctx, VMListIP, listPort, opts.VMList); err != nil {
		g.Close()
		return nil, err
	}
	for i := range opts.Nodes {
		if err := g.startNode(ctx, i); err != nil {
			g.Close()
			return nil, err
		}
	}
	return g, nil
}

// Close stops all nodes and waits for them.
func (g *Group) Close() {
	g.stop()
	for _, end := range g.closers {
		end()
	}
	g.running.Wait()
}

func nodeIP(i int) string { return fmt.Sprintf("10.0.%d.%d", i/200, i%200+1) }

func (g *Group) nodeDomain(i int) api.FailureDomain {
	return api.FailureDomain(fmt.Sprint("domain-", i%g.opts.Domains))
}

func (g *Group) seeds() []peer.Seed {
	var seeds []peer.Seed
	for i := range g.opts.Nodes {
		seeds = append(seeds, peer.Seed{PeerAddress: fmt.Sprint(nodeIP(i), ":", peerPort), FailureDomain: g.nodeDomain(i)})
	}
	return seeds
}

func (g *Group) startNode(ctx context.Context, i int) error {
	node := &Node{IP: nodeIP(i), Metrics: metrics.NewRegistry()}
	network := g.opts.Network.Host(node.IP)
	exchange, err := peer.New(peer.Options{
		Self: peer.Member{
			Node: api.NodeID(fmt.Sprint("node-", i)), Incarnation: api.Incarnation(fmt.Sprint("run-", i)), Started: time.Now(),
			Address: node.IP + ":80", PeerAddress: fmt.Sprint(node.IP, ":", peerPort), FailureDomain: g.nodeDomain(i), Region: "region",
		},
		Keys: peer.Keys{[]byte("shared")}, Seeds: g.seeds, Network: network, Log: g.log, Metrics: node.Metrics,
		Rand: rand.New(rand.NewPCG(uint64(i), 1)),
	})
	if err != nil {
		return Error.Wrap(err)
	}
	transport := tcp.NewTransport(network)
	g.closers = append(g.closers, transport.CloseIdleConnections)
	opts := vmlist.PollerOptions{
		Client:         standalone.NewVMList(fmt.Sprintf("http://%s:%d", VMListIP, listPort), &http.Client{Transport: transport}),
		BytesPerSecond: g.opts.BytesPerSecond, Rand: rand.New(rand.NewPCG(uint64(i), 2)), Log: g.log, Metrics: node.Metrics,
	}
	if !g.opts.WithoutExchange {
		opts.OnLeaving = func() { exchange.Notify(vmlist.TopicName) }
	}
	node.Poller = vmlist.NewPoller(opts)
	if !g.opts.WithoutExchange {
		exchange.Register(node.Topic())
	}
	mux := http.NewServeMux()
	mux.Handle(exchange.Handler())
	if err := g.serve(ctx, node.IP, peerPort, mux); err != nil {
		return err
	}
	g.running.Go(func() { _ = exchange.Run(ctx) })
	g.running.Go(func() { _ = node.Run(ctx) })
	g.Nodes = append(g.Nodes, node)
	return nil
}

func (g *Group) serve(ctx context.Context, ip string, port int, handler http.Handler) error {
	listener, err := g.opts.Network.Host(ip).Listen(ctx, fmt.Sprint(ip, ":", port))
	if err != nil {
		return Error.Wrap(err)
	}
	server := &http.Server{Handler: handler, Protocols: tcp.UnencryptedProtocols()}
	g.running.Go(func() { _ = server.Serve(listener) })
	g.closers = append(g.closers, func() { _ = server.Close() })
	return nil
}
