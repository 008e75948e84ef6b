// Package edge assembles a node that runs on the users' platform: it serves callers, watches the platform's store and shuts down gracefully.
package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/internal/backend"
	"github.com/monsoonrail/monsoonrail/internal/boottime"
	"github.com/monsoonrail/monsoonrail/internal/connguard"
	"github.com/monsoonrail/monsoonrail/internal/crashes"
	"github.com/monsoonrail/monsoonrail/internal/gateway"
	"github.com/monsoonrail/monsoonrail/internal/inforce"
	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/membudget"
	"github.com/monsoonrail/monsoonrail/internal/metric"
	"github.com/monsoonrail/monsoonrail/internal/mirror"
	"github.com/monsoonrail/monsoonrail/internal/nodelist"
	"github.com/monsoonrail/monsoonrail/internal/relay"
	"github.com/monsoonrail/monsoonrail/internal/reportrelay"
	"github.com/monsoonrail/monsoonrail/internal/retrybudget"
	"github.com/monsoonrail/monsoonrail/internal/rolloutrpc"
	"github.com/monsoonrail/monsoonrail/internal/route"
	"github.com/monsoonrail/monsoonrail/internal/selfreport"
	"github.com/monsoonrail/monsoonrail/internal/site"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/internal/storepath"
	"github.com/monsoonrail/monsoonrail/internal/supervisor"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/internal/tunnel"
	"github.com/monsoonrail/monsoonrail/internal/upstream"
	"github.com/monsoonrail/monsoonrail/internal/versionrollout"
	"github.com/monsoonrail/monsoonrail/internal/workshare"
	"github.com/monsoonrail/monsoonrail/internal/writerelay"
	"github.com/monsoonrail/monsoonrail/platform"
)

const (
	// readHeaderTimeout bounds the time that a caller may take to send a request header, where operators set none.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is how long a connection of a caller may stay idle, where operators don't say.
	idleTimeout = 60 * time.Second
	// MaxHeaderBytes bounds a request header, where operators don't.
	MaxHeaderBytes = 64 << 10
	// answerMemoryShare is the share of the machine's memory that the parts of servers' answers take together which are held until they are forwarded, and
	// defaultAnswerMemory their bound if that memory is unknown.
	answerMemoryShare   = 0.2
	defaultAnswerMemory = 32 << 20
	// requestMemoryShare and defaultRequestMemory are the same for the bodies of callers' requests, which are held until the requests end.
	requestMemoryShare   = 0.2
	defaultRequestMemory = 32 << 20
	// acceptAllShare is the share of the grace period of a shutdown during which all new requests are still accepted, because callers keep using
	// the addresses that they have resolved; later ones must be due before the shutdown's end.
	acceptAllShare = 0.3
	// acceptConnectionsShare is the minimum share of the grace period during which a stopping node accepts connections,
	// shutdownShare the maximum share that the whole shutdown takes.
	acceptConnectionsShare = 0.6
	shutdownShare          = 0.9
)

// Error is the class of every error of the package.
var Error = errs.Class("edge")

// Options configures New.
type Options struct {
	Settings site.Settings
	Network  tcp.Network
	// Now is boottime.Now if nil.
	Now func() boottime.Time
	Log log.Interface
}

