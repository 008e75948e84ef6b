package poison

import (
	"cmp"
	"iter"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// byRank yields the servers of a pool in an order that depends only on the fingerprint. It doesn't sort the pool, because most
// callers need only the first servers.
func byRank(f Fingerprint, pool []PoolServer) iter.Seq[PoolServer] {
	return func(yield func(PoolServer) bool) {
		var last rankedServer
		for i := range pool {
			var next rankedServer
			for _, server := range pool {
				candidate := rankedServer{PoolServer: server, rank: rankOf(f, server.ID)}
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

// rankedServer is a server with its rank for a fingerprint; lower ranks come first.
type rankedServer struct {
	PoolServer
	rank uint64
}

func (r rankedServer) before(other rankedServer) bool {
	return cmp.Or(cmp.Compare(r.rank, other.rank), cmp.Compare(r.ID, other.ID)) < 0
}

func rankOf(f Fingerprint, server api.ServerID) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(uint64(f), 16) + "/" + string(server))
}
