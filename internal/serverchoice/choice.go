// Package serverchoice keeps a node's estimates of its backend servers and chooses a server for each request.
package serverchoice

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/balance"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/registry"
	"github.com/monsoonrail/monsoonrail/internal/router"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// defaultAnswerTokens is the expected length of an answer, unless the request sets a lower maximum.
const defaultAnswerTokens = 200

// Chooser implements router.ServerChooser with one table of servers for each service.
type Chooser struct {
	mu     sync.Mutex
	tables map[api.Service]*balance.Table
	rand   *rand.Rand
	// nodeCount is the number of nodes that choose among the same servers; 0 if not set.
	nodeCount int
}

// New returns a chooser without servers.
func New(random *rand.Rand) *Chooser {
	return &Chooser{tables: make(map[api.Service]*balance.Table), rand: random}
}

// SetNodeCount sets the number of nodes that choose among the same servers.
func (c *Chooser) SetNodeCount(nodes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodeCount = nodes
}

// NodeCount returns the number of nodes that choose among the same servers, at least 1.
func (c *Chooser) NodeCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.nodeCount, 1)
}

// Occupancy returns, summed over a service's servers, the slots, this node's in-flight requests and an estimate of the other nodes'.
func (c *Chooser) Occupancy(service api.Service, now time.Time) (slots, own, others float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return balance.Occupancy(c.table(service).Servers(), now)
}

// SetServers replaces the servers of this node's subset.
func (c *Chooser) SetServers(servers []fleet.Server) {
	byService := make(map[api.Service][]balance.ServerConfig)
	for _, server := range servers {
		byService[server.Service] = append(byService[server.Service], balance.ServerConfig{ID: server.ID, Excluded: server.Leaving})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for service := range c.tables {
		if len(byService[service]) == 0 {
			delete(c.tables, service)
		}
	}
	for service, list := range byService {
		c.table(service).SetServers(list[:min(len(list), balance.MaxSubsetSize)])
	}
}

func (c *Chooser) table(service api.Service) *balance.Table {
	table, ok := c.tables[service]
	if !ok {
		table = balance.NewTable()
		c.tables[service] = table
	}
	return table
}

// Report records a load report that a server sent.
func (c *Chooser) Report(server *registry.Server, report registry.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table(server.Service).RecordLoad(server.ID, balance.LoadReport{
		Running: report.Running, Queued: report.Queued, Slots: report.Slots,
		AnswerRate: report.TokensPerSecond, MeasuredAt: report.MeasuredAt,
	})
}

// RelativeSpeed implements router.ServerChooser.
func (c *Chooser) RelativeSpeed(service api.Service, version api.VersionID) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table(service).RelativeSpeed(version)
}

// ChooseServer implements router.ServerChooser.
func (c *Chooser) ChooseServer(req router.ServerRequest, candidates []*registry.Server) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	table := c.table(req.Service)
	mask := balance.Mask(0)
	for _, server := range candidates {
		if i, ok := table.Find(server.ID); ok {
			mask = mask.With(i)
		}
	}
	if mask == 0 {
		return c.rand.IntN(len(candidates))
	}
	chosen, ok := balance.Choose(&balance.Input{
		Servers: table.Servers(), Allowed: mask, CacheHolders: table.CacheHolders(req.Prefix), Prefix: req.Prefix,
		PrefixTokens: req.PrefixTokens, PromptTokens: req.PromptTokens, AnswerTokens: expectedAnswerTokens(req.MaxAnswerTokens),
		RelativeSpeed: table.RelativeSpeed(req.Version), Choices: balance.DefaultChoices, NodeCount: c.nodeCount,
		Stickiness: balance.DefaultStickiness, Now: req.Now, Rand: c.rand,
	})
	if !ok {
		return c.rand.IntN(len(candidates))
	}
	id := table.Servers()[chosen].ID
	for i, server := range candidates {
		if server.ID == id {
			return i
		}
	}
	return c.rand.IntN(len(candidates))
}

func expectedAnswerTokens(maxTokens api.Tokens) api.Tokens {
	if maxTokens > 0 && maxTokens < defaultAnswerTokens {
		return maxTokens
	}
	return defaultAnswerTokens
}

// CacheEvent records that a server has stored a prompt prefix in its cache, or evicted it if stored is false.
func (c *Chooser) CacheEvent(server *registry.Server, prefix uint64, stored bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table(server.Service).RecordCacheEvent(server.ID, prefix, stored)
}
