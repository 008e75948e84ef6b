package poison

import (
	"cmp"
	"iter"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// inOrder yields the servers of a pool in an order that depends on the fingerprint alone. Most callers need only the first.
func inOrder(f Fingerprint, pool []PoolServer) iter.Seq[PoolServer] {
	return func(yield func(PoolServer) bool) {
		var last ranked
		for i := range pool {
			var next ranked
			for _, member := range pool {
				candidate := ranked{PoolServer: member, rank: rankOf(f, member.ID)}
				isLater := i == 0 || last.before(candidate)
				if isLater && (next.ID == "" || candidate.before(next)) {
					next = candidate
				}
			}
			if next.ID == "" || !yield(next.PoolServer) {
				return
			}
			last = next
		}
	}
}

// ranked is a server with its rank in the order of a fingerprint.
type ranked struct {
	PoolServer
	rank uint64
}

func (r ranked) before(other ranked) bool {
	return cmp.Or(cmp.Compare(r.rank, other.rank), cmp.Compare(r.ID, other.ID)) < 0
}

func rankOf(f Fingerprint, server api.ServerID) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(uint64(f), 16) + "/" + string(server))
}
