package rollout

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/lease"
	"github.com/monsoonrail/monsoonrail/internal/order"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// DutyName is the name of the duty in leases.
	DutyName = "rollout"
	// servicesInterval is the interval at which the set of services is read from the configuration.
	servicesInterval = 5 * time.Second
	// leaseReleaseTimeout bounds the release of a lease.
	leaseReleaseTimeout = 2 * time.Second
)

// ManagerOptions configures NewManager.
type ManagerOptions struct {
	Node        api.NodeID
	Incarnation api.Incarnation
	Store       *Store
	Leases      lease.Store
	Configs     Configs
	Acceptor    Acceptor
	Results     Results
	// Weights may be nil; at most maxLoadsAtUnknownRate servers of a service then load at once.
	Weights WeightStore
	// Servers returns the servers of a service, including leaving ones.
	Servers func(service api.Service) []fleet.Server
	// IsCandidate reports whether this node may take the lease of a service; nil means always. A few candidate nodes per service keep
	// the load on the key-value service low.
	IsCandidate func(service api.Service) bool
	// Client sends orders to engines.
	Client *http.Client
	// LongestPause is the longest credible pause of a lease holder; 0 means order.DefaultLongestPause.
	LongestPause  time.Duration
	AwaitsRatings bool
	CanCopy       bool
	// Seed seeds the jitter of lease calls; nodes use different seeds.
	Seed uint64
	Log  log.Interface
}

// Manager runs a controller, with its lease, for each engine service of the configuration.
type Manager struct {
	opts ManagerOptions
	// stopControllers holds the function that stops the controller of each service.
	stopControllers map[api.Service]context.CancelFunc
	controllers     sync.WaitGroup
}

// NewManager returns a manager.
func NewManager(opts ManagerOptions) *Manager {
	return &Manager{opts: opts, stopControllers: map[api.Service]context.CancelFunc{}}
}

// Run runs controllers until ctx ends, then releases their leases and returns.
func (m *Manager) Run(ctx context.Context) error {
	defer m.controllers.Wait()
	for {
		m.reconcile(ctx)
		if err := sleep.Wait(ctx, servicesInterval); err != nil {
			return err
		}
	}
}

// reconcile starts controllers for new services and stops those of services that are no longer configured.
func (m *Manager) reconcile(ctx context.Context) {
	wanted := map[api.Service]bool{}
	for _, service := range m.opts.Configs.State().Config.Services {
		if service.Kind == fleet.KindEngine {
			wanted[service.Name] = true
		}
	}
	for service, stop := range m.stopControllers {
		if !wanted[service] {
			stop()
			delete(m.stopControllers, service)
		}
	}
	for service := range wanted {
		if _, ok := m.stopControllers[service]; !ok {
			controllerCtx, stop := context.WithCancel(ctx)
			m.stopControllers[service] = stop
			m.controllers.Go(func() { m.runController(controllerCtx, service) })
		}
	}
}

// runController keeps trying to hold the lease of a service, advances its roll-outs while the lease is held, and releases the lease when
// ctx ends.
func (m *Manager) runController(ctx context.Context, service api.Service) {
	dutyLease := lease.New(lease.Options{
		Store: m.opts.Leases, Service: service, Duty: DutyName, Node: m.opts.Node, Incarnation: m.opts.Incarnation,
		IsCandidate: m.isCandidate(service), Rand: rand.New(rand.NewPCG(m.opts.Seed, uint64(len(service)))), Log: m.opts.Log,
	})
	controller := NewController(ControllerOptions{
		Service: service, Store: m.opts.Store, Lease: dutyLease,
		Orders:  order.New(order.Options{Client: m.opts.Client, Lease: dutyLease, LongestPause: m.opts.LongestPause}),
		Configs: m.opts.Configs, Acceptor: m.opts.Acceptor, Results: m.opts.Results, Weights: m.opts.Weights,
		Servers:       func() []fleet.Server { return m.opts.Servers(service) },
		AwaitsRatings: m.opts.AwaitsRatings, CanCopy: m.opts.CanCopy, Log: m.opts.Log,
	})
	var duties sync.WaitGroup
	duties.Go(func() { _ = dutyLease.Run(ctx) })
	duties.Go(func() { _ = controller.Run(ctx) })
	duties.Wait()
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaseReleaseTimeout)
	defer cancel()
	if err := dutyLease.Close(closing); err != nil && !errors.Is(err, context.Canceled) {
		m.opts.Log.WithField("service", service).WithError(err).Warn("failed to release the roll-out lease; it expires by itself")
	}
}

func (m *Manager) isCandidate(service api.Service) func() bool {
	if m.opts.IsCandidate == nil {
		return nil
	}
	return func() bool { return m.opts.IsCandidate(service) }
}
