// Package rendezvous ranks members for a key by rendezvous hashing: all callers with the same members compute the same
// ranking, and a member that is added or removed moves only the keys for which it ranks first.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Top returns the n highest-ranked members for a key, or all if there are fewer, best first, in a new slice.
func Top[M ~string](key string, members []M, n int) []M {
	ranked := Rank(key, members, func(m M) string { return string(m) })
	return ranked[:min(n, len(ranked))]
}

// First returns the highest-ranked member for a key, and false if there are no members. It doesn't allocate.
func First[M ~string](key string, members []M) (M, bool) {
	var best M
	var bestScore uint64
	for i, m := range members {
		s := score(key, string(m))
		if i == 0 || s > bestScore || s == bestScore && m < best {
			best, bestScore = m, s
		}
	}
	return best, len(members) > 0
}

func score(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(member)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// Rank returns the members sorted by rank for a key, best first, in a new slice; name returns a member's unique name.
func Rank[M any](key string, members []M, name func(M) string) []M {
	type ranked struct {
		member M
		score  uint64
	}
	all := make([]ranked, len(members))
	for i, m := range members {
		all[i] = ranked{m, score(key, name(m))}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(name(a.member), name(b.member)))
	})
	out := make([]M, len(all))
	for i, r := range all {
		out[i] = r.member
	}
	return out
}

// Fraction maps a hash to a number from 0 to below 1.
func Fraction(hash uint64) float64 {
	const bits = 53
	return float64(hash>>(64-bits)) / (1 << bits)
}
