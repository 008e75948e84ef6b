package edge

import (
	"slices"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/route"
	"github.com/monsoonrail/monsoonrail/internal/warmup"
	"github.com/monsoonrail/monsoonrail/pkg/api"
	"github.com/monsoonrail/monsoonrail/platform"
)

// loadEvacuations puts the evacuations in the store in force.
func (n *Node) loadEvacuations(now time.Time) {
	domains := make(map[api.FailureDomain]bool)
	var names []string
	for _, pair := range n.mirror.List(platform.PrefixEvacuations) {
		name := strings.TrimPrefix(pair.Key, platform.PrefixEvacuations)
		domains[api.FailureDomain(name)] = true
		names = append(names, name)
	}
	isChange, cold := n.backends.SetEvacuated(domains, now)
	if !isChange {
		return
	}
	slices.Sort(names)
	n.log.WithFields(log.Fields{"evacuated": strings.Join(names, ","), "cold_servers": cold}).Info("evacuations changed")
}

// countEvacuations returns the number of evacuated failure domains.
func (n *Node) countEvacuations() int { return len(n.mirror.List(platform.PrefixEvacuations)) }

// applyConfig puts a stored configuration in force, with the warm-up of its services.
func (n *Node) applyConfig(pair kv.Pair) {
	n.activeConfig.Apply(pair)
	table := n.activeConfig.Current()
	if table == nil {
		return
	}
	bounds := n.settings.Load().Bounds
	policies := make(map[route.Service]warmup.Policy)
	for _, service := range table.Config.Services {
		w := service.WarmUp
		if w.RequestsPerSecond <= 0 && w.Duration <= 0 {
			continue
		}
		policies[service.Name] = warmup.Policy{
			Duration: w.Duration, Rate: warmup.Rate(w.RequestsPerSecond),
			Most: bounds.WarmUpOvershoot*w.RequestsPerSecond + bounds.WarmUpSlack,
		}
	}
	n.backends.SetWarmUps(policies)
}