// Node is a node that runs on the users' platform.
type Node struct {
	opts Options
	// settings holds the settings that were loaded last.
	settings  atomic.Pointer[site.Settings]
	log       log.Interface
	metrics   *metric.Set
	stores    stores
	transport *http.Transport
	// peers is the HTTP client for calls to other nodes.
	peers        *http.Client
	activeConfig *inforce.ActiveConfig
	mirror       *mirror.Mirror
	backends     *backend.Set
	pool         *upstream.Pool
	// dialer opens connections to servers, tunnels those of other nodes through this one.
	dialer       *tunnel.Dialer
	tunnels      *tunnel.Handler
	rollouts     *versionrollout.Tracker
	crashes      *crashes.Tracker
	answerMemory *membudget.Budget
	// requestMemory bounds the bodies of callers' requests.
	requestMemory *membudget.Budget
	gateway       *gateway.Gateway
	announcer     *nodelist.Announcer
	// nodes holds the nodes that are listed in the store as accepting requests.
	nodes atomic.Pointer[[]nodelist.Node]
	// collectors holds the nodes that may collect the reports of each service's roll-out, by the list rankedFor; only the duty of roll-outs
	// uses both.
	collectors map[route.Service][]nodelist.Node
	rankedFor  *[]nodelist.Node
	// addresses holds the answers to callers that ask which nodes to use.
	addresses addressCache
	// serverEntries and nodeEntries hold the decoded entries of the store; only applyChanges uses them.
	serverEntries entries[backend.Server]
	nodeEntries   entries[nodelist.Node]
	// nodePeak is the largest number of nodes in the last seconds.
	nodePeak nodelist.Peak
	writes   writes
	// reports holds the reports of servers that other nodes should know.
	reports selfreport.Outbox
	// relayedReports holds the reports for the nodes through which they came.
	relayedReports chan relayedReport
	// work tells other nodes what this one has under way at servers, and the other way round.
	work   *workshare.Exchange
	guards *connguard.Group
	// isStopping is set once the shutdown has begun.
	isStopping atomic.Bool
}

// stores holds a client of the store for each duty, which counts its calls.
type stores struct {
	mirror, announcement, relayedWrites, rollouts, crashReports, serverReports *platform.Store
}

// writes holds the relayed store clients of the duties that write.
type writes struct {
	rollouts, crashReports, serverReports *writerelay.Store
}

