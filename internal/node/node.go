// Package node assembles a node: the caller API, the request path, the duties that feed it, and the graceful shutdown.
package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/internal/admission"
	"github.com/monsoonrail/monsoonrail/internal/answer"
	"github.com/monsoonrail/monsoonrail/internal/billing"
	"github.com/monsoonrail/monsoonrail/internal/caller"
	"github.com/monsoonrail/monsoonrail/internal/claim"
	"github.com/monsoonrail/monsoonrail/internal/connguard"
	"github.com/monsoonrail/monsoonrail/internal/engine"
	"github.com/monsoonrail/monsoonrail/internal/guard"
	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/metric"
	"github.com/monsoonrail/monsoonrail/internal/noderpc"
	"github.com/monsoonrail/monsoonrail/internal/plain"
	"github.com/monsoonrail/monsoonrail/internal/registry"
	"github.com/monsoonrail/monsoonrail/internal/rollout"
	"github.com/monsoonrail/monsoonrail/internal/router"
	"github.com/monsoonrail/monsoonrail/internal/serverchoice"
	"github.com/monsoonrail/monsoonrail/internal/session"
	"github.com/monsoonrail/monsoonrail/internal/setting"
	"github.com/monsoonrail/monsoonrail/internal/supervisor"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/internal/versionchoice"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// readHeaderTimeout bounds the time to read a request's header.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is how long callers' idle connections stay open.
	idleTimeout = 2 * time.Minute
	// shutdownTimeout bounds the shutdown of the HTTP server after the last request has ended.
	shutdownTimeout = 10 * time.Second
	// incarnationLen is the number of characters of an incarnation's random id.
	incarnationLen = 12
)

// Error is the class of every error of the package.
var Error = errs.Class("node")

// Options configures New.
type Options struct {
	Settings setting.Settings
	Platform Platform
	Network  tcp.Network
	Log      log.Interface
	// LogDropped counts the dropped log lines, for the metrics; nil means that there is no such metric.
	LogDropped func() int64
	// Incarnation is the id of this run of the node. Empty means a new random one, which every node in production needs.
	Incarnation api.Incarnation
	// AdjustRouter changes the router's options, for tests that break a guarantee on purpose; nil changes nothing.
	AdjustRouter func(*router.Options)
	// Seed seeds the node's random sources; 0 means a random seed.
	Seed uint64
}

// Node is the process of one entry VM.
type Node struct {
	opts           Options
	incarnation    api.Incarnation
	log            log.Interface
	metrics        *metric.Set
	registry       *registry.Registry
	answers        *answer.Store
	engines        *engine.Client
	closedConns    *closedConnections
	serverChooser  *serverchoice.Chooser
	versionChooser *versionchoice.Chooser
	guard          *guard.Guard
	gate           *admission.Gate
	cluster        cluster
	rollOuts       *rollout.Store
	peerClient     *noderpc.Client
	batcher        *claim.Batcher
	biller         *billing.Biller
	billHolder     *billing.BatchHolder
	started        time.Time
	// seed seeds every random source of the node.
	seed       uint64
	store      kv.Store
	router     *router.Router
	supervisor *supervisor.Supervisor
	server     *http.Server
	listener   net.Listener
	guards     *connguard.Group
	transport  *http.Transport
	tunnels    tunnels
	rngMu      sync.Mutex
	rng        *rand.Rand
	// draining is set once, at the beginning of the graceful shutdown.
	draining atomic.Bool
	closing  sync.Once

	parts parts
}

// NewIncarnation returns a new random id.
func NewIncarnation() api.Incarnation {
	return api.Incarnation(uuid.NewString()[:8] + uuid.NewString()[:incarnationLen-8])
}

// New assembles a node and starts to listen. The caller must call Run or Close.
func New(ctx context.Context, opts Options) (*Node, error) {
	if err := opts.Settings.Check(); err != nil {
		return nil, err
	}
	n := &Node{
		opts:        opts,
		incarnation: opts.Incarnation,
		started:     time.Now(),
		metrics:     metric.New(),
		registry:    registry.New(),
		closedConns: newClosedConnections(),
		seed:        opts.Seed,
	}
	if n.seed == 0 {
		n.seed = rand.Uint64()
	}
	if n.incarnation == "" {
		n.incarnation = NewIncarnation()
	}
	n.rng = n.newRand(streamRouter)
	n.log = opts.Log.WithFields(log.Fields{"node": opts.Settings.Node.ID, "incarnation": string(n.incarnation)})
	n.supervisor = supervisor.New(n.log)
	n.guards = n.newGuards()
	if opts.LogDropped != nil {
		n.metrics.Registry().GetOrRegister("log_lines_dropped", metrics.NewFunctionalGauge(opts.LogDropped))
	}
	n.makeTunnels()
	n.transport = tcp.NewTransport(tcp.NotifyRemoteClose(n.tunnels.dialer, n.closedConns.add))
	sessions, err := session.NewKeys(secretBytes(opts.Settings.Secrets.Session)...)
	if err != nil {
		n.parts.close()
		return nil, Error.Wrap(err)
	}
	n.engines = engine.NewClient(n.httpClient(), n.httpClientWithoutKeepAlive(n.tunnels.dialer))
	if err := n.makeParts(ctx); err != nil {
		n.parts.close()
		return nil, err
	}
	n.makeRouter(sessions)
	handler, err := n.handler()
	if err != nil {
		n.parts.close()
		return nil, err
	}
	listener, err := opts.Network.Listen(ctx, opts.Settings.Node.Listen)
	if err != nil {
		n.parts.close()
		return nil, Error.Wrap(err)
	}
	n.listener, n.server = n.guardListener(callerAPI, listener, handler)
	n.addDuties()
	return n, nil
}

