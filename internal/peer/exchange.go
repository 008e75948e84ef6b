// Package peer is the exchange between the system's own nodes. Each node talks to a few random others a second, mostly
// of its own failure domain, and pushes urgent news at once; nothing is sent to all. It carries membership, the
// configuration's revisions, and what other packages share by Topic.
package peer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/monsoonrail/monsoonrail/internal/peer/peerpb"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// Protocol is what this release speaks, MinProtocol the oldest that it understands. Protocol 2 tells revisions with
	// heartbeats, protocol 3 takes what it is told directly (see Tell) and payloads without the words of their topic
	// (internal/share).
	Protocol    = 3
	MinProtocol = 1
	// DirectSendProtocol is the least protocol of a peer that takes what it is told directly.
	DirectSendProtocol = 3

	// tick is the mean time between two exchanges that a node begins.
	tick = time.Second
	// beatEvery is the number of ticks between two heartbeats.
	beatEvery = 2
	// callTimeout bounds one call to a peer.
	callTimeout = time.Second
	// firstAvoid and maxAvoid bound how long a peer that did not answer is left alone.
	firstAvoid = 3 * time.Second
	maxAvoid   = 2 * time.Minute
	// metFor is how long a seed that answered is not called as a seed again.
	metFor = 2 * time.Minute
	// linkTTL is how long the state of an unused link is kept.
	linkTTL = 5 * time.Minute
	// callers is the number of calls under way at once.
	callers = 8
	// queuedCalls bounds the calls that wait; a call too many is dropped, since a later exchange carries its content.
	queuedCalls = 64
)

// Seed is a node that the settings or the VM list name.
type Seed struct {
	// PeerAddress is "host:port" of the peer exchange.
	PeerAddress   string
	FailureDomain api.FailureDomain
}

// Options are the settings of an exchange.
type Options struct {
	// Self describes this node; Node, Incarnation, Started, Address, PeerAddress, FailureDomain and Region are set.
	Self Member
	Keys Keys
	// Seeds returns the nodes to begin with and to fall back to.
	Seeds func() []Seed
	// Network opens the connections.
	Network tcp.Network
	// Config is served to peers; nil serves none.
	Config  ConfigSource
	Log     log.Interface
	Metrics metrics.Registry
	Rand    *rand.Rand
	// Protocol and MinProtocol are those of the package where they are 0.
	Protocol    uint32
	MinProtocol uint32
}

// Exchange is a node's part of the peer exchange.
type Exchange struct {
	opts      Options
	log       log.Interface
	meters    *meters
	client    *http.Client
	transport *http.Transport
	topics    map[string]Topic
	// calls carries the calls to make; see queuedCalls for its overflow.
	calls chan call
	// urgentSignal has room for one signal; further ones mean the same.
	urgentSignal chan struct{}

	mu    sync.Mutex
	table *table
	links map[api.Incarnation]*link
	avoid map[string]avoidance
	// met is when each seed last answered.
	met    map[string]time.Time
	urgent map[string]map[api.Incarnation]bool
	load   float64
	// sent counts all bundles, so that a number stands for one of them only.
	sent uint64
	rand *rand.Rand
}

// New returns an exchange that has not begun to talk.
func New(opts Options) (*Exchange, error) {
	if len(opts.Keys) == 0 {
		return nil, Error.Wrap(&ErrNoKeys{})
	}
	if opts.Protocol == 0 {
		opts.Protocol = Protocol
	}
	if opts.MinProtocol == 0 {
		opts.MinProtocol = MinProtocol
	}
	meters := newMeters(opts.Metrics)
	transport := tcp.NewTransport(meteredNetwork{Network: opts.Network, bytes: meters.wire})
	return &Exchange{
		opts:         opts,
		log:          opts.Log,
		meters:       meters,
		client:       &http.Client{Transport: &signer{keys: opts.Keys, next: transport, unread: unreadExchangeHeaders}},
		transport:    transport,
		topics:       make(map[string]Topic),
		calls:        make(chan call, queuedCalls),
		urgentSignal: make(chan struct{}, 1),
		table:        newTable(recordOf(opts.Self), time.Now()),
		links:        make(map[api.Incarnation]*link),
		avoid:        make(map[string]avoidance),
		met:          make(map[string]time.Time),
		urgent:       make(map[string]map[api.Incarnation]bool),
		rand:         opts.Rand,
	}, nil
}

func recordOf(m Member) *peerpb.Member {
	return &peerpb.Member{
		Node: string(m.Node), Incarnation: string(m.Incarnation), Started: m.Started.UnixMilli(),
		Address: m.Address, PeerAddress: m.PeerAddress,
		FailureDomain: string(m.FailureDomain), Region: string(m.Region), Draining: m.Draining,
	}
}

// Register adds a topic; it must not be called once Run has begun.
func (e *Exchange) Register(topic Topic) {
	e.topics[topic.Name()] = topic
	metrics.GetOrRegisterCounter(metricTopic+topic.Name(), e.opts.Metrics)
}

// Notify has the news of a topic pushed to a few peers at once. It does not block.
func (e *Exchange) Notify(topic string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.notify(topic, "")
}

// notify is Notify for callers that hold the lock; a peer that told the news is not told it again.
func (e *Exchange) notify(topic string, from api.Incarnation) {
	tellers, ok := e.urgent[topic]
	if !ok {
		tellers = make(map[api.Incarnation]bool)
		e.urgent[topic] = tellers
	}
	tellers[from] = true
	select {
	case e.urgentSignal <- struct{}{}:
	default:
	}
}

// Members returns the node itself and the members heard of lately: all of the own failure domain, and a few of each
// other. They are ordered by node.
func (e *Exchange) Members() []Member {
	own := e.revision()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.self.record.Revision = own
	members := e.table.live(time.Now())
	for i, member := range members {
		if known, ok := e.links[member.Incarnation]; ok {
			members[i].Revision = max(member.Revision, known.revision)
			members[i].Protocol = known.protocol
		}
	}
	return members
}

// SetLoad tells the used part of the node's capacity to others.
func (e *Exchange) SetLoad(load float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.load = load
}

// SetDraining tells others at once that the node takes no new callers.
func (e *Exchange) SetDraining(draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.table.setDraining(draining) {
		e.notify(topicMembers, "")
	}
}

// Run talks with peers until ctx ends.
func (e *Exchange) Run(ctx context.Context) error {
	defer e.transport.CloseIdleConnections()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.runTicks(ctx) })
	group.Go(func() error { return e.runUrgent(ctx) })
	for range callers {
		group.Go(func() error { return e.runCalls(ctx) })
	}
	return group.Wait()
}
