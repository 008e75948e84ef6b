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
	// bodyTimeout bounds the time to a request's whole body.
	bodyTimeout = 10 * time.Second
	// writeTimeout bounds the time that one write to a caller may block.
	writeTimeout = 10 * time.Second
	// heartbeatInterval is how often a stream without tokens carries a comment, so that the caller sees a live connection.
	heartbeatInterval = time.Second
	// maxKeysPerCall bounds the keys that one call issues.
	maxKeysPerCall = 100
)

// Router runs requests.
type Router interface {
	Chat(call router.ChatCall) (*answer.Answer, error)
	Call(call router.PlainCall) (*answer.Answer, error)
}

// Configs yields the newest configuration that the node holds; nil before the first.
type Configs interface {
	Current() *fleet.Config
}

// Addresses yields the nodes that a caller of a failure domain should use.
type Addresses interface {
	AddressesFor(domain api.FailureDomain) api.Addresses
}

// Members finds the node of an incarnation.
type Members interface {
	// FindURL returns the base URL of a live node; ok is false if that incarnation is not known to live.
	FindURL(node api.NodeID, incarnation api.Incarnation) (url string, ok bool)
}

// Issuer makes idempotency keys that only this incarnation may run.
type Issuer interface {
	Issue(team api.Team, now time.Time) api.IdempotencyKey
}

// Options holds what a server is made of.
type Options struct {
	Node        api.NodeID
	Incarnation api.Incarnation
	// Log gets a line for each refusal and each caller that comes back or leaves; nil logs nothing.
	Log       log.Interface
	Metrics   *metric.Set
	Configs   Configs
	Router    Router
	Answers   *answer.Store
	Addresses Addresses
	Members   Members
	Issuer    Issuer
	// ForwardClient is the HTTP client between nodes; it has no overall timeout and opens a connection for each request: kept ones may
	// have gone silent, and requests are forwarded seldom.
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
			s.refuseEarly(w, req, problem)
			return
		}
		team, ok := s.auth.team(cfg, req.Header.Get("Authorization"))
		if !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			s.refuseEarly(w, req, api.NewProblem(api.ReasonUnauthenticated, http.StatusUnauthorized, api.OutcomeNotRun,
				"no key, or one that is not known"))
			return
		}
		next(w, req, team)
	}
}

func (s *Server) notFound(w http.ResponseWriter, req *http.Request) {
	s.refuse(w, api.NewProblem(api.ReasonBadRequest, http.StatusNotFound, api.OutcomeNotRun,
		"nothing is served at this method and path; see docs/API.md"))
}

func (s *Server) addresses(w http.ResponseWriter, req *http.Request, _ api.Team) {
	domain := api.FailureDomain(req.URL.Query().Get("failure_domain"))
	writeJSON(w, http.StatusOK, s.opts.Addresses.AddressesFor(domain))
}