func secretBytes(secrets []string) [][]byte {
	keys := make([][]byte, len(secrets))
	for i, secret := range secrets {
		keys[i] = []byte(secret)
	}
	return keys
}

func (n *Node) makeRouter(sessions *session.Keys) {
	limits := n.opts.Settings.Caller
	n.answers = answer.NewStore(answer.StoreOptions{
		MaxAnswers: limits.MaxAnswers, MaxBytes: limits.MaxKeptBytes, MaxAnswerBytes: limits.MaxAnswerBytes,
		Retention: limits.KeepAnswers,
	})
	opts := router.Options{
		Node:          n.opts.Settings.Node.NodeID(),
		Incarnation:   n.incarnation,
		FailureDomain: api.FailureDomain(n.opts.Settings.Node.FailureDomain),
		Log:           n.log,
		Metrics:       n.metrics,
		Configs:       n.parts.configs,
		Registry:      n.registry,
		Answers:       n.answers,
		Engines:       n.engines,
		Plain:         plain.NewClient(n.httpClient(), n.httpClientWithoutKeepAlive(n.tunnels.dialer)),
		Sessions:      sessions,
		Versions:      n.parts.versions,
		Ratings:       n.parts.ratings,
		Trials:        n.cluster.trials,
		Copier:        n.parts.copier,
		Random:        n.randomFloat,
		Servers:       n.parts.servers,
		Admission:     n.parts.admission,
		Bills:         n.parts.bills,
		Keys:          n.parts.keys,
		Guard:         n.guard,
		Pools:         n,
	}
	if n.opts.AdjustRouter != nil {
		n.opts.AdjustRouter(&opts)
	}
	n.router = router.New(opts)
}

// randomFloat returns a random number in [0, 1).
func (n *Node) randomFloat() float64 {
	n.rngMu.Lock()
	defer n.rngMu.Unlock()
	return n.rng.Float64()
}

// httpClient returns an HTTP client over the node's transport to servers, without an overall timeout.
func (n *Node) httpClient() *http.Client {
	return &http.Client{Transport: n.transport, CheckRedirect: returnRedirect}
}

// httpClientWithoutKeepAlive returns an HTTP client that opens a connection for each request. Remote closes of its connections
// aren't reported.
func (n *Node) httpClientWithoutKeepAlive(network tcp.Network) *http.Client {
	return &http.Client{Transport: tcp.NewTransportWithoutKeepAlive(network), CheckRedirect: returnRedirect}
}

// returnRedirect makes the client return a redirect response instead of following it.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (n *Node) handler() (http.Handler, error) {
	callers := caller.NewServer(caller.Options{
		Node:          n.opts.Settings.Node.NodeID(),
		Incarnation:   n.incarnation,
		Log:           n.log,
		Metrics:       n.metrics,
		Configs:       n.parts.configs,
		Router:        n.router,
		Answers:       n.answers,
		Addresses:     n,
		Members:       n.parts.members,
		Issuer:        n.parts.issuer,
		ForwardClient: n.httpClientWithoutKeepAlive(n.opts.Network),
	})
	mux := http.NewServeMux()
	mux.Handle("/", callers.Handler())
	if err := n.handleOperators(mux); err != nil {
		return nil, err
	}
	mux.HandleFunc("GET /healthz", n.health)
	return mux, nil
}

// health answers 200 while new callers may be sent to this node.
func (n *Node) health(w http.ResponseWriter, _ *http.Request) {
	if n.draining.Load() || !n.supervisor.IsHealthy() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (n *Node) addDuties() {
	n.supervisor.Add(supervisor.Duty{Name: callerAPI, Run: n.serve})
	n.supervisor.Add(supervisor.Duty{Name: "connections", Run: n.guards.Run})
	n.supervisor.Add(supervisor.Duty{Name: "sweep", Run: n.router.Sweep})
	n.supervisor.Add(supervisor.Duty{Name: "load-poll", Run: n.pollLoads})
	n.supervisor.Add(supervisor.Duty{Name: "server-ends", Run: n.probeClosedConnections})
	n.supervisor.Add(supervisor.Duty{Name: "vm-list", Run: n.parts.vms.Run})
	n.supervisor.Add(supervisor.Duty{Name: "discovery", Run: n.discover})
	n.supervisor.Add(supervisor.Duty{Name: "beliefs", Run: n.logStateChanges})
	for _, duty := range n.parts.duties {
		n.supervisor.Add(duty)
	}
}

// Incarnation returns the id of this run of the node.
func (n *Node) Incarnation() api.Incarnation { return n.incarnation }
