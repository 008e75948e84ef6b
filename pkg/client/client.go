// Package client is the client library for callers: it looks up nodes and caches their addresses, retries calls only where that is
// safe, and resumes interrupted streams.
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
	// defaultFirstByteTimeout bounds the wait for the response header before a call with a key is sent again.
	defaultFirstByteTimeout = 6 * time.Second
	// keylessTimeoutFactor multiplies the first-byte timeout of a chat without a key.
	keylessTimeoutFactor = 3
	// maxTimeoutDoublings bounds how often the first-byte timeout is doubled.
	maxTimeoutDoublings = 4
	// defaultStreamSilence bounds the time between two bytes of a stream before it is resumed.
	defaultStreamSilence = 3 * time.Second
	// firstBackoff is the backoff before the second try if the answer has no Retry-After.
	firstBackoff = 20 * time.Millisecond
	// maxResponseMargin bounds how much earlier than the caller's deadline the node's deadline is, so that its rejection arrives in
	// time; the margin is a tenth of the remaining time if that is less.
	maxResponseMargin = 250 * time.Millisecond
	// maxBackoff bounds the backoff between tries.
	maxBackoff = 2 * time.Second
	// avoidDuration is how long an unreachable node is avoided.
	avoidDuration = 5 * time.Second
	// maxAnswerBytes bounds the body of an answer that isn't streamed.
	maxAnswerBytes = 64 << 20
	// maxProblemBytes bounds a problem document.
	maxProblemBytes = 64 << 10
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// keyBatch is the number of keys requested at once.
	keyBatch = 64
)

// Options configures a client.
type Options struct {
	// Nodes are base URLs of nodes from which the addresses are requested, such as "http://10.0.0.1:8080"; at least one.
	Nodes []string
	// Key is the team's bearer key.
	Key string
	// FailureDomain is where the caller runs; if empty, the nodes choose the order of failure domains.
	FailureDomain api.FailureDomain
	// HTTP sends the calls; nil uses a new HTTP client. It must have no Timeout, which would interrupt streams.
	HTTP *http.Client
	// MaxTries bounds how often a call is sent; 0 means 5.
	MaxTries int
	// FirstByte bounds the wait for the response header before a call is sent again, if it has a key or is repeatable; 0 means 6 s. A
	// chat without a key waits three times as long.
	FirstByte time.Duration
	// StreamSilence bounds the time between two bytes of a stream before it is resumed; 0 means 3 s.
	StreamSilence time.Duration
	// WithoutKeys disables requesting keys from nodes; a chat that may have been sent is then sent again without a key, and a plain
	// call that is not repeatable is sent once.
	WithoutKeys bool
}

// Client calls a fleet. It is safe for concurrent use.
type Client struct {
	opts      Options
	addresses *addressBook

	mu sync.Mutex
	// keys holds the unused issued keys by node.
	keys map[api.NodeID][]api.IdempotencyKey
}

// New returns a client without opening connections. Its errors are *ErrBadOptions.
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
	c.addresses = newAddressBook(opts)
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
		o.FirstByte = defaultFirstByteTimeout
	}
	if o.StreamSilence == 0 {
		o.StreamSilence = defaultStreamSilence
	}
	return o
}

// Close closes idle connections.
func (c *Client) Close() { c.opts.HTTP.CloseIdleConnections() }

// Session pins the calls that share it to one version. The zero value is a session that has not begun. If a call is rejected because
// the version is withdrawn or no longer allowed to the team, the call returns the rejection, the session ends, and the next call
// begins a new one.
type Session struct {
	mu    sync.Mutex
	token api.SessionToken
	// version is the version of the answer that carried the token; zero if unknown.
	version api.VersionID
}

// NewSession returns a session that continues with the token of an earlier answer; an empty token begins a new session.
func NewSession(token api.SessionToken) *Session { return &Session{token: token} }

// Token returns the token of the next call; empty before the first answer and after the session has ended.
func (s *Session) Token() api.SessionToken {
	token, _ := s.current()
	return token
}

// current returns the token and its version.
func (s *Session) current() (api.SessionToken, api.VersionID) {
	if s == nil {
		return "", api.VersionID{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.token, s.version
}

// update stores the token of an answer, if it has one.
func (s *Session) update(header http.Header) {
	token := header.Get(api.HeaderSession)
	if s == nil || token == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.token = api.SessionToken(token)
	s.version = api.ParseVersionID(header.Get(api.HeaderVersion))
}

// clear removes a token, unless another call has stored a newer one meanwhile.
func (s *Session) clear(token api.SessionToken) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.token == token {
		s.token, s.version = "", api.VersionID{}
	}
}

// Info describes how a call was answered.
type Info struct {
	RequestID api.RequestID
	// Node is the node that answered last.
	Node api.NodeID
	// Version is the model and version that answered; zero for a plain service.
	Version api.VersionID
	// Pinned is the version of the session token that the call carried; zero if it carried none.
	Pinned api.VersionID
	// RepinnedFrom is the withdrawn version from which the session was moved to another one; zero if it was not moved.
	RepinnedFrom api.VersionID
	// Tries counts the tries to send the call, also those that failed before a byte was sent.
	Tries int
	// Resumes counts how often a stream was resumed over another connection.
	Resumes int
}

func (i *Info) update(header http.Header) {
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
