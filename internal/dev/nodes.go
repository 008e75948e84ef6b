package dev

import (
	"context"
	"crypto/sha256"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonrail/monsoonrail/internal/node"
	"github.com/monsoonrail/monsoonrail/internal/setting"
	"github.com/monsoonrail/monsoonrail/internal/standalone"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Secrets shared by all development systems; nothing outside of such a system trusts them.
const (
	sessionSecret = "dev-session-secret"
	issueSecret   = "dev-issue-secret-0"
)

// PeerSecret is the secret that the nodes share.
const PeerSecret = "dev-peer-secret-0"

// OperatorKey is the API key of the operator "dev", who has all permissions.
const OperatorKey = "dev-operator"

func operatorKey() string {
	return fmt.Sprintf("dev:operate:%x", sha256.Sum256([]byte(OperatorKey)))
}

// nodeSlot holds the current incarnation of the node with an index.
type nodeSlot struct {
	index int

	mu sync.Mutex
	// starts counts the incarnations of the node.
	starts int
	node   *node.Node
	// drain begins the graceful shutdown; done is closed once the node has stopped.
	drain context.CancelFunc
	done  chan struct{}
}

// nextIncarnation returns the node's next incarnation, which is deterministic for a seed.
func (s *nodeSlot) nextIncarnation(seed uint64) api.Incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts++
	digest := xxhash.Sum64String(fmt.Sprintf("%d/%d/%d", seed, s.index, s.starts))
	return api.Incarnation(fmt.Sprintf("%016x", digest))
}

// kill stops the node at once, as a crash of its process would.
func (s *nodeSlot) kill() {
	s.mu.Lock()
	running, drain, done := s.node, s.drain, s.done
	s.node = nil
	s.mu.Unlock()
	if running == nil {
		return
	}
	running.Close()
	drain()
	<-done
}

// StartNode starts a new incarnation of the node with index i; the previous one must have stopped.
func (s *System) StartNode(ctx context.Context, i int) error {
	s.mu.Lock()
	slot := s.nodes[i]
	s.mu.Unlock()
	settings := s.nodeSettings(i)
	if s.opts.Runner != nil {
		return Error.Wrap(s.opts.Runner.StartNode(ctx, i, settings))
	}
	network := s.opts.Networks(s.ip(hostNode, i+1))
	clients := standalone.New(standalone.Options{
		Settings: settings.Platform, Network: network, Log: s.log.WithField("node", settings.Node.ID),
	})
	started, err := node.New(ctx, node.Options{
		Settings:     settings,
		Platform:     clients.Platform,
		Network:      network,
		Log:          s.log,
		Incarnation:  slot.nextIncarnation(s.opts.Seed),
		AdjustRouter: s.opts.Alter,
		Seed:         s.opts.Seed + uint64(i) + 1,
	})
	if err != nil {
		clients.Close()
		return Error.Wrap(err)
	}
	runCtx, drain := context.WithCancel(s.ctx)
	done := make(chan struct{})
	slot.mu.Lock()
	slot.node, slot.drain, slot.done = started, drain, done
	slot.mu.Unlock()
	s.running.Go(func() {
		defer close(done)
		defer clients.Close()
		if err := started.Run(runCtx); err != nil {
			s.log.WithError(err).Error("node failed")
		}
	})
	return nil
}

func (s *System) nodeSettings(i int) setting.Settings {
	ip := s.ip(hostNode, i+1)
	platform := fmt.Sprintf("http://%s", s.ip(hostPlatform, 1))
	settings := setting.Settings{
		Node: setting.Node{
			ID:            fmt.Sprintf("node-%d", i+1),
			FailureDomain: string(s.domain(i)),
			Region:        s.region(i),
			Listen:        fmt.Sprintf("%s:%d", ip, callerPort),
			PeerListen:    fmt.Sprintf("%s:%d", ip, peerPort),
			AddressKeep:   s.opts.AddressKeep,
			DrainTimeout:  s.opts.DrainTimeout,
		},
		Platform: setting.Platform{
			KV:               []string{fmt.Sprintf("%s:%d", platform, kvPort)},
			KVTimeout:        2 * time.Second,
			VMList:           fmt.Sprintf("%s:%d", platform, vmListPort),
			Rating:           fmt.Sprintf("%s:%d", platform, ratingPort),
			RatingsPerSecond: 20,
			WeightStore:      fmt.Sprintf("%s:%d", platform, weightPort),
			VMListPoll:       time.Second,
			LoadPoll:         time.Second,
			ServerSubset:     40,
		},
		Secrets: setting.Secrets{Session: []string{sessionSecret}, Peer: PeerSecret, Issue: []string{issueSecret}, Operators: []string{operatorKey()}},
		Caller: setting.Caller{
			MaxAnswers: 20_000, MaxAnswerBytes: 4 << 20, MaxKeptBytes: 256 << 20,
			KeepAnswers: 10 * time.Minute, MaxHeaderBytes: 16 << 10,
		},
		Resources: setting.Resources{MemoryBytes: s.opts.Resources.MemoryBytes / int64(s.opts.Nodes), MaxFiles: s.opts.Resources.MaxFiles / s.opts.Nodes},
		Log:       s.opts.Log,
	}
	if settings.Log.Level == "" {
		settings.Log.Level = "error"
	}
	for peer := range s.opts.Nodes {
		if peer != i {
			settings.Node.Seeds = append(settings.Node.Seeds, fmt.Sprintf("%s:%d", s.ip(hostNode, peer+1), peerPort))
		}
	}
	return settings
}

// NodeCount returns the configured number of nodes, running or not.
func (s *System) NodeCount() int { return s.opts.Nodes }

// Node returns the running node with index i; nil if it was killed or drained.
func (s *System) Node(i int) *node.Node {
	s.mu.Lock()
	slot := s.nodes[i]
	s.mu.Unlock()
	slot.mu.Lock()
	defer slot.mu.Unlock()
	return slot.node
}

// NodeURL returns the base URL of the node with index i.
func (s *System) NodeURL(i int) string {
	return "http://" + s.opts.AdvertisedAddress(fmt.Sprintf("%s:%d", s.ip(hostNode, i+1), callerPort))
}

// KillNode stops a node at once.
func (s *System) KillNode(i int) {
	if s.opts.Runner != nil {
		s.opts.Runner.KillNode(i)
		return
	}
	s.mu.Lock()
	slot := s.nodes[i]
	s.mu.Unlock()
	slot.kill()
}

// DrainNode stops a node gracefully and waits until it has stopped.
func (s *System) DrainNode(i int) {
	if s.opts.Runner != nil {
		s.opts.Runner.DrainNode(i)
		return
	}
	s.mu.Lock()
	slot := s.nodes[i]
	s.mu.Unlock()
	slot.mu.Lock()
	running, drain, done := slot.node, slot.drain, slot.done
	slot.mu.Unlock()
	if running == nil {
		return
	}
	drain()
	<-done
	slot.mu.Lock()
	slot.node = nil
	slot.mu.Unlock()
}
