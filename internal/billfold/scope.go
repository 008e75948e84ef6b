package billfold

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonrail/monsoonrail/internal/billing"
)

// keyedShards is the number of scopes that keyed requests are distributed over by a hash of their ids.
const keyedShards = 16

// Scope is a partition of the bills that is folded independently, with its own segments, totals and guard key. The
// segments that nodes write belong to the scope of the shard of their incarnation. These scopes have no record of
// billed keyed requests; they forward keyed requests to the scope of the request's id, which has one.
type Scope struct {
	// Name identifies the scope in the assignment of scopes to nodes.
	Name string
	// segmentPrefix is the key prefix of segments, and guardKey the key that each fold changes.
	segmentPrefix, guardKey string
	// totalSuffix is the key suffix of totals.
	totalSuffix string
	// dedupPrefix is the key prefix of the deduplication set; empty for scopes that forward keyed requests.
	dedupPrefix string
}

// forwardsKeyed reports whether the scope forwards keyed requests to other scopes.
func (s Scope) forwardsKeyed() bool { return s.dedupPrefix == "" }

// LegacyScope returns the scope of the segments that nodes of older releases write, which have a single scope.
func LegacyScope() Scope {
	return Scope{Name: "first", segmentPrefix: billing.LegacySegmentPrefix, guardKey: legacyGuardKey}
}

// ShardScope returns the scope of the segments of a shard of incarnations.
func ShardScope(shard billing.Shard) Scope {
	return Scope{
		Name: fmt.Sprintf("shard-%03d", shard), segmentPrefix: shard.Prefix(), guardKey: fmt.Sprintf("%s/shard/%03d", legacyGuardKey, shard),
		totalSuffix: fmt.Sprintf("/shard-%03d", shard),
	}
}

// KeyedScope returns one of the scopes of keyed requests.
func KeyedScope(shard int) Scope {
	return Scope{
		Name: fmt.Sprintf("keyed-%02d", shard), segmentPrefix: keyedPrefix(shard), guardKey: fmt.Sprintf("%s/keyed/%02d", legacyGuardKey, shard),
		totalSuffix: fmt.Sprintf("/keyed-%02d", shard), dedupPrefix: fmt.Sprintf("bill/seen-of/%02d/", shard),
	}
}

// AllScopes returns all scopes.
func AllScopes() []Scope {
	scopes := []Scope{LegacyScope()}
	for shard := range billing.ShardCount {
		scopes = append(scopes, ShardScope(shard))
	}
	for shard := range keyedShards {
		scopes = append(scopes, KeyedScope(shard))
	}
	return scopes
}

func keyedPrefix(shard int) string { return fmt.Sprintf("bill/keyed/%02d/", shard) }

// keyedShardOf returns the shard of a keyed request.
func keyedShardOf(key id) int { return int(xxhash.Sum64(key[:]) % keyedShards) }
