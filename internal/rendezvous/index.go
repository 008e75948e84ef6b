package rendezvous

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxGroupSize is the mean number of members of a group above which an Index has twice as many groups.
const maxGroupSize = 128

// minGroupSize is fewer members than any group has, at half of maxGroupSize in the mean.
const minGroupSize = maxGroupSize / 4

// Index ranks many members for a key in a time that hardly grows with their number: the members are divided into groups, of which the first one by
// weighted rendezvous hashing is ranked. All callers with the same members get the same ranking, each member ranks first for the same share of the keys,
// and a member that is added or removed changes the ranking of few keys. An Index is immutable.
type Index struct {
	hashes []uint64
	groups []group
}

// group is a part of the members, chosen by their hashes; its share of the keys is proportional to its size.
type group struct {
	hash    uint64
	members []int
}

// NewIndex returns an index of members with unique names.
func NewIndex(names []string) *Index {
	count := 1
	for count*maxGroupSize < len(names) {
		count *= 2
	}
	x := &Index{hashes: make([]uint64, len(names)), groups: make([]group, count)}
	for i := range x.groups {
		x.groups[i].hash = xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, uint64(i)))
	}
	for i, name := range names {
		hash := xxhash.Sum64String(name)
		x.hashes[i] = hash
		in := &x.groups[hash%uint64(count)]
		in.members = append(in.members, i)
	}
	return x
}

// Top returns the indices of the n highest-ranked members for a key, or of all if there are fewer, best first.
func (x *Index) Top(key string, n int) []int {
	hash := xxhash.Sum64String(key)
	order := []int{0}
	if len(x.groups) > 1 {
		order = rank(len(x.groups), 2+n/minGroupSize, func(i int) float64 { return x.groups[i].weightedScore(hash) })
	}
	top := make([]int, 0, n)
	for _, g := range order {
		members := x.groups[g].members
		for _, i := range rank(len(members), n-len(top), func(i int) float64 { return Fraction(mix(hash, x.hashes[members[i]])) }) {
			top = append(top, members[i])
		}
		if len(top) == n {
			break
		}
	}
	return top
}

// weightedScore returns the group's score for the hash of a key, by which it ranks first with a probability proportional to its size.
func (g *group) weightedScore(hash uint64) float64 {
	return -float64(len(g.members)) / math.Log(max(Fraction(mix(hash, g.hash)), math.SmallestNonzeroFloat64))
}

// ranked is a number with its score.
type ranked struct {
	number int
	score  float64
}

// compareRanked orders numbers by their scores, the highest first, and equal ones by number.
func compareRanked(a, b ranked) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.number, b.number))
}

// maxInserted is the number of best ones up to which they are inserted into a sorted list, which takes less time than sorting all.
const maxInserted = 16

// rank returns the n numbers below count with the highest scores, best first, or all if there are fewer.
func rank(count, n int, score func(i int) float64) []int {
	best := make([]ranked, 0, count)
	for i := range count {
		candidate := ranked{i, score(i)}
		switch {
		case n > maxInserted:
			best = append(best, candidate)
		case len(best) < n || compareRanked(candidate, best[n-1]) < 0:
			at, _ := slices.BinarySearchFunc(best, candidate, compareRanked)
			best = slices.Insert(best, at, candidate)
			best = best[:min(n, len(best))]
		}
	}
	if n > maxInserted {
		slices.SortFunc(best, compareRanked)
	}
	order := make([]int, min(n, len(best)))
	for i := range order {
		order[i] = best[i].number
	}
	return order
}

// mix returns a hash of two hashes.
func mix(a, b uint64) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:], a)
	binary.LittleEndian.PutUint64(pair[8:], b)
	return xxhash.Sum64(pair[:])
}
