package peer

import (
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Topic is state that nodes share: each keeps its own copy, and merging is commutative, associative and idempotent,
// so that it does not matter in which order, by which way and how often a payload comes.
type Topic interface {
	// Name is the same on every node and release.
	Name() string
	// Since returns what changed after the topic's version since (0 for all), in at most maxBytes, and the version that
	// the peer has once it took the payload in. An empty payload is not sent. Versions are this node's own and grow
	// with each change. Whatever is of no use to the peer, such as details of another failure domain, is left out.
	Since(since uint64, to Member, maxBytes int) (payload []byte, version uint64)
	// Merge takes in the payload of a peer. It reports whether it brought news that others should hear at once,
	// and must not report the same news twice.
	Merge(from Member, payload []byte) (news bool, err error)
}

// ConfigSource is the node's copy of the configuration, which peers fetch from.
type ConfigSource interface {
	// Revision returns the highest revision that the node holds.
	Revision() api.Revision
	// After returns the deltas after a revision, in at most maxBytes, preceded by a snapshot where the deltas after
	// the revision are no longer kept.
	After(revision api.Revision, maxBytes int) (snapshot []byte, deltas [][]byte)
	// Heard tells the revision of a peer that was just heard of; it does not block.
	ObservePeer(from Member)
}

// topicMembers is the name of the exchange's own news: that a member drains.
const topicMembers = "members"

const (
	// maxTopicBytes bounds the payload of one topic in one bundle.
	maxTopicBytes = 64 << 10
	// maxFetchBytes bounds the configuration in one answer; a longer history takes several.
	maxFetchBytes = 1 << 20
)
