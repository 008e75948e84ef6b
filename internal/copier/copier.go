// Package copier runs copies of answered requests on a candidate version that is under suspicion in a roll-out, so that
// the version gets evidence without serving callers. The answers of copies are rated, counted and dropped; they are never
// billed, stored or sent to a caller.
package copier

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/engine"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/poison"
	"github.com/monsoonrail/monsoonrail/internal/registry"
	"github.com/monsoonrail/monsoonrail/internal/router"
	"github.com/monsoonrail/monsoonrail/internal/suspect"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// maxConcurrent is the number of copies that run at once on a node.
	maxConcurrent = 8
	// maxQueued bounds the copies that wait to run; further ones are dropped, since a copy of any later request is as good.
	maxQueued = 32
	// copyTimeout bounds the time that a copy runs.
	copyTimeout = time.Minute
	// chunkTimeout bounds the wait for the next chunk.
	chunkTimeout = 10 * time.Second
	// maxAnswer is the maximum size of the text of a copy's answer in bytes.
	maxAnswer = 1 << 20
	// idSuffix is appended to the id of the original request for the id of its copy.
	idSuffix = "-copy"
)

// Trials reserves copies from the budget of a roll-out and counts their outcomes; *trial.Node implements it.
type Trials interface {
	ReserveCopy(service api.Service, control api.VersionID, draw float64) (api.VersionID, bool)
	Dispatched(request api.RequestID, key suspect.Key)
	Answered(request api.RequestID, version api.VersionID, d time.Duration)
	Failed(request api.RequestID, version api.VersionID)
	Discarded(request api.RequestID, version api.VersionID)
}

// Configs returns the configuration, in which versions that the nodes have stopped are withdrawn.
type Configs interface {
	Current() *fleet.Config
}

// Rater queues answers to be rated.
type Rater interface {
	Offer(rated router.RatedAnswer)
}

// Guard limits the spread of requests that crash servers.
type Guard interface {
	Decide(f poison.Fingerprint, now time.Time) (poison.Decision, time.Duration)
	BeginRun(server api.ServerID, f poison.Fingerprint, now time.Time) (end func())
}

// Options configures New.
type Options struct {
	Trials   Trials
	Configs  Configs
	Rater    Rater
	Guard    Guard
	Registry *registry.Registry
	Engines  *engine.Client
	// DetectCrash notifies the guard if a failed copy means that its server crashed.
	DetectCrash func(ctx context.Context, server *registry.Server, err error)
	// Draw returns a random number from 0 to 1; it must be safe for concurrent use.
	Draw func() float64
	Log  log.Interface
}

// Original is a request that a version has answered successfully.
type Original struct {
	ID      api.RequestID
	Team    api.Team
	Service api.Service
	Class   api.Class
	// Version is the version that answered.
	Version     api.VersionID
	Request     api.ChatRequest
	Fingerprint poison.Fingerprint
}

// Copier runs copies in the background.
type Copier struct {
	opts Options
	// copies holds the copies to run; if it is full, further copies are dropped.
	copies chan copyRun
}

// copyRun is a copy that was reserved from the budget.
type copyRun struct {
	original Original
	id       api.RequestID
	version  api.VersionID
}

// New returns a copier.
func New(opts Options) *Copier {
	return &Copier{opts: opts, copies: make(chan copyRun, maxQueued)}
}

// Offer queues a copy of an answered request if a roll-out asks for one. It does not block.
func (c *Copier) Offer(original Original) {
	version, wanted := c.opts.Trials.ReserveCopy(original.Service, original.Version, c.opts.Draw())
	if !wanted {
		return
	}
	run := copyRun{original: original, id: original.ID + idSuffix, version: version}
	c.opts.Trials.Dispatched(run.id, run.key())
	select {
	case c.copies <- run:
	default:
		c.opts.Trials.Discarded(run.id, run.version)
	}
}

func (r copyRun) key() suspect.Key {
	return suspect.Key{Service: r.original.Service, Version: r.version, Class: r.original.Class}
}

// Run runs copies until ctx ends.
func (c *Copier) Run(ctx context.Context) error {
	var running sync.WaitGroup
	for range maxConcurrent {
		running.Go(func() { c.work(ctx) })
	}
	running.Wait()
	return ctx.Err()
}

func (c *Copier) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case run := <-c.copies:
			c.execute(ctx, run)
		}
	}
}

