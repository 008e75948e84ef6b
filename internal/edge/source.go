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
	// nodesPerWatcher is the number of nodes of a failure domain per node that watches the store directly.
	nodesPerWatcher = 32
	// maxRelayAge is the maximum age of data relayed by a peer; older data means that the peer has lost its connection to the store.
	maxRelayAge = 2500 * time.Millisecond
	// maxRemotePeers is the number of peers in other failure domains that a node tries: some may have lost the store as well.
	maxRemotePeers = 3
	// fallbackPeriod is how long a node uses a fallback path to the store before it retries the preferred one.
	fallbackPeriod = 5 * time.Second
)

// pathSelector chooses the path by which a node reads the store. A few nodes of each failure domain watch the store directly and the others
// read through one of these; if the preferred path fails, the next one is used. Only the mirror calls its methods, one call at a time.
type pathSelector struct {
	self   api.NodeID
	domain api.FailureDomain
	store  mirror.Store
	client *http.Client
	nodes  func() []nodelist.Node

	// failures counts the failed calls since the preferred path was last used; it selects the path, so that paths are tried in turn.
	failures int
	// isUntried is set until the current path has returned a usable answer.
	isUntried bool
	// retryPreferredAt is when the preferred path is tried again.
	retryPreferredAt time.Time
}

// next returns the path to use for the next call.
func (s *pathSelector) next() mirror.Store {
	if s.failures > 0 && time.Now().After(s.retryPreferredAt) {
		s.failures = 0
	}
	paths := s.orderedPaths()
	return &storePath{Store: paths[s.failures%len(paths)], selector: s}
}

// orderedPaths returns the paths to the store in the order in which they are tried.
func (s *pathSelector) orderedPaths() []mirror.Store {
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
	var paths []mirror.Store
	isWatcher := len(watchers) == 0
	for _, node := range watchers {
		if node.ID == s.self {
			isWatcher = true
		}
	}
	if !isWatcher {
		// Rendezvous hashing distributes the nodes of a domain over its watchers.
		first, _ := rendezvous.First(string(s.self), nodeIDs(watchers))
		for _, node := range watchers {
			if node.ID == first {
				paths = append(paths, s.viaPeer(node))
			}
		}
	}
	paths = append(paths, s.store)
	remote := rendezvous.Rank(string(s.self), others, func(n nodelist.Node) string { return string(n.ID) })
	for _, node := range remote[:min(len(remote), maxRemotePeers)] {
		paths = append(paths, s.viaPeer(node))
	}
	return paths
}

func nodeIDs(nodes []nodelist.Node) []api.NodeID {
	all := make([]api.NodeID, len(nodes))
	for i, node := range nodes {
		all[i] = node.ID
	}
	return all
}

// viaPeer returns the path that reads the copy of the store on a peer.
func (s *pathSelector) viaPeer(node nodelist.Node) mirror.Store {
	return &relay.Client{Address: node.Peers, Client: s.client}
}

// storePath is one path to the store; it records in the selector whether its calls succeed.
type storePath struct {
	mirror.Store
	selector *pathSelector
}

// List implements mirror.Store.
func (p *storePath) List(ctx context.Context, prefix string) (kv.ListResult, error) {
	listed, err := p.Store.List(ctx, prefix)
	p.recordResult(ctx, listed.Age, err)
	return listed, err
}

// Poll implements mirror.Store.
func (p *storePath) Poll(ctx context.Context, prefix string, after kv.Version, wait time.Duration) (kv.WatchBatch, error) {
	if p.selector.isUntried {
		// A poll without a wait shows immediately whether the path works.
		wait = 0
	}
	batch, err := p.Store.Poll(ctx, prefix, after, wait)
	p.recordResult(ctx, batch.Age, err)
	return batch, err
}

// recordResult selects the next path after an error or data that is too old. A compacted history means that the path itself works.
func (p *storePath) recordResult(ctx context.Context, age time.Duration, err error) {
	if ctx.Err() != nil || kv.IsErrCompacted(err) || err == nil && age < maxRelayAge {
		p.selector.isUntried = false
		return
	}
	p.selector.isUntried = true
	if p.selector.failures == 0 {
		p.selector.retryPreferredAt = time.Now().Add(fallbackPeriod)
	}
	p.selector.failures++
}
