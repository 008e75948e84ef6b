package peer_test

import (
	"encoding/binary"
	"maps"
	"slices"
	"sync"

	"github.com/monsoonrail/monsoonrail/internal/peer"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// words is a topic that shares a grow-only set of words.
type words struct {
	mu      sync.Mutex
	known   map[string]uint64
	version uint64
	merged  int
	// protocols holds the protocol of each peer as passed to Since.
	protocols map[api.NodeID]uint32
}

func (w *words) Name() string { return "words" }

func (w *words) add(word string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.known[word]; ok {
		return false
	}
	w.version++
	w.known[word] = w.version
	return true
}

func (w *words) all() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Sorted(maps.Keys(w.known))
}

func (w *words) protocolOf(node api.NodeID) uint32 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.protocols[node]
}

func (w *words) Since(since uint64, to peer.Member, _ int) ([]byte, uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.protocols[to.Node] = to.Protocol
	var payload []byte
	for word, version := range w.known {
		if version > since {
			payload = binary.AppendUvarint(payload, uint64(len(word)))
			payload = append(payload, word...)
		}
	}
	return payload, w.version
}

func (w *words) Merge(_ peer.Member, payload []byte) (news bool, err error) {
	for len(payload) > 0 {
		length, n := binary.Uvarint(payload)
		news = w.add(string(payload[n:n+int(length)])) || news
		payload = payload[n+int(length):]
		w.mu.Lock()
		w.merged++
		w.mu.Unlock()
	}
	return news, nil
}

func (g *group) merged() int {
	total := 0
	for _, n := range g.nodes {
		n.words.mu.Lock()
		total += n.words.merged
		n.words.mu.Unlock()
	}
	return total
}
