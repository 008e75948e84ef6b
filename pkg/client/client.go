// Package client is the caller's side of monsoonrail: it looks up nodes and keeps their addresses, sends a call again
// only where that is safe, and resumes streams that break.
package client

import (
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// defaultMaxTries bounds how often a call is sent.
	defaultMaxTries = 5
	// defaultFirstByte bounds the wait for the header of an answer before a keyed call is sent again.
	defaultFirstByte = 6 * time.Second
	// keylessPatience is how much longer a chat without a key waits for the header.
	keylessPatience = 3
	// maxDoublings bounds how often that wait is doubled.
	maxDoublings = 4
	// defaultStreamSilence bounds the time between two bytes of a stream before it is resumed.
	defaultStreamSilence = 3 * time.Second
	// firstBackoff is the wait before the second try where the answer names none.
	firstBackoff = 20 * time.Millisecond
	// wayBack is how much earlier than the caller's own deadline a node is to give up, so that its refusal comes in time;
	// a tenth of what is left where that is less.
	wayBack = 250 * time.Millisecond
	// maxBackoff bounds the wait between tries.
	maxBackoff = 2 * time.Second
	// avoidFor is how long a node that did not answer is tried last.
	avoidFor = 5 * time.Second
	// maxAnswerBytes bounds a whole answer.
	maxAnswerBytes = 64 << 20
	// maxProblemBytes bounds a problem document.
	maxProblemBytes = 64 << 10
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// keyBatch is the number of keys asked for at once.
	keyBatch = 64
)

// Options describe a client.
type Options struct {
	// Nodes are base URLs of nodes to ask for the addresses, such as "http://10.0.0.1:8080"; at least one.
	Nodes []string
	// Key is the team's bearer key.
	Key string
	// FailureDomain is where the caller runs; empty leaves nearness to the nodes.
	FailureDomain api.FailureDomain
	// HTTP sends the calls; nil means a client of its own. It must have no Timeout, which would cut streams.
	HTTP *http.Client
	// MaxTries bounds how often a call is sent; 0 means 5.
	MaxTries int
	// FirstByte bounds the wait for the header of an answer before a call is sent again, if it has a key or is repeatable;
	// 0 means 6 s. A chat without a key waits three times as long.
	FirstByte time.Duration
	// StreamSilence bounds the time between two bytes of a stream before it is resumed; 0 means 3 s.
	StreamSilence time.Duration
	// WithoutKeys keeps the client from asking for issued keys; a chat that may have been sent is then sent again
	// without a key, and a plain call that may not be repeated is sent once.
	WithoutKeys bool
}

// Client calls a fleet. It is safe for concurrent use.
type Client struct {
	opts Options
	book *book

	mu sync.Mutex
	// keys holds the issued keys that are not used yet, by node.
	keys map[api.NodeID][]api.IdempotencyKey
}

// New returns a client; it connects to nothing yet.
func New(opts Options) (*Client, error) {
	if len(opts.Nodes) == 0 {
		return nil, Error.Wrap(&ErrBadOptions{Detail: "Nodes is empty"})
	}
	nodes := make([]string, len(opts.Nodes))
	for i, node := range opts.Nodes {
		parsed, err := url.Parse(node)
		if err != nil || parsed.Host == "" {
			return nil, Error.Wrap(&ErrBadOptions{Detail: "Nodes must hold URLs such as http://10.0.0.1:8080, not " + node})
		}
		nodes[i] = strings.TrimSuffix(node, "/")
	}
	opts.Nodes = nodes
	opts = opts.withDefaults()
	c := &Client{opts: opts, keys: make(map[api.NodeID][]api.IdempotencyKey)}
	c.book = newBook(opts)
	return c, nil
}

func (o Options) withDefaults() Options {
	if o.HTTP == nil {
		o.HTTP = &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 64,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		}}
	}
	if o.MaxTries == 0 {
		o.MaxTries = defaultMaxTries
	}
	if o.FirstByte == 0 {
		o.FirstByte = defaultFirstByte
	}
	if o.StreamSilence == 0 {
		o.StreamSilence = defaultStreamSilence
	}
	return o
}

// Close closes idle connections.
func (c *Client) Close() { c.opts.HTTP.CloseIdleConnections() }

// Session pins the calls that share it to one version. The zero value is a session that has not begun. A call that is
// refused because the version takes no new work any more ends the session, and the next one begins another: the caller is
// told by the refusal.
type Session struct {
	mu    sync.Mutex
	token api.SessionToken
	// version is that of the answer which brought the token; zero if it is not known.
	version api.VersionID
}

// NewSession returns a session that goes on with a token of an earlier answer; an empty one begins a new session.
func NewSession(token api.SessionToken) *Session { return &Session{token: token} }

// Token returns the token that the next call carries; empty before the first answer.
func (s *Session) Token() api.SessionToken {
	token, _ := s.pin()
	return token
}

// pin returns the token and its version.
func (s *Session) pin() (api.SessionToken, api.VersionID) {
	if s == nil {
		return "", api.VersionID{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.token, s.version
}

// take keeps the token that an answer carries.
func (s *Session) take(header http.Header) {
	token := header.Get(api.HeaderSession)
	if s == nil || token == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.token = api.SessionToken(token)
	s.version = api.ParseVersionID(header.Get(api.HeaderVersion))
}

// end forgets a token, unless another call has brought a newer one meanwhile.
func (s *Session) end(token api.SessionToken) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.token == token {
		s.token, s.version = "", api.VersionID{}
	}
}

// Info tells how a call was answered.
type Info struct {
	RequestID api.RequestID
	// Node is the node that answered last.
	Node api.NodeID
	// Version is the model and version that answered; zero for a plain service.
	Version api.VersionID
	// Pinned is the version of the session token that the call carried; zero if it carried none.
	Pinned api.VersionID
	// RepinnedFrom is the withdrawn version that the session was moved away from; zero if it was not.
	RepinnedFrom api.VersionID
	// Tries counts the times that the call was sent or that sending it was tried.
	Tries int
	// Resumes counts the connections that a stream went on over after the first.
	Resumes int
}

func (i *Info) take(header http.Header) {
	if id := header.Get(api.HeaderRequestID); id != "" {
		i.RequestID = api.RequestID(id)
	}
	if version := header.Get(api.HeaderVersion); version != "" {
		i.Version = api.ParseVersionID(version)
	}
	if from := header.Get(api.HeaderRepinned); from != "" {
		i.RepinnedFrom = api.ParseVersionID(from)
	}
}
