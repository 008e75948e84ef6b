package peer

import (
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Topic is state that nodes share. Each node keeps its own copy, and merging is commutative, associative and
// idempotent, so that the order, the path and the number of deliveries of a payload don't matter.
type Topic interface {
	// Name is the topic's name, the same on every node and release.
	Name() string
	// Since returns the changes after the topic's version since (0 for all), in at most maxBytes, and the version that
	// the peer has after it merged the payload. An empty payload is not sent. Versions are local to this node and grow
	// with each change. Details that the peer has no use for, such as those of another failure domain, are left out.
	Since(since uint64, to Member, maxBytes int) (payload []byte, version uint64)
	// Merge merges the payload of a peer. It reports whether the payload held news that other nodes should receive at
	// once, and must not report the same news twice.
	Merge(from Member, payload []byte) (news bool, err error)
}

// ConfigSource is the node's copy of the configuration, from which peers fetch.
type ConfigSource interface {
	// Revision returns the highest revision that the node has.
	Revision() api.Revision
	// After returns the deltas after a revision, in at most maxBytes, preceded by a snapshot if the deltas after the
	// revision are no longer kept.
	After(revision api.Revision, maxBytes int) (snapshot []byte, deltas [][]byte)
	// ObservePeer is called with the sender of each received bundle if its PeerAddress is known; the sender's Revision
	// is the highest known one. It must not block.
	ObservePeer(from Member)
}

// topicMembers is the name of the exchange's own urgent news: that a member is draining.
const topicMembers = "members"

const (
	// maxTopicBytes bounds the payload of one topic in one bundle.
	maxTopicBytes = 64 << 10
	// maxFetchBytes bounds the configuration in one response; a longer history takes several fetches.
	maxFetchBytes = 1 << 20
)
