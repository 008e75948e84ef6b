// Package play plays a recorded trace against a system in one process, with the faults that the trace names,
// and holds what was seen against the promises and the trace's stated outcome.
package play

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/internal/dev"
	"github.com/monsoonrail/monsoonrail/internal/fake/faultnet"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/load"
	"github.com/monsoonrail/monsoonrail/internal/oracle"
	"github.com/monsoonrail/monsoonrail/internal/report"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/internal/trace"
	"github.com/monsoonrail/monsoonrail/pkg/api"
	"github.com/monsoonrail/monsoonrail/pkg/client"
)

// Error is the class of every error of the package.
var Error = errs.Class("play")

const (
	// callerIP is the address of all callers.
	callerIP = "127.1.250.1"
	// defaultNodes is the number of nodes of a system that names none.
	defaultNodes = 3
	// warmUp is how long a new system has to learn of its servers.
	warmUp = 3 * time.Second
)

// Options describe a play.
type Options struct {
	Trace *trace.Trace
	// System describes the system; its Networks are the player's own. Its Config needs the services of the trace:
	// teams that it lacks are added.
	System dev.Options
	// Speed divides all times of the trace, those of its faults included, but not deadlines; 0 means 1.
	Speed float64
	// Network is that of the system and the callers; nil means loopback TCP.
	Network Network
	// OnStart, if set, is called with the system once it runs, before the first call.
	OnStart func(system *dev.System)
	// OnDone, if set, is called after each call, by many goroutines.
	OnDone func()
	// OnFault, if set, is told of each fault that begins or ends.
	OnFault func(text string)
}

// Network is the system's network with the faults of a trace.
type Network interface {
	// Host returns the network as the host with an IP number sees it.
	Host(ip string) tcp.Network
	// Silence makes the open connections of a host, or of all for "", silent for good and counts them.
	Silence(ip string) int
	// Down refuses new connections to a host, or takes that back.
	SetDown(ip string, down bool)
	// Cut and Heal end and allow connections between two hosts.
	Cut(a, b string)
	Heal(a, b string)
}

// KeyOf returns the bearer key of a team in a system for development.
func KeyOf(team api.Team) string { return "key-" + string(team) }

// HashOfKey returns the hash of a team's bearer key as configurations hold it.
func HashOfKey(team api.Team) string {
	sum := sha256.Sum256([]byte(KeyOf(team)))
	return hex.EncodeToString(sum[:])
}

// Run plays a trace and returns the report.
func Run(ctx context.Context, opts Options) (*report.Report, error) {
	if opts.Speed <= 0 {
		opts.Speed = 1
	}
	if opts.System.Nodes <= 0 {
		opts.System.Nodes = defaultNodes
	}
	if opts.Network == nil {
		opts.Network = faultnet.New()
	}
	opts.System.Networks = opts.Network.Host
	opts.System.Config = withTeams(opts.System.Config, opts.Trace.Entries)
	system, err := dev.Start(ctx, opts.System)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer system.Close()
	p := &player{opts: opts, network: opts.Network, system: system, clients: make(map[api.Team]*client.Client)}
	defer p.closeClients()
	if err := p.makeClients(); err != nil {
		return nil, err
	}
	if !sleep.For(ctx, warmUp) {
		return nil, Error.Wrap(ctx.Err())
	}
	if opts.OnStart != nil {
		opts.OnStart(system)
	}
	return p.play(ctx)
}

// player is a play under way.
type player struct {
	opts    Options
	network Network
	system  *dev.System
	clients map[api.Team]*client.Client
	// poison counts the requests that crash servers.
	poison poisonCaller
	// versions holds what became of versions.
	versions versionFaults
	// leaving holds when servers were taken out of service.
	leaving leavingServers
	used    resources
}

