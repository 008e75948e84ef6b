// Package caller serves the API that callers use: chat completions, plain services, addresses, answers and keys.
package caller

import (
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/answer"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/metric"
	"github.com/monsoonrail/monsoonrail/internal/router"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = 1 << 20
	// bodyTimeout bounds the time to read a request's body.
	bodyTimeout = 10 * time.Second
	// writeTimeout bounds one write to a caller.
	writeTimeout = 10 * time.Second
	// heartbeatInterval is the interval of comments in a stream without tokens, which show the caller that the connection is alive.
	heartbeatInterval = time.Second
	// maxKeysPerCall bounds the idempotency keys that one call issues.
	maxKeysPerCall = 100
)

// Router runs requests.
type Router interface {
	Chat(call router.ChatCall) (*answer.Answer, error)
	Call(call router.PlainCall) (*answer.Answer, error)
}

// Configs returns the node's current configuration; nil before the first.
type Configs interface {
	Current() *fleet.Config
}

// Addresses returns the nodes that a caller in a failure domain should use.
type Addresses interface {
	AddressesFor(domain api.FailureDomain) api.Addresses
}

// Members looks up live nodes in the membership list.
type Members interface {
	// FindURL returns the base URL of a node; ok is false if that incarnation is not known to be live.
	FindURL(node api.NodeID, incarnation api.Incarnation) (url string, ok bool)
}

// Issuer issues idempotency keys under which only this incarnation may run a request.
type Issuer interface {
	Issue(team api.Team, now time.Time) api.IdempotencyKey
}

// Options configures a server.
type Options struct {
	Node        api.NodeID
	Incarnation api.Incarnation
	// Log gets a line for each rejection, each forwarded request and each caller that reattaches or disconnects early; nil disables
	// logging.
	Log       log.Interface
	Metrics   *metric.Set
	Configs   Configs
	Router    Router
	Answers   *answer.Store
	Addresses Addresses
	Members   Members
	Issuer    Issuer
	// ForwardClient is the HTTP client for forwarding to peers. It must have no overall timeout and opens a connection for each request:
	// pooled connections may have gone silent, and forwarding is rare.
	ForwardClient *http.Client
}

// Server serves the caller API.
type Server struct {
	opts Options
	auth authenticator
}

// NewServer returns a server.
func NewServer(opts Options) *Server {
	return &Server{opts: opts}
}

// Handler returns the routes of the caller API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.withTeam(s.chat))
	mux.HandleFunc("/v1/services/{service}/{path...}", s.withTeam(s.plain))
	mux.HandleFunc("GET /v1/answers/{"+answerPathValue+"}", s.withTeam(s.answers))
	mux.HandleFunc("POST /v1/keys", s.withTeam(s.keys))
	mux.HandleFunc("GET /v1/addresses", s.withTeam(s.addresses))
	mux.HandleFunc("/", s.notFound)
	return mux
}

// teamHandler handles a request of an authenticated team.
type teamHandler func(w http.ResponseWriter, req *http.Request, team api.Team)

func (s *Server) withTeam(next teamHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		cfg := s.opts.Configs.Current()
		if cfg == nil {
			problem := api.NewProblem(api.ReasonConfigurationStale, http.StatusServiceUnavailable, api.OutcomeNotRun,
				"this node holds no configuration yet")
			problem.RetryAfter = time.Second
			s.rejectBeforeKeyCheck(w, req, problem)
			return
		}
		team, ok := s.auth.team(cfg, req.Header.Get("Authorization"))
		if !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			s.rejectBeforeKeyCheck(w, req, api.NewProblem(api.ReasonUnauthenticated, http.StatusUnauthorized, api.OutcomeNotRun,
				"no key, or one that is not known"))
			return
		}
		next(w, req, team)
	}
}

func (s *Server) notFound(w http.ResponseWriter, req *http.Request) {
	s.reject(w, api.NewProblem(api.ReasonBadRequest, http.StatusNotFound, api.OutcomeNotRun,
		"nothing is served at this method and path; see docs/API.md"))
}

func (s *Server) addresses(w http.ResponseWriter, req *http.Request, _ api.Team) {
	domain := api.FailureDomain(req.URL.Query().Get("failure_domain"))
	writeJSON(w, http.StatusOK, s.opts.Addresses.AddressesFor(domain))
}
