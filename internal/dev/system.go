// Package dev runs a whole system in one process: nodes in several failure domains and fakes of every service that they depend on.
package dev

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/internal/acceptance"
	"github.com/monsoonrail/monsoonrail/internal/configlog"
	"github.com/monsoonrail/monsoonrail/internal/eventlog"
	"github.com/monsoonrail/monsoonrail/internal/fake/enginefake"
	"github.com/monsoonrail/monsoonrail/internal/fake/kvfake"
	"github.com/monsoonrail/monsoonrail/internal/fake/plainfake"
	"github.com/monsoonrail/monsoonrail/internal/fake/ratingfake"
	"github.com/monsoonrail/monsoonrail/internal/fake/script"
	"github.com/monsoonrail/monsoonrail/internal/fake/vmlistfake"
	"github.com/monsoonrail/monsoonrail/internal/fake/weightfake"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/rating"
	"github.com/monsoonrail/monsoonrail/internal/router"
	"github.com/monsoonrail/monsoonrail/internal/setting"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/internal/weightstore"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Error is the class of every error of the package.
var Error = errs.Class("dev")

const (
	// callerPort and peerPort are the ports of every node for callers and for peers.
	callerPort = 8080
	peerPort   = 8081
	// serverPort is the port of every backend server.
	serverPort = 8000
	// kvPort is the port of the key-value service.
	kvPort = 2379
	// firstAutoPrefix is the lowest second octet of the addresses that are tried if Options.autoPrefix is set, maxAutoPrefixes the number
	// of octets to try.
	firstAutoPrefix = 200
	maxAutoPrefixes = 50
	// ratingPort is the port of the rating service and weightPort the port of the weight store.
	ratingPort = 2381
	weightPort = 2382
	// weightBytes is the size of every version's weights, weightRate the weight store's throughput in bytes per second.
	weightBytes = 20 << 30
	weightRate  = 20 << 30
	// vmListPort is the port of the VM list.
	vmListPort = 2380
	// defaultNodes is the number of nodes if Options.Nodes is 0.
	defaultNodes = 3
)

// Networks returns the network as seen by the host with an IP address.
type Networks func(ip string) tcp.Network

// Options describes a system.
type Options struct {
	// Config is the fleet's configuration; its services determine which fake servers run.
	Config *fleet.Config
	// Networks is the system's network; nil means the loopback interface.
	Networks Networks
	// Prefix holds the first two octets of every address; empty means a free prefix on the loopback interface, and "127.1" on other
	// networks.
	Prefix string
	// Nodes is the number of nodes, assigned to the failure domains in turn; 0 means 3.
	Nodes int
	// Engines and PlainServers are the numbers of servers of each engine service and each plain service; 0 means 6 and 2.
	Engines      int
	PlainServers int
	// EngineSpeed is the speed of the slowest engine in tokens per second; the fastest is 2.5 times as fast. 0 means 80.
	EngineSpeed float64
	// EngineSlots is how many requests an engine runs concurrently; 0 means 16.
	EngineSlots int
	// HasVersion reports whether the engine with an index has loaded a version; nil means that each engine has all versions of its service.
	HasVersion func(engine int, version api.VersionID) bool
	// Seed seeds every random choice.
	Seed uint64
	// LogOutput receives the nodes' logs; nil discards them.
	LogOutput io.Writer
	Log       setting.Log
	// Resources are those of all nodes together; 0 means no limit.
	Resources setting.Resources
	// Runner runs the nodes; nil runs them in this process.
	Runner NodeRunner
	// AdvertisedAddress returns the address at which others reach a host, given its listen address, for hosts behind a relay; nil means
	// that the two are the same.
	AdvertisedAddress func(address string) string
	// Alter changes the router options of every node, for tests that violate a guarantee on purpose; nil changes nothing.
	Alter func(*router.Options)
	// DrainTimeout is how long a draining node waits for its requests to finish; 0 means a minute.
	DrainTimeout time.Duration
	// AddressKeep is how long nodes allow callers to cache addresses; 0 means 2 s.
	AddressKeep time.Duration

	// autoPrefix makes startPlatform set Prefix to the first free one.
	autoPrefix bool
}