// execute runs a copy on one server, without a retry on another.
func (c *Copier) execute(ctx context.Context, run copyRun) {
	server, ok := c.findServer(run, time.Now())
	if !ok {
		c.opts.Trials.Discarded(run.id, run.version)
		return
	}
	defer server.Acquire()()
	defer c.opts.Guard.BeginRun(server.ID, run.original.Fingerprint, time.Now())()
	began := time.Now()
	text, err := c.generate(ctx, run, server)
	switch {
	case err == nil:
		c.opts.Trials.Answered(run.id, run.version, time.Since(began))
		c.opts.Rater.Offer(router.RatedAnswer{
			RequestID: run.id, Service: run.original.Service, Class: run.original.Class, Version: run.version,
			Choice: router.VersionChoice{First: run.version}, Prompt: run.original.Request.Messages, Answer: text,
		})
	case ctx.Err() == nil && isVersionFault(err):
		c.opts.Trials.Failed(run.id, run.version)
	default:
		c.opts.Trials.Discarded(run.id, run.version)
	}
	if err != nil && ctx.Err() == nil {
		c.opts.Log.WithField("request", run.id).WithField("version", run.version).WithField("server", server.ID).
			WithError(err).Debug("copy failed")
	}
	if engine.IsErrBroken(err) && ctx.Err() == nil {
		c.opts.DetectCrash(ctx, server, err)
	}
}

// isVersionFault reports whether the version may have caused a failure: an error of the engine or a generation that the
// engine abandoned, as opposed to a server that is full, leaving or unreachable.
func isVersionFault(err error) bool {
	refused, ok := engine.AsErrRefused(err)
	return IsErrAbandoned(err) || ok && refused.Cause == "" && refused.Status >= http.StatusInternalServerError
}

// findServer returns the server with the fewest in-flight requests for a copy. It returns false if no server has the version, or if
// the copy may not run: the version is no longer a candidate or not allowed for the team, or the request is suspected of crashing
// servers.
func (c *Copier) findServer(run copyRun, now time.Time) (*registry.Server, bool) {
	scope := fleet.Scope{Team: run.original.Team, Service: run.original.Service, Class: run.original.Class, Version: run.version}
	config := c.opts.Configs.Current()
	if config.StateOf(scope, now) != fleet.StateCandidate || !config.PolicyFor(scope, now).IsAllowed(run.version) {
		return nil, false
	}
	if decision, _ := c.opts.Guard.Decide(run.original.Fingerprint, now); decision != poison.DecisionUnrestricted {
		return nil, false
	}
	var found *registry.Server
	for _, server := range c.opts.Registry.OfService(run.original.Service) {
		if server.IsLeaving() || !server.HasVersion(run.version) || server.IsAvoided(now) {
			continue
		}
		if found == nil || server.InFlight() < found.InFlight() {
			found = server
		}
	}
	return found, found != nil
}

// generate returns the text of a complete answer. If the connection breaks, it resumes the stream once on a new connection, so
// that network failures are not attributed to the version.
func (c *Copier) generate(ctx context.Context, run copyRun, server *registry.Server) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	opts := engine.StreamOptions{
		Address: server.Address, Attempt: string(run.id), Version: run.version, Request: run.original.Request,
		Priority: api.PriorityLow, HeaderTimeout: chunkTimeout,
	}
	var text strings.Builder
	err := c.read(ctx, opts, &text, &opts.Offset)
	if !engine.IsErrBroken(err) {
		return text.String(), err
	}
	opts.Resume = true
	resumed := c.read(ctx, opts, &text, &opts.Offset)
	if _, refused := engine.AsErrRefused(resumed); refused {
		return "", Error.Wrap(&ErrAbandoned{Cause: err})
	}
	return text.String(), resumed
}

// read appends the text of a stream, from offset on, to text and advances offset past the chunks read.
func (c *Copier) read(ctx context.Context, opts engine.StreamOptions, text *strings.Builder, offset *int) error {
	stream, err := c.opts.Engines.Open(ctx, opts)
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		chunk, err := stream.Next(ctx, chunkTimeout)
		if err != nil || chunk.Done {
			return err
		}
		text.WriteString(chunk.Text)
		*offset = chunk.Offset + 1
		if text.Len() > maxAnswer {
			return errors.Join(Error.Wrap(&ErrAnswerTooLong{}), c.opts.Engines.Cancel(ctx, opts.Address, opts.Attempt))
		}
	}
}
