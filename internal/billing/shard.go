package billing

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Shard is a partition of the incarnations whose segments are folded together.
type Shard int

// ShardCount is the number of shards.
const ShardCount Shard = 128

// ShardOf returns the shard of an incarnation.
func ShardOf(incarnation api.Incarnation) Shard {
	return Shard(xxhash.Sum64String(string(incarnation)) % uint64(ShardCount))
}

// Prefix returns the key prefix of the shard's segments.
func (s Shard) Prefix() string { return fmt.Sprintf("%s%03d/", ShardPrefix, int(s)) }