// New returns a node; it makes no calls and opens no listeners until Run is called.
func New(opts Options) *Node {
	n := &Node{opts: opts, log: opts.Log, metrics: metric.New(), backends: backend.NewSet(backend.Locality{Node: opts.Settings.Node, FailureDomain: opts.Settings.FailureDomain, Regions: opts.Settings.Regions}), collectors: make(map[route.Service][]nodelist.Node), relayedReports: make(chan relayedReport, maxRelayedReports)}
	n.crashes = crashes.NewTracker(crashes.Options{ProbeDelay: n.probeDelay, RewriteDelay: n.rewriteDelay})
	n.settings.Store(&opts.Settings)
	n.guards = n.newGuards()
	n.nodes.Store(&[]nodelist.Node{})
	n.transport = tcp.NewTransport(opts.Network)
	store := platform.NewStore(opts.Settings.Store.Address, n.transport)
	n.stores = stores{
		mirror: n.countCalls(store, "mirror"), announcement: n.countCalls(store, "announcement"), rollouts: n.countCalls(store, "roll-outs"),
		relayedWrites: n.countCalls(store, "relayed-writes"), crashReports: n.countCalls(store, "crash-reports"), serverReports: n.countCalls(store, "server-reports"),
	}
	bounds := opts.Settings.Bounds
	n.activeConfig = inforce.New(inforce.Options{
		Decode:             platform.DecodeConfig,
		MaxRevocationDelay: bounds.MaxRevocationDelay, MaxApplyDelay: bounds.MaxApplyDelay, Now: opts.Now, Log: opts.Log,
	})
	n.peers = &http.Client{Transport: n.transport}
	storePaths := storepath.New(storepath.Options{
		Self: opts.Settings.Node, FailureDomain: opts.Settings.FailureDomain, Store: n.stores.mirror, Client: n.peers,
		Nodes: n.nodes.Load, Log: opts.Log, CountRead: n.countStoreRead,
	})
	restored := make(chan struct{}, 1)
	n.mirror = mirror.New(mirror.Options{
		Upstream: storePaths.Next, ExpiringPrefix: platform.PrefixServers, RewrittenPrefix: nodelist.Prefix, Changed: n.applyChanges,
		Confirmed: n.activeConfig.ConfirmCurrent, Now: opts.Now, Log: opts.Log,
		Restored: func() {
			select {
			case restored <- struct{}{}:
			default:
			}
		},
	})
	paths := new(tunnel.Paths)
	n.dialer = tunnel.NewDialer(tunnel.DialerOptions{
		Network: opts.Network, Paths: paths, Log: opts.Log, CountTunnel: n.countTunnel,
		OnSilent: func() { n.pool.DropSilent() },
		Helpers:  tunnel.NewHelpers(opts.Settings.Node, opts.Settings.FailureDomain, opts.Settings.Regions, n.nodes.Load),
	})
	n.tunnels = tunnel.NewHandler(tunnel.HandlerOptions{
		Network: opts.Network, Paths: paths, TakesRequests: n.takesRequests, IsStopping: n.isStopping.Load,
	})
	n.pool = upstream.NewPool(upstream.Options{
		Network: n.dialer, AnswerID: platform.AnswerID, CountDial: n.countDial, IsUsable: n.dialer.IsUsable, MayCarry: n.dialer.MayCarry, CheckPath: n.dialer.Check,
	})
	relayed := func(direct *platform.Store) *writerelay.Store {
		return &writerelay.Store{Direct: direct, Relays: storePaths.Relays, Client: n.peers}
	}
	n.writes = writes{
		rollouts: relayed(n.stores.rollouts), crashReports: relayed(n.stores.crashReports), serverReports: relayed(n.stores.serverReports),
	}
	n.announcer = &nodelist.Announcer{
		Store: relayed(n.stores.announcement), MinLease: opts.Settings.Store.MinLease, Log: opts.Log,
		Node: nodelist.Node{
			ID: opts.Settings.Node, FailureDomain: opts.Settings.FailureDomain, Callers: opts.Settings.Listen.Callers,
			Peers: opts.Settings.Listen.Peers, CPU: opts.Settings.Resources.CPU, Bandwidth: opts.Settings.Resources.Bandwidth, SharesWork: true,
		},
		NodeCount: n.countNodes,
		Restored:  restored, KeepsMissing: n.mirror.HasRecentOutage, HasStoreAnswered: n.mirror.HasStoreAnswered,
		IsListed: func() bool { return n.mirror.Get(nodelist.Prefix+string(opts.Settings.Node)).Version > 0 },
	}
	n.answerMemory, n.requestMemory = membudget.New(defaultAnswerMemory), membudget.New(BodyMemory(opts.Settings.Resources))
	if limit := opts.Settings.Resources.MemoryBytes; limit > 0 {
		n.answerMemory = membudget.New(int64(answerMemoryShare * float64(limit)))
	}
	n.rollouts = versionrollout.NewTracker(versionrollout.TrackerOptions{
		Node: opts.Settings.Node, Exposure: bounds.ExposureShare, ExposureSlack: bounds.ExposureSlack, SessionTimeout: bounds.SessionTimeout, NodeCount: n.countNodes, Log: opts.Log,
		HasServer: func(service route.Service, version route.ServiceVersion) bool {
			return n.backends.PoolOf(service, version, false).HasPresent()
		},
	})
	n.gateway = gateway.New(gateway.Options{
		Node: opts.Settings.Node, HeaderCodec: platform.HeaderCodec{}, Pool: n.pool, Backends: n.backends, Configs: n.activeConfig, Versions: n.rollouts,
		RetryBudget: retrybudget.New(retrybudget.Options{
			Ratio: bounds.RetryRatio, Slack: bounds.RetrySlack, Window: bounds.RetryWindow, NodeCount: n.countNodes,
		}),
		Crashes:       n.crashes,
		RequestMemory: n.requestMemory,
		AnswerMemory:  n.answerMemory,
		ModelPolicy:   gateway.Cascade{MinConfidence: []int{60, 55, 45}}, FailureDomain: opts.Settings.FailureDomain, NodeCount: n.countNodes, RecentNodeCount: n.countRecentNodes,
		Reports: &n.reports, RelayReport: n.relayReport,
		Log: opts.Log, Metrics: n.metrics,
	})
	n.work = n.newWorkExchange()
	return n
}

