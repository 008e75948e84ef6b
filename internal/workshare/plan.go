package workshare

import (
	"slices"

	"github.com/monsoonrail/monsoonrail/internal/nodelist"
	"github.com/monsoonrail/monsoonrail/internal/storepath"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// aggregatorsPerDomain is the number of nodes of a failure domain to which its nodes report.
const aggregatorsPerDomain = 2

// plan holds the aggregators of each failure domain, the first choice first.
type plan struct {
	own    []nodelist.Node
	others map[api.FailureDomain][]nodelist.Node
}

// planFor returns the aggregators among the nodes that take part, those with the most capacity.
func planFor(domain api.FailureDomain, nodes []nodelist.Node) plan {
	byDomain := make(map[api.FailureDomain][]nodelist.Node)
	for _, node := range nodes {
		if node.SharesWork && node.Peers != "" {
			byDomain[node.FailureDomain] = append(byDomain[node.FailureDomain], node)
		}
	}
	p := plan{others: make(map[api.FailureDomain][]nodelist.Node)}
	for of, nodes := range byDomain {
		ranked := storepath.ByCapacity("work/"+string(of), nodes)
		ranked = slices.Clip(ranked[:min(len(ranked), aggregatorsPerDomain)])
		if of == domain {
			p.own = ranked
		} else {
			p.others[of] = ranked
		}
	}
	return p
}
