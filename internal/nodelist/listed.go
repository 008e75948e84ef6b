package nodelist

import (
	"slices"

	"github.com/monsoonrail/monsoonrail/internal/rendezvous"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// backupNodes is the number of nodes of other failure domains that a caller of a large fleet is told of, beside the nodes of its own: it can go
// there when its own failure domain is lost.
const backupNodes = 8

// ForCaller returns the nodes of which a caller in a failure domain is told, at most limit. If there are more, these are the nodes of its own failure
// domain, and as many others as the fleet's mean failure domain has more, with some in reserve. Every node chooses the same ones, since callers leave
// the nodes that are missing from a newer answer.
func ForCaller(domain api.FailureDomain, nodes []Node, limit int) []Node {
	if len(nodes) <= limit {
		return nodes
	}
	var domains []api.FailureDomain
	for _, node := range nodes {
		if !slices.Contains(domains, node.FailureDomain) {
			domains = append(domains, node.FailureDomain)
		}
	}
	var own, backups, others []Node
	for _, node := range rendezvous.Rank(string(domain), nodes, func(n Node) string { return string(n.ID) }) {
		switch {
		case node.FailureDomain == domain:
			own = append(own, node)
		case backedUpBy(node, domains) == domain:
			backups = append(backups, node)
		default:
			others = append(others, node)
		}
	}
	own = own[:min(len(own), limit-backupNodes)]
	mean := (len(nodes) + len(domains) - 1) / len(domains)
	others = append(backups, others...)
	return append(own, others[:min(max(mean-len(own), 0)+backupNodes, limit-len(own), len(others))]...)
}

// backedUpBy returns the one other failure domain for which a node is in reserve, so that no node is in reserve for many.
func backedUpBy(node Node, domains []api.FailureDomain) api.FailureDomain {
	for _, domain := range rendezvous.Rank(string(node.ID), domains, func(d api.FailureDomain) string { return string(d) })[:min(2, len(domains))] {
		if domain != node.FailureDomain {
			return domain
		}
	}
	return ""
}