// BodyMemory returns the memory in bytes that a node has for the bodies of callers' requests.
func BodyMemory(resources site.ResourceLimits) int64 {
	if resources.MemoryBytes <= 0 {
		return defaultRequestMemory
	}
	return int64(requestMemoryShare * float64(resources.MemoryBytes))
}

// Run serves until ctx ends, and then shuts down gracefully within the grace period.
func (n *Node) Run(ctx context.Context) error {
	n.resources().LimitRuntime()
	n.log.WithFields(log.Fields{
		"node": string(n.opts.Settings.Node), "failure_domain": string(n.opts.Settings.FailureDomain),
		"callers": n.opts.Settings.Listen.Callers, "store": n.opts.Settings.Store.Address,
	}).Info("node starts")
	servers, err := n.listen(ctx)
	if err != nil {
		return err
	}
	// Duties outlive ctx because the graceful shutdown still needs the store.
	duties, endDuties := context.WithCancel(context.WithoutCancel(ctx))
	super := supervisor.New(n.log)
	super.Add(supervisor.Duty{Name: "mirror", Run: n.mirror.Run})
	super.Add(supervisor.Duty{Name: "announcement", Run: n.announcer.Run})
	super.Add(supervisor.Duty{Name: "roll-outs", Run: n.runRollouts})
	super.Add(supervisor.Duty{Name: "crash-reports", Run: n.shareCrashReports})
	super.Add(supervisor.Duty{Name: "server-reports", Run: n.shareReports})
	super.Add(supervisor.Duty{Name: "relayed-reports", Run: n.tellRelayedReports})
	super.Add(supervisor.Duty{Name: "work-exchange", Run: n.work.Run})
	super.Add(supervisor.Duty{Name: "connections", Run: func(ctx context.Context) error {
		return sleep.Every(ctx, n.pool.SweepInterval(), n.pool.Sweep)
	}})
	super.Add(supervisor.Duty{Name: "callers-connections", Run: n.guards.Run})
	for _, s := range servers {
		super.Add(supervisor.Duty{Name: s.name, Run: s.run})
	}
	ended := make(chan error, 1)
	go func() { ended <- super.Run(duties) }()
	select {
	case <-ctx.Done():
		n.stop()
	case err = <-ended:
		ended <- err
	}
	endDuties()
	<-ended
	n.pool.Close()
	n.dialer.Close()
	n.tunnels.Close()
	n.transport.CloseIdleConnections()
	n.log.Info("node ends")
	return nil
}

// stop shuts the listener for callers down and waits for in-flight requests to complete, at most for the grace period.
func (n *Node) stop() {
	begin, grace := time.Now(), n.settings.Load().Bounds.GracePeriod
	share := func(part float64) time.Duration { return time.Duration(part * float64(grace)) }
	n.isStopping.Store(true)
	n.gateway.Stop(begin.Add(share(acceptAllShare)), begin.Add(share(shutdownShare)))
	n.log.WithField("running", n.gateway.InFlight()).Info("node stops")
	ctx, cancel := context.WithDeadline(context.Background(), begin.Add(share(shutdownShare)))
	defer cancel()
	if err := n.announcer.Leave(ctx); err != nil {
		n.log.WithError(err).Warn("could not remove node from the list; its lease will expire")
	}
	sleep.For(ctx, time.Until(begin.Add(share(acceptConnectionsShare))))
	if err := n.guards.Drain(ctx, callersListener); err != nil {
		n.log.WithField("running", n.gateway.InFlight()).WithError(err).Warn("requests aborted at the end of the grace period")
	}
	n.tunnels.Wait(ctx)
	n.guards.LogClosed()
	n.log.WithField("running", n.gateway.InFlight()).Info("node stopped")
}

// httpServer is an HTTP server with its open listener.
type httpServer struct {
	name     string
	listener net.Listener
	server   *http.Server
}

func (s *httpServer) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer stop()
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		// Serve returns before a graceful shutdown is complete.
		<-ctx.Done()
		return ctx.Err()
	}
	return Error.Wrap(err)
}

