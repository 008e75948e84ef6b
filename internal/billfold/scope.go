package billfold

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonrail/monsoonrail/internal/billing"
)

// keyedShards is the number of scopes that keyed requests are spread over by a hash of their ids.
const keyedShards = 16

// Scope is a part of the bills that is folded on its own: it has segments, totals and a turn of its own. Segments of nodes are in
// the scope of their incarnation. These scopes don't know which keyed requests were billed; they forward them to the scope of the
// request's id, which does.
type Scope struct {
	// Name names the scope to those that decide who folds it.
	Name string
	// segments begins the keys of segments, and turn is the key that each fold changes.
	segments, turn string
	// suffix ends the keys of totals.
	suffix string
	// seen begins the keys of the memory of keyed requests; empty for scopes that forward them.
	seen string
}

// forwards reports whether the scope leaves keyed requests to others.
func (s Scope) forwards() bool { return s.seen == "" }

// LegacyScope is the scope of segments that nodes wrote when there was one for all.
func LegacyScope() Scope {
	return Scope{Name: "first", segments: billing.LegacySegmentPrefix, turn: turnKey}
}

// ShardScope is the scope of the segments of a shard of incarnations.
func ShardScope(shard billing.Shard) Scope {
	return Scope{
		Name: fmt.Sprintf("shard-%03d", shard), segments: shard.Prefix(), turn: fmt.Sprintf("%s/shard/%03d", turnKey, shard),
		suffix: fmt.Sprintf("/shard-%03d", shard),
	}
}

// KeyedScope is one of the scopes of keyed requests.
func KeyedScope(shard int) Scope {
	return Scope{
		Name: fmt.Sprintf("keyed-%02d", shard), segments: keyedPrefix(shard), turn: fmt.Sprintf("%s/keyed/%02d", turnKey, shard),
		suffix: fmt.Sprintf("/keyed-%02d", shard), seen: fmt.Sprintf("bill/seen-of/%02d/", shard),
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

// keyedShardOf returns the scope of a keyed request.
func keyedShardOf(key id) int { return int(xxhash.Sum64(key[:]) % keyedShards) }