func (p *player) play(ctx context.Context) (*report.Report, error) {
	faultCtx, endFaults := context.WithCancel(ctx)
	var faults sync.WaitGroup
	faults.Go(func() { p.carryOutFaults(faultCtx) })
	began := time.Now()
	results := load.Run(ctx, load.Options{
		Entries:    p.opts.Trace.Entries,
		Speed:      p.opts.Speed,
		CallPrefix: "c",
		ClientFor:  func(team api.Team) *client.Client { return p.clients[team] },
		OnDone:     func(*load.Result) { p.noteDone() },
	})
	took := time.Since(began)
	endFaults()
	faults.Wait()
	seen := p.seen(results)
	seen.Billed = p.awaitBills(ctx, began, results)
	seen.HasBills = len(seen.Billed) > 0
	made := report.Make(report.MakeOptions{
		Header: p.opts.Trace.Header, Speed: p.opts.Speed, Took: took, Seen: seen, CostOf: p.costOf,
	})
	made.Resources = p.used.samples
	made.Broken = append(made.Broken, p.poison.broken(seen.Runs)...)
	made.Broken = append(made.Broken, p.versions.broken(seen)...)
	made.Broken = append(made.Broken, p.leaving.broken(seen.Runs)...)
	made.Exposure = p.versions.exposure(seen)
	if bound := made.Bounds.Exposure; bound > 0 && made.Exposure > bound {
		made.Broken = append(made.Broken, fmt.Sprintf("Exposure: %d calls answered by a bad version, at most %d", made.Exposure, bound))
	}
	return made, nil
}

// seen gathers what servers and bills saw.
func (p *player) seen(results []load.Result) oracle.Seen {
	seen := oracle.Seen{Results: results}
	for _, engine := range p.system.Engines() {
		seen.Runs = append(seen.Runs, oracle.EngineRuns(engine)...)
	}
	for _, service := range p.system.PlainServers() {
		seen.Runs = append(seen.Runs, oracle.PlainRuns(service)...)
	}
	return seen
}

// costOf returns what a chat costs by the prices of the version that answered.
func (p *player) costOf(result *load.Result) api.MicroUSD {
	service, ok := p.opts.System.Config.FindService(result.Entry.Service)
	if !ok {
		return 0
	}
	version, ok := service.FindVersion(result.Version)
	if !ok {
		return 0
	}
	return version.Cost(api.Usage{PromptTokens: result.Entry.PromptTokens, CompletionTokens: api.Tokens(result.Tokens)})
}

// withTeams returns the configuration with every team of the entries, which may call every service.
func withTeams(config *fleet.Config, entries []trace.Entry) *fleet.Config {
	changed := *config
	changed.Teams = slices.Clone(config.Teams)
	changed.Exceptions = slices.Clone(config.Exceptions)
	added := make(map[api.Team]bool)
	for _, entry := range entries {
		if added[entry.Team] {
			continue
		}
		added[entry.Team] = true
		changed.Exceptions = append(changed.Exceptions, allServices(entry.Team))
		if _, ok := config.FindTeam(entry.Team); !ok {
			changed.Teams = append(changed.Teams, newTeam(entry.Team))
		}
	}
	slices.SortFunc(changed.Teams, func(a, b fleet.Team) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(changed.Exceptions, func(a, b fleet.Exception) int { return cmp.Compare(a.ID, b.ID) })
	return &changed
}

func newTeam(name api.Team) fleet.Team {
	return fleet.Team{Name: name, KeyHashes: []string{HashOfKey(name)}, Weight: 1}
}

func allServices(team api.Team) fleet.Exception {
	services := []string{"*"}
	return fleet.Exception{
		ID:     "play-" + string(team),
		Scope:  fleet.Scope{Team: team},
		Set:    fleet.PolicyPatch{Services: &services},
		Reason: "the team is one of the trace's",
		Author: "play",
	}
}

// makeClients makes one client a team. All share one HTTP transport, so that a few connections carry many callers.
func (p *player) makeClients() error {
	transport := tcp.NewTransport(p.network.Host(callerIP))
	var nodes []string
	for i := range p.nodes() {
		nodes = append(nodes, p.system.NodeURL(i))
	}
	for _, team := range p.opts.System.Config.Teams {
		made, err := client.New(client.Options{Nodes: nodes, Key: KeyOf(team.Name), HTTP: &http.Client{Transport: transport}})
		if err != nil {
			return err
		}
		p.clients[team.Name] = made
	}
	return nil
}

func (p *player) nodes() int { return p.opts.System.Nodes }

func (p *player) closeClients() {
	for _, c := range p.clients {
		c.Close()
	}
}
