// Package rendezvous ranks members for a key by rendezvous hashing: every member ranks alike, and a member that
// comes or goes moves only the keys that it ranks first for.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Top returns the first n members for a key in a new slice, the first choice first.
func Top[M ~string](key string, members []M, n int) []M {
	ranked := Rank(key, members, func(m M) string { return string(m) })
	return ranked[:min(n, len(ranked))]
}

// First returns the first member for a key without allocation, and false if there are no members.
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

// Rank returns the members in the order of their rank for a key, the first choice first, in a new slice; name tells them apart.
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

// Fraction turns a hash into a number from 0 to below 1.
func Fraction(hash uint64) float64 {
	const bits = 53
	return float64(hash>>(64-bits)) / (1 << bits)
}
