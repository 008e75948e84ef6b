package poison

import (
	"cmp"
	"iter"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// inOrder yields the servers of a pool in an order that depends on the fingerprint alone. Most callers need only the first.
func inOrder(f Fingerprint, pool []Member) iter.Seq[Member] {
	return func(yield func(Member) bool) {
		var last ranked
		for i := range pool {
			var next ranked
			for _, member := range pool {
				candidate := ranked{Member: member, rank: rankOf(f, member.Server)}
				isLater := i == 0 || last.before(candidate)
				if isLater && (next.Server == "" || candidate.before(next)) {
					next = candidate
				}
			}
			if next.Server == "" || !yield(next.Member) {
				return
			}
			last = next
		}
	}
}

// ranked is a server with its rank in the order of a fingerprint.
type ranked struct {
	Member
	rank uint64
}

func (r ranked) before(other ranked) bool {
	return cmp.Or(cmp.Compare(r.rank, other.rank), cmp.Compare(r.Server, other.Server)) < 0
}

func rankOf(f Fingerprint, server api.ServerID) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(uint64(f), 16) + "/" + string(server))
}
