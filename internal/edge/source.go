package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/mirror"
	"github.com/monsoonrail/monsoonrail/internal/nodelist"
	"github.com/monsoonrail/monsoonrail/internal/relay"
	"github.com/monsoonrail/monsoonrail/internal/rendezvous"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// nodesPerWatcher is how many nodes of a failure domain follow the store through one that watches it.
	nodesPerWatcher = 32
	// maxRelayAge is the age over which what another node hands on is too old: its own way to the store is broken.
	maxRelayAge = 2500 * time.Millisecond
	// farWays is how many nodes of other failure domains a node tries: some may be cut from the store as well.
	farWays = 3
	// otherWayTime is how long a node keeps to another way to the store after the usual one failed.
	otherWayTime = 5 * time.Second
)

// sources chooses the way by which a node follows the store: directly on a few nodes of each failure domain, through one of these on
// the others, and any other way where that fails. Its methods are called by the mirror alone, one at a time.
type sources struct {
	self   api.NodeID
	domain api.FailureDomain
	store  mirror.Store
	client *http.Client
	nodes  func() []nodelist.Node

	// failed counts the ways that failed since usualAgain was set; ways are tried in turn.
	failed int
	// isUntried tells that the next way has not answered yet.
	isUntried bool
	// usualAgain is when the usual way is tried again.
	usualAgain time.Time
}

// next returns the way to try next.
func (s *sources) next() mirror.Store {
	if s.failed > 0 && time.Now().After(s.usualAgain) {
		s.failed = 0
	}
	ways := s.ways()
	return &way{Store: ways[s.failed%len(ways)], sources: s}
}

// ways returns the ways in the order in which they are tried.
func (s *sources) ways() []mirror.Store {
	var own, others []nodelist.Node
	for _, node := range s.nodes() {
		switch {
		case node.Peers == "":
		case node.FailureDomain == s.domain:
			own = append(own, node)
		default:
			others = append(others, node)
		}
	}
	ranked := rendezvous.Rank(string(s.domain), own, func(n nodelist.Node) string { return string(n.ID) })
	watchers := ranked[:min(len(ranked), 1+len(ranked)/nodesPerWatcher)]
	var ways []mirror.Store
	isWatcher := len(watchers) == 0
	for _, node := range watchers {
		if node.ID == s.self {
			isWatcher = true
		}
	}
	if !isWatcher {
		// The nodes of a domain spread over its watchers.
		first, _ := rendezvous.First(string(s.self), ids(watchers))
		for _, node := range watchers {
			if node.ID == first {
				ways = append(ways, s.through(node))
			}
		}
	}
	ways = append(ways, s.store)
	far := rendezvous.Rank(string(s.self), others, func(n nodelist.Node) string { return string(n.ID) })
	for _, node := range far[:min(len(far), farWays)] {
		ways = append(ways, s.through(node))
	}
	return ways
}

func ids(nodes []nodelist.Node) []api.NodeID {
	all := make([]api.NodeID, len(nodes))
	for i, node := range nodes {
		all[i] = node.ID
	}
	return all
}

func (s *sources) through(node nodelist.Node) mirror.Store {
	return &relay.Client{Address: node.Peers, Client: s.client}
}

// way is one way to the store; it notes whether it works.
type way struct {
	mirror.Store
	sources *sources
}

// List implements mirror.Store.
func (w *way) List(ctx context.Context, prefix string) (kv.ListResult, error) {
	listed, err := w.Store.List(ctx, prefix)
	w.note(ctx, listed.Age, err)
	return listed, err
}

// Poll implements mirror.Store.
func (w *way) Poll(ctx context.Context, prefix string, after kv.Version, wait time.Duration) (kv.WatchBatch, error) {
	if w.sources.isUntried {
		// A way that doesn't work shows at once if its answer isn't to wait for changes.
		wait = 0
	}
	batch, err := w.Store.Poll(ctx, prefix, after, wait)
	w.note(ctx, batch.Age, err)
	return batch, err
}

func (w *way) note(ctx context.Context, age time.Duration, err error) {
	if ctx.Err() != nil || kv.IsErrCompacted(err) || err == nil && age < maxRelayAge {
		w.sources.isUntried = false
		return
	}
	w.sources.isUntried = true
	if w.sources.failed == 0 {
		w.sources.usualAgain = time.Now().Add(otherWayTime)
	}
	w.sources.failed++
}