// NodeRunner runs each node in a process of its own. KillNode and DrainNode return once the node has stopped.
type NodeRunner interface {
	StartNode(ctx context.Context, i int, settings setting.Settings) error
	KillNode(i int)
	DrainNode(i int)
}

// System is a running system; Close stops it.
type System struct {
	opts Options
	log  log.Interface
	// logHandler writes the log; nil if it is discarded.
	logHandler *eventlog.Handler
	cancel     context.CancelFunc
	ctx        context.Context
	running    sync.WaitGroup

	// KV is the fake key-value service.
	KV *kvfake.Service
	// VMs is the fake VM list.
	VMs *vmlistfake.Service
	// Ratings and Weights are the fake rating service and the fake weight store.
	Ratings *ratingfake.Service
	Weights *weightfake.Service

	mu sync.Mutex
	// nodes, engines and plains are in the order of the indexes that callers use.
	nodes   []*nodeSlot
	engines []*serverSlot[*enginefake.Engine]
	plains  []*serverSlot[*plainfake.Service]
}

// Start starts a system.
func Start(ctx context.Context, opts Options) (*System, error) {
	opts.setDefaults()
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s := &System{
		opts: opts, cancel: cancel, ctx: runCtx, KV: kvfake.New(), VMs: vmlistfake.New(),
		Ratings: ratingfake.New(qualityFromMarker), Weights: weightfake.New(weightstore.Rate{BytesPerSecond: weightRate}),
	}
	s.openLog()
	if err := s.start(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (o *Options) setDefaults() {
	if o.Networks == nil {
		o.Networks = func(string) tcp.Network { return tcp.System{} }
		o.autoPrefix = o.Prefix == ""
	}
	if o.AdvertisedAddress == nil {
		o.AdvertisedAddress = func(address string) string { return address }
	}
	if o.Prefix == "" {
		o.Prefix = "127.1"
	}
	if o.Nodes == 0 {
		o.Nodes = defaultNodes
	}
	if o.Engines == 0 {
		o.Engines = 6
	}
	if o.PlainServers == 0 {
		o.PlainServers = 2
	}
	if o.EngineSpeed == 0 {
		o.EngineSpeed = defaultEngineSpeed
	}
	if o.EngineSlots == 0 {
		o.EngineSlots = defaultEngineSlots
	}
	if o.DrainTimeout == 0 {
		o.DrainTimeout = time.Minute
	}
	if o.AddressKeep == 0 {
		o.AddressKeep = 2 * time.Second
	}
}

func (s *System) openLog() {
	if s.opts.LogOutput == nil {
		s.log = &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
		return
	}
	s.log, s.logHandler = s.opts.Log.Open(s.opts.LogOutput)
}

func (s *System) start(ctx context.Context) error {
	if err := s.startPlatform(ctx); err != nil {
		return err
	}
	if err := s.startServers(ctx); err != nil {
		return err
	}
	s.listVMs()
	if err := s.acceptInitialConfig(ctx); err != nil {
		return err
	}
	for i := range s.opts.Nodes {
		s.nodes = append(s.nodes, &nodeSlot{index: i})
		if err := s.StartNode(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// startPlatform starts to serve the fakes of the platform's services. The first of them to listen determines the prefix of all addresses.
func (s *System) startPlatform(ctx context.Context) error {
	err := s.serve(ctx, s.ip(hostPlatform, 1), kvPort, s.KV)
	for i := 0; s.opts.autoPrefix && errors.Is(err, syscall.EADDRINUSE) && i < maxAutoPrefixes; i++ {
		s.opts.Prefix = fmt.Sprintf("127.%d", firstAutoPrefix+(os.Getpid()+i)%maxAutoPrefixes)
		err = s.serve(ctx, s.ip(hostPlatform, 1), kvPort, s.KV)
	}
	if err != nil {
		return err
	}
	others := map[int]http.Handler{vmListPort: s.VMs, ratingPort: s.Ratings, weightPort: s.Weights}
	for _, port := range slices.Sorted(maps.Keys(others)) {
		if err := s.serve(ctx, s.ip(hostPlatform, 1), port, others[port]); err != nil {
			return err
		}
	}
	return nil
}

// qualityFromMarker rates an answer by the quality marker that fake engines put into it.
func qualityFromMarker(s rating.Submission) api.Quality {
	quality, _ := script.ParseQuality(s.Answer)
	return quality
}

// hostGroup is the third octet of an address.
type hostGroup int

const (
	hostPlatform hostGroup = iota
	hostNode
	hostEngine
	hostPlain
)

func (s *System) ip(group hostGroup, n int) string {
	return fmt.Sprintf("%s.%d.%d", s.opts.Prefix, group, n)
}

// serve runs a handler on an address until the system is closed.
func (s *System) serve(ctx context.Context, ip string, port int, handler http.Handler) error {
	return s.serveWith(ctx, ip, port, handler, newFakeHost())
}

// serveWith is like serve, but on a given host, which tests can take down and bring up again.
func (s *System) serveWith(ctx context.Context, ip string, port int, handler http.Handler, host *fakeHost) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, ConnState: host.track}
	host.listen = func() (net.Listener, error) {
		listener, err := s.opts.Networks(ip).Listen(context.WithoutCancel(ctx), fmt.Sprintf("%s:%d", ip, port))
		if err == nil {
			s.running.Go(func() { s.serveUntilEnd(server, listener) })
		}
		return listener, err
	}
	return host.up()
}

// relisten makes the host of a restarted fake accept connections again.
func (s *System) relisten(id api.ServerID, host *fakeHost) {
	if err := host.up(); err != nil {
		s.log.WithField("server", string(id)).WithError(err).Error("fake server can't listen")
	}
}

func (s *System) serveUntilEnd(server *http.Server, listener net.Listener) {
	stop := context.AfterFunc(s.ctx, func() { _ = server.Close() })
	defer stop()
	_ = server.Serve(listener)
}

// domain returns the failure domain of the nth VM; the domains are assigned in turn.
func (s *System) domain(n int) api.FailureDomain {
	domains := s.opts.Config.FailureDomains
	if len(domains) == 0 {
		return "only"
	}
	return domains[n%len(domains)].Name
}

// region returns the region of the nth VM.
func (s *System) region(n int) string {
	domains := s.opts.Config.FailureDomains
	if len(domains) == 0 {
		return ""
	}
	return string(domains[n%len(domains)].Region)
}

// acceptInitialConfig stores the configuration in the key-value service as the first accepted change.
func (s *System) acceptInitialConfig(ctx context.Context) error {
	changes := configlog.New(s.KV.Store(), configlog.DefaultPrefix)
	_, err := acceptance.New(changes, nil, s.log).Accept(ctx, fleet.Change{
		ID: "first", Author: "dev", Reason: "configuration at the start", Ops: fleet.NewState().Ops(s.opts.Config),
	})
	return Error.Wrap(err)
}

// Close stops every node at once and every fake, and waits for them.
func (s *System) Close() {
	s.mu.Lock()
	nodes := s.nodes
	s.mu.Unlock()
	for _, slot := range nodes {
		slot.kill()
	}
	s.mu.Lock()
	for _, slot := range s.engines {
		slot.server.Close()
	}
	for _, slot := range s.plains {
		slot.server.Close()
	}
	s.mu.Unlock()
	s.cancel()
	s.running.Wait()
	if s.logHandler != nil {
		s.logHandler.Close()
	}
}