// listen opens the node's listeners.
func (n *Node) listen(ctx context.Context) ([]*httpServer, error) {
	at := n.opts.Settings.Listen
	var servers []*httpServer
	for _, s := range []struct {
		name, address string
		handler       http.Handler
	}{
		{callersListener, at.Callers, n.gateway},
		{"peers", at.Peers, n.peerHandler()},
		{"readiness", at.Readiness, platform.ReadinessHandler(n.isReady)},
		{"addresses", at.Addresses, platform.AddressHandler(n.addressesFor)},
		{"metrics", at.Metrics, n.metricsHandler()},
	} {
		if s.address == "" {
			continue
		}
		listener, err := n.opts.Network.Listen(ctx, s.address)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		servers = append(servers, n.guard(s.name, listener, s.handler))
	}
	return servers, nil
}

// peerHandler serves the requests of other nodes.
func (n *Node) peerHandler() http.Handler {
	mux := http.NewServeMux()
	relay.Handle(mux, n.mirror, n.countRelayed)
	rolloutrpc.Handle(mux, n.rollouts)
	writerelay.Handle(mux, n.stores.relayedWrites)
	reportrelay.Handle(mux, n.hearRelayedReport)
	workshare.Handle(mux, n.work)
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Method == http.MethodConnect {
			n.tunnels.ServeHTTP(w, req)
			return
		}
		mux.ServeHTTP(w, req)
	})
}

// takesRequests reports whether an address is that of a server that takes requests from this node.
func (n *Node) takesRequests(address string) bool {
	server, ok := n.backends.AtAddress(address)
	if !ok {
		return false
	}
	verdict := server.Admission(n.countRecentNodes(), time.Now()).Verdict
	return verdict != selfreport.Leaving && verdict != selfreport.Paused && !n.backends.IsEvacuated(server.FailureDomain)
}

// countStoreRead counts a read of the store's contents.
func (n *Node) countStoreRead(isPeer bool, outcome storepath.ReadOutcome) {
	path := "direct"
	if isPeer {
		path = "peer"
	}
	n.metrics.Counter("monsoonrail_edge_store_reads", metric.Label{Name: "path", Value: path}, metric.Label{Name: "outcome", Value: string(outcome)}).Inc(1)
}

// countRelayed counts an answer to a node that reads the store through this one.
func (n *Node) countRelayed(what relay.Served, bytes int) {
	label := metric.Label{Name: "what", Value: string(what)}
	n.metrics.Counter("monsoonrail_edge_store_relayed", label).Inc(1)
	n.metrics.Counter("monsoonrail_edge_store_relayed_bytes", label).Inc(int64(bytes))
}

// countDial counts a connection to a server by the outcome of opening it.
func (n *Node) countDial(outcome tcp.DialOutcome) {
	n.metrics.Counter("monsoonrail_edge_server_dials", metric.Label{Name: "outcome", Value: string(outcome)}).Inc(1)
}

// countTunnel counts a connection to a server that this node asked another one to open.
func (n *Node) countTunnel(outcome tcp.DialOutcome) {
	n.metrics.Counter("monsoonrail_edge_server_tunnels", metric.Label{Name: "outcome", Value: string(outcome)}).Inc(1)
}

// countCalls returns a client of the store that counts its calls by the duty that makes them.
func (n *Node) countCalls(store *platform.Store, duty string) *platform.Store {
	return store.WithCounter(func(kind platform.CallKind, isFailure bool) {
		n.metrics.Counter("monsoonrail_edge_store_calls", metric.Label{Name: "duty", Value: duty}, metric.Label{Name: "kind", Value: string(kind)},
			metric.Label{Name: "failed", Value: strconv.FormatBool(isFailure)}).Inc(1)
	})
}

