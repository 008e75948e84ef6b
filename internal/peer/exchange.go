// Package peer is the gossip exchange between the nodes. Each node exchanges state with a few random peers a second,
// mostly of its own failure domain, and pushes urgent news at once; nothing is broadcast to all nodes. The exchange
// carries membership, configuration revisions, and the state that other packages share as a Topic.
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
	// Protocol is the highest protocol of this release, MinProtocol the lowest that it accepts. Protocol 2 adds
	// revisions to heartbeats; protocol 3 accepts direct sends (see Send) and payloads compressed with their topic's
	// dictionary (internal/share).
	Protocol    = 3
	MinProtocol = 1
	// DirectSendProtocol is the lowest protocol of peers that accept direct sends (see Send).
	DirectSendProtocol = 3

	// tickInterval is the mean time between two periodic exchanges that a node starts.
	tickInterval = time.Second
	// ticksPerHeartbeat is the number of ticks between two heartbeats.
	ticksPerHeartbeat = 2
	// callTimeout bounds one call to a peer.
	callTimeout = time.Second
	// minBackoff and maxBackoff bound the delay until the next call to a peer that did not answer.
	minBackoff = 3 * time.Second
	maxBackoff = 2 * time.Minute
	// seedCallInterval is the minimum time until a seed that answered is called as a seed again.
	seedCallInterval = 2 * time.Minute
	// linkTTL is how long an unused link is kept.
	linkTTL = 5 * time.Minute
	// callWorkers is the maximum number of concurrent calls.
	callWorkers = 8
	// callQueueSize bounds the queued calls; on overflow a call is dropped, since a later exchange carries its content.
	callQueueSize = 64
)

// Seed is the address of a node from the settings or the VM list.
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
	// Seeds returns the nodes to contact at first, and later those that aren't live members.
	Seeds func() []Seed
	// Network opens the connections.
	Network tcp.Network
	// Config is the configuration served to peers; nil serves none.
	Config ConfigSource
	// Authenticated is called with each request whose signature is valid; nil does nothing.
	Authenticated func(req *http.Request)
	Log           log.Interface
	Metrics       metrics.Registry
	Rand          *rand.Rand
	// Protocol and MinProtocol default to the package's constants of these names if they are 0.
	Protocol    uint32
	MinProtocol uint32
}

// Exchange is the node's endpoint of the peer exchange.
type Exchange struct {
	opts      Options
	log       log.Interface
	meters    *meters
	client    *http.Client
	transport *http.Transport
	topics    map[string]Topic
	// calls queues the calls to make; see callQueueSize for its overflow.
	calls chan call
	// urgentSignal holds at most one signal, since one wakes runUrgent for all pending news.
	urgentSignal chan struct{}

	mu       sync.Mutex
	table    *table
	links    map[api.Incarnation]*link
	backoffs map[string]backoff
	// seedAnswers holds the time at which each seed last answered, by address.
	seedAnswers map[string]time.Time
	urgent      map[string]map[api.Incarnation]bool
	load        float64
	// bundlesSent counts the bundles sent to all peers, so that a bundle's number is unique.
	bundlesSent uint64
	rand        *rand.Rand
}

// New returns an exchange that is not yet running.
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
		client:       &http.Client{Transport: &signer{keys: opts.Keys, next: transport, omittedHeaders: omittedExchangeHeaders}},
		transport:    transport,
		topics:       make(map[string]Topic),
		calls:        make(chan call, callQueueSize),
		urgentSignal: make(chan struct{}, 1),
		table:        newTable(recordOf(opts.Self), time.Now()),
		links:        make(map[api.Incarnation]*link),
		backoffs:     make(map[string]backoff),
		seedAnswers:  make(map[string]time.Time),
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

// Register adds a topic; it must be called before Run.
func (e *Exchange) Register(topic Topic) {
	e.topics[topic.Name()] = topic
	metrics.GetOrRegisterCounter(metricTopic+topic.Name(), e.opts.Metrics)
}

// Notify schedules a push of a topic's news to a few peers. It does not block.
func (e *Exchange) Notify(topic string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.notify(topic, "")
}

// notify is Notify for callers that hold the lock; from, if not empty, is the incarnation that sent the news and needs
// no push.
func (e *Exchange) notify(topic string, from api.Incarnation) {
	informed, ok := e.urgent[topic]
	if !ok {
		informed = make(map[api.Incarnation]bool)
		e.urgent[topic] = informed
	}
	informed[from] = true
	select {
	case e.urgentSignal <- struct{}{}:
	default:
	}
}

// Members returns the node itself and the live members: all of the own failure domain, and a few of each other one.
// They are ordered by node.
func (e *Exchange) Members() []Member {
	ownRevision := e.revision()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.self.record.Revision = ownRevision
	members := e.table.live(time.Now())
	for i, member := range members {
		if peerLink, ok := e.links[member.Incarnation]; ok {
			members[i].Revision = max(member.Revision, peerLink.revision)
			members[i].Protocol = peerLink.protocol
		}
	}
	return members
}

// SetLoad sets the used fraction of the node's capacity, which heartbeats publish.
func (e *Exchange) SetLoad(load float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.load = load
}

// SetDraining publishes at once whether the node is draining, that is, accepts no new callers.
func (e *Exchange) SetDraining(draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.table.setDraining(draining) {
		e.notify(topicMembers, "")
	}
}

// Run exchanges state with peers until ctx ends.
func (e *Exchange) Run(ctx context.Context) error {
	defer e.transport.CloseIdleConnections()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.runPeriodicExchanges(ctx) })
	group.Go(func() error { return e.runUrgent(ctx) })
	for range callWorkers {
		group.Go(func() error { return e.runCalls(ctx) })
	}
	return group.Wait()
}
