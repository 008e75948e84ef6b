// Package copier runs copies of answered requests on a version that is under suspicion in a roll-out, so that callers
// need not. Their answers are rated, counted and dropped; they are never billed, kept or sent to anyone.
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
	// workers is how many copies run at once on a node.
	workers = 8
	// queued bounds the copies that wait; a copy too many is dropped, since any other request serves as well.
	queued = 32
	// copyTimeout bounds a copy.
	copyTimeout = time.Minute
	// chunkPatience bounds the wait for the next chunk.
	chunkPatience = 10 * time.Second
	// maxAnswer bounds the text of a copy's answer in bytes.
	maxAnswer = 1 << 20
	// idSuffix tells a copy's request id from that of its original.
	idSuffix = "-copy"
)

// Trials gives out the parts of the budget; *trial.Node is one.
type Trials interface {
	ReserveCopy(service api.Service, control api.VersionID, draw float64) (api.VersionID, bool)
	Dispatched(request api.RequestID, key suspect.Key)
	Answered(request api.RequestID, version api.VersionID, d time.Duration)
	Failed(request api.RequestID, version api.VersionID)
	Discarded(request api.RequestID, version api.VersionID)
}

// Configs yields the configuration, with the versions withdrawn that the nodes have stopped.
type Configs interface {
	Current() *fleet.Config
}

// Rater has answers rated.
type Rater interface {
	Offer(rated router.RatedAnswer)
}

// Guard keeps requests that crash servers from crashing many.
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
	// DetectCrash tells the guard if a failed copy was the death of its server.
	DetectCrash func(ctx context.Context, server *registry.Server, err error)
	// Draw returns a random number from 0 to 1; many goroutines call it.
	Draw func() float64
	Log  log.Interface
}

// Original is a request that a version has answered well.
type Original struct {
	ID      api.RequestID
	Team    api.Team
	Service api.Service
	Class   api.Class
	// Version is the one that answered.
	Version     api.VersionID
	Request     api.ChatRequest
	Fingerprint poison.Fingerprint
}

// Copier is the duty that runs copies.
type Copier struct {
	opts Options
	// copies carries the copies to run; see queued for its overflow.
	copies chan copyRun
}

// copyRun is a copy that was taken out of the budget.
type copyRun struct {
	original Original
	id       api.RequestID
	version  api.VersionID
}

// New returns a copier.
func New(opts Options) *Copier {
	return &Copier{opts: opts, copies: make(chan copyRun, queued)}
}

// Offer takes an answered request to be copied, if a roll-out wants a copy. It does not block.
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
	for range workers {
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
			c.carryOut(ctx, run)
		}
	}
}

// carryOut runs one copy once, on one server.
func (c *Copier) carryOut(ctx context.Context, run copyRun) {
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

// isVersionFault reports whether a failure may be the version's: an error of the engine or a generation that it gave up,
// as against a server that is full, leaving or not reached.
func isVersionFault(err error) bool {
	refused, ok := engine.AsErrRefused(err)
	return IsErrGivenUp(err) || ok && refused.Cause == "" && refused.Status >= http.StatusInternalServerError
}

// findServer returns the server for a copy, if the candidate may run it: it is still on trial, allowed to the team, and
// the request is not suspected of crashing servers.
func (c *Copier) findServer(run copyRun, now time.Time) (*registry.Server, bool) {
	scope := fleet.Scope{Team: run.original.Team, Service: run.original.Service, Class: run.original.Class, Version: run.version}
	config := c.opts.Configs.Current()
	if config.StateOf(scope, now) != fleet.StateCandidate || !config.PolicyFor(scope, now).IsAllowed(run.version) {
		return nil, false
	}
	if verdict, _ := c.opts.Guard.Decide(run.original.Fingerprint, now); verdict != poison.DecisionUnrestricted {
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

// generate returns the text of a whole answer. A connection that breaks is followed by a second one, so that what
// breaks connections is not blamed on the version.
func (c *Copier) generate(ctx context.Context, run copyRun, server *registry.Server) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	opts := engine.StreamOptions{
		Address: server.Address, Attempt: string(run.id), Version: run.version, Request: run.original.Request,
		Priority: api.PriorityLow, HeaderTimeout: chunkPatience,
	}
	var text strings.Builder
	err := c.read(ctx, opts, &text, &opts.Offset)
	if !engine.IsErrBroken(err) {
		return text.String(), err
	}
	opts.Resume = true
	resumed := c.read(ctx, opts, &text, &opts.Offset)
	if _, refused := engine.AsErrRefused(resumed); refused {
		return "", Error.Wrap(&ErrGivenUp{Cause: err})
	}
	return text.String(), resumed
}

// read appends the text of a stream, from its offset on, and moves the offset.
func (c *Copier) read(ctx context.Context, opts engine.StreamOptions, text *strings.Builder, offset *int) error {
	stream, err := c.opts.Engines.Open(ctx, opts)
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		chunk, err := stream.Next(ctx, chunkPatience)
		if err != nil || chunk.Done {
			return err
		}
		text.WriteString(chunk.Text)
		*offset = chunk.Offset + 1
		if text.Len() > maxAnswer {
			return errors.Join(Error.Wrap(&ErrTooLong{}), c.opts.Engines.Cancel(ctx, opts.Address, opts.Attempt))
		}
	}
}
