package kv

import "github.com/cespare/xxhash/v2"

// HashKey returns the hash of a key in WatchBatch.KeyHashes.
func HashKey(key string) uint64 { return xxhash.Sum64String(key) }