// metricsHandler serves the node's metrics under /metrics.
func (n *Node) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, req *http.Request) {
		n.metrics.Gauge("monsoonrail_edge_running_requests").Update(n.gateway.InFlight())
		n.metrics.Gauge("monsoonrail_edge_answer_memory_bytes").Update(n.answerMemory.Used())
		n.metrics.Gauge("monsoonrail_edge_request_memory_bytes").Update(n.requestMemory.Used())
		n.guards.UpdateGauges()
		n.metrics.Gauge("monsoonrail_edge_tunnels_for_others").Update(int64(n.tunnels.Open()))
		n.metrics.Gauge("monsoonrail_edge_servers").Update(int64(n.backends.Len()))
		n.metrics.Gauge("monsoonrail_edge_evacuated_domains").Update(int64(n.countEvacuations()))
		n.metrics.Gauge("monsoonrail_edge_cold_servers").Update(int64(n.backends.CountCold(time.Now())))
		n.updateWorkGauges(time.Now())
		n.metrics.Gauge("monsoonrail_edge_nodes").Update(int64(n.countNodes()))
		n.metrics.Gauge("monsoonrail_edge_configuration_age_milliseconds").Update(n.activeConfig.ConfirmationAge().Milliseconds())
		if table := n.activeConfig.Current(); table != nil {
			n.metrics.Gauge("monsoonrail_edge_configuration_revision").Update(int64(table.Config.Revision))
		}
		n.metrics.ServeHTTP(w, req)
	})
	return mux
}

// isReady reports whether the node has a configuration and servers and isn't stopping.
func (n *Node) isReady() bool {
	return !n.isStopping.Load() && n.activeConfig.Current() != nil && n.backends.Len() > 0
}

// applyChanges applies the changed keys of the store.
func (n *Node) applyChanges(keys []string) {
	var servers, nodes, reports, evacuations bool
	for _, key := range keys {
		switch {
		case key == platform.KeyConfig:
			n.applyConfig(n.mirror.Get(key))
		case strings.HasPrefix(key, platform.PrefixEvacuations):
			evacuations = true
		case strings.HasPrefix(key, platform.PrefixServers):
			servers = true
		case strings.HasPrefix(key, nodelist.Prefix):
			nodes = true
		case strings.HasPrefix(key, crashes.KeyPrefix):
			n.loadCrashReport(key)
		case isReportKey(key):
			reports = true
		default:
			n.loadRolloutKey(key)
		}
	}
	if evacuations {
		n.loadEvacuations(time.Now())
	}
	if servers {
		n.loadServers()
	}
	if nodes {
		n.loadNodes()
	}
	if servers || reports {
		n.loadReports()
	}
}

// loadServers replaces the backend servers by those in the store; invalid entries are skipped.
func (n *Node) loadServers() {
	servers := n.serverEntries.decode(n.mirror.List(platform.PrefixServers), platform.DecodeServer, func(pair kv.Pair, err error) {
		n.log.WithError(err).Warn("ignored invalid server entry")
	})
	for _, address := range n.backends.Replace(servers) {
		n.pool.CloseIdle(address)
	}
	n.setWorkServers(servers)
	n.log.WithField("servers", len(servers)).Info("servers changed")
}

// loadNodes replaces the list of nodes by the one in the store; invalid entries are skipped.
func (n *Node) loadNodes() {
	var nodes []nodelist.Node
	listed := n.nodeEntries.decode(n.mirror.List(nodelist.Prefix), nodelist.Decode, func(pair kv.Pair, err error) {
		n.log.WithField("key", pair.Key).WithError(err).Warn("ignored invalid node entry")
	})
	for _, node := range listed {
		if !node.IsLeaving {
			nodes = append(nodes, node)
		}
	}
	rank := 0
	for _, node := range nodes {
		if node.ID < n.opts.Settings.Node {
			rank++
		}
	}
	n.backends.SetPlace(rank, len(nodes))
	n.nodes.Store(&nodes)
	n.log.WithField("nodes", len(nodes)).Info("nodes changed")
}

// countNodes returns the number of nodes, at least 1.
func (n *Node) countNodes() int { return max(1, len(*n.nodes.Load())) }

// countRecentNodes returns the largest number of nodes in the last seconds, at least 1.
func (n *Node) countRecentNodes() int { return n.nodePeak.Update(n.countNodes(), time.Now()) }
