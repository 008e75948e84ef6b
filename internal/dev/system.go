// Package dev runs a whole system in one process: nodes in several failure domains and stand-ins for all that they speak with.
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
	// callerPort and peerPort are those of every node.
	callerPort = 8080
	peerPort   = 8081
	// serverPort is that of every backend server.
	serverPort = 8000
	// kvPort is that of the key-value service.
	kvPort = 2379
	// firstAnyPrefix is the second number of the first address that Options.anyPrefix tries, anyPrefixes how many it tries.
	firstAnyPrefix = 200
	anyPrefixes    = 50
	// ratingPort is that of the rating service and weightPort that of the weight store.
	ratingPort = 2381
	weightPort = 2382
	// weightBytes is the size of every version, weightRate the weight store's bytes a second.
	weightBytes = 20 << 30
	weightRate  = 20 << 30
	// vmListPort is that of the VM list.
	vmListPort = 2380
	// defaultNodes is how many nodes a system has.
	defaultNodes = 3
)

// Networks yields the network of the host with an IP number.
type Networks func(ip string) tcp.Network

// Options describes a system.
type Options struct {
	// Config is the fleet's configuration; its services decide which stand-ins run.
	Config *fleet.Config
	// Networks is the system's network; nil takes the loopback interface.
	Networks Networks
	// Prefix holds the first two numbers of every address; empty takes a free one on the loopback interface, and "127.1" on other
	// networks.
	Prefix string
	// Nodes is the number of nodes, one failure domain after the other; 0 means 3.
	Nodes int
	// Engines and Plains are the numbers of servers of each engine and each plain service; 0 means 6 and 2.
	Engines      int
	PlainServers int
	// EngineSpeed is that of the slowest engine in tokens a second, the fastest has two and a half times as much; 0 means 80.
	EngineSpeed float64
	// EngineSlots is how many requests an engine works on at once; 0 means 16.
	EngineSlots int
	// HasVersion tells which versions an engine has loaded, by its place; nil has each hold all of its service.
	HasVersion func(engine int, version api.VersionID) bool
	// Seed decides everything random.
	Seed uint64
	// LogOutput receives the nodes' logs; nil discards them.
	LogOutput io.Writer
	Log       setting.Log
	// Runner runs the nodes; nil runs them in this process.
	Runner NodeRunner
	// AdvertisedAddress returns the address at which others reach a host that listens on an address, as behind a relay; nil means the same.
	AdvertisedAddress func(address string) string
	// Alter changes every node's request path, for tests that break a promise on purpose.
	Alter func(*router.Options)
	// DrainTimeout is how long a stopping node waits for its requests; 0 means a minute.
	DrainTimeout time.Duration
	// AddressKeep is how long nodes let callers keep addresses; 0 means 2 s.
	AddressKeep time.Duration

	// anyPrefix tells that Prefix is the first one found to be free.
	anyPrefix bool
}

// NodeRunner runs nodes in processes of their own. KillNode and DrainNode return once the node has ended.
type NodeRunner interface {
	StartNode(ctx context.Context, i int, settings setting.Settings) error
	KillNode(i int)
	DrainNode(i int)
}

// System is a running system; Close ends it.
type System struct {
	opts Options
	log  log.Interface
	// lines writes the nodes' logs; nil if they are discarded.
	lines   *eventlog.Handler
	cancel  context.CancelFunc
	ctx     context.Context
	running sync.WaitGroup

	// KV is the key-value service's stand-in.
	KV *kvfake.Service
	// VMs is the VM list's stand-in.
	VMs *vmlistfake.Service
	// Ratings and Weights are the stand-ins of the rating service and of the weight store.
	Ratings *ratingfake.Service
	Weights *weightfake.Service

	mu sync.Mutex
	// nodes, engines and plains hold the newest incarnation of each, by its place.
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
		Ratings: ratingfake.New(markedQuality), Weights: weightfake.New(weightstore.Rate{BytesPerSecond: weightRate}),
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
		o.anyPrefix = o.Prefix == ""
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
	s.log, s.lines = s.opts.Log.Open(s.opts.LogOutput)
}

func (s *System) start(ctx context.Context) error {
	if err := s.startPlatform(ctx); err != nil {
		return err
	}
	if err := s.startServers(ctx); err != nil {
		return err
	}
	s.listVMs()
	if err := s.acceptFirst(ctx); err != nil {
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

// startPlatform begins to serve the platform's stand-ins. The first of them claims the prefix of all addresses.
func (s *System) startPlatform(ctx context.Context) error {
	err := s.serve(ctx, s.ip(hostPlatform, 1), kvPort, s.KV)
	for i := 0; s.opts.anyPrefix && errors.Is(err, syscall.EADDRINUSE) && i < anyPrefixes; i++ {
		s.opts.Prefix = fmt.Sprintf("127.%d", firstAnyPrefix+(os.Getpid()+i)%anyPrefixes)
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

// markedQuality rates an answer by the mark that stand-in engines put into it.
func markedQuality(s rating.Submission) api.Quality {
	quality, _ := script.ParseQuality(s.Answer)
	return quality
}

// hostGroup is the third number of an address.
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

// serve runs a handler on an address until the system ends.
func (s *System) serve(ctx context.Context, ip string, port int, handler http.Handler) error {
	return s.serveWith(ctx, ip, port, handler, newStandInHost())
}

// serveWith serves a stand-in whose connections can be ended.
func (s *System) serveWith(ctx context.Context, ip string, port int, handler http.Handler, host *standInHost) error {
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

// comeBack lets the host of a stand-in that begins another life take connections again.
func (s *System) comeBack(id api.ServerID, host *standInHost) {
	if err := host.up(); err != nil {
		s.log.WithField("server", string(id)).WithError(err).Error("stand-in can't listen")
	}
}

func (s *System) serveUntilEnd(server *http.Server, listener net.Listener) {
	stop := context.AfterFunc(s.ctx, func() { _ = server.Close() })
	defer stop()
	_ = server.Serve(listener)
}

// domain returns the failure domain of the nth VM, one after the other.
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

// acceptFirst puts the configuration into the key-value service as its first accepted change.
func (s *System) acceptFirst(ctx context.Context) error {
	changes := configlog.New(s.KV.Store(), configlog.DefaultPrefix)
	_, err := acceptance.New(changes, nil, s.log).Accept(ctx, fleet.Change{
		ID: "first", Author: "dev", Reason: "configuration at the start", Ops: fleet.NewState().Ops(s.opts.Config),
	})
	return Error.Wrap(err)
}

// Close ends every node at once and every stand-in, and waits for them.
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
	if s.lines != nil {
		s.lines.Close()
	}
}
