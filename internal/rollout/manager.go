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
	// servicesEvery is the time between two looks at which services there are.
	servicesEvery = 5 * time.Second
	// closeTimeout bounds the giving up of a lease.
	closeTimeout = 2 * time.Second
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
	// Weights may be nil: loads then go out a few at a time.
	Weights WeightStore
	// Servers returns the servers of a service, leaving ones too.
	Servers func(service api.Service) []fleet.Server
	// IsCandidate tells whether this node may hold the duty of a service; nil means always. A few candidates a service
	// keep the load on the key-value service low.
	IsCandidate func(service api.Service) bool
	// Client carries orders to engines.
	Client *http.Client
	// LongestPause is the longest credible pause of a holder; 0 means order.DefaultLongestPause.
	LongestPause  time.Duration
	AwaitsRatings bool
	CanCopy       bool
	// Seed spreads the nodes' steps.
	Seed uint64
	Log  log.Interface
}

// Manager is the duty that keeps a holder, with its lease, for each engine service of the configuration.
type Manager struct {
	opts ManagerOptions
	// running holds what ends the holder of each service.
	running map[api.Service]context.CancelFunc
	holders sync.WaitGroup
}

// NewManager returns a manager.
func NewManager(opts ManagerOptions) *Manager {
	return &Manager{opts: opts, running: map[api.Service]context.CancelFunc{}}
}

// Run keeps holders until ctx ends, then gives their leases up and returns.
func (m *Manager) Run(ctx context.Context) error {
	defer m.holders.Wait()
	for {
		m.adjust(ctx)
		if err := sleep.Wait(ctx, servicesEvery); err != nil {
			return err
		}
	}
}

// adjust starts holders of new services and ends those of services that are gone.
func (m *Manager) adjust(ctx context.Context) {
	wanted := map[api.Service]bool{}
	for _, service := range m.opts.Configs.State().Config.Services {
		if service.Kind == fleet.KindEngine {
			wanted[service.Name] = true
		}
	}
	for service, stop := range m.running {
		if !wanted[service] {
			stop()
			delete(m.running, service)
		}
	}
	for service := range wanted {
		if _, ok := m.running[service]; !ok {
			holderCtx, stop := context.WithCancel(ctx)
			m.running[service] = stop
			m.holders.Go(func() { m.hold(holderCtx, service) })
		}
	}
}

// hold takes the duty of a service when it is free and carries its roll-outs on, until ctx ends.
func (m *Manager) hold(ctx context.Context, service api.Service) {
	held := lease.New(lease.Options{
		Store: m.opts.Leases, Service: service, Duty: DutyName, Node: m.opts.Node, Incarnation: m.opts.Incarnation,
		IsCandidate: m.isCandidate(service), Rand: rand.New(rand.NewPCG(m.opts.Seed, uint64(len(service)))), Log: m.opts.Log,
	})
	holder := NewController(ControllerOptions{
		Service: service, Store: m.opts.Store, Lease: held,
		Orders:  order.New(order.Options{Client: m.opts.Client, Lease: held, LongestPause: m.opts.LongestPause}),
		Configs: m.opts.Configs, Acceptor: m.opts.Acceptor, Results: m.opts.Results, Weights: m.opts.Weights,
		Servers:       func() []fleet.Server { return m.opts.Servers(service) },
		AwaitsRatings: m.opts.AwaitsRatings, CanCopy: m.opts.CanCopy, Log: m.opts.Log,
	})
	var duties sync.WaitGroup
	duties.Go(func() { _ = held.Run(ctx) })
	duties.Go(func() { _ = holder.Run(ctx) })
	duties.Wait()
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	if err := held.Close(closing); err != nil && !errors.Is(err, context.Canceled) {
		m.opts.Log.WithField("service", service).WithError(err).Warn("lease of roll-outs not given up; it ends by itself")
	}
}

func (m *Manager) isCandidate(service api.Service) func() bool {
	if m.opts.IsCandidate == nil {
		return nil
	}
	return func() bool { return m.opts.IsCandidate(service) }
}
