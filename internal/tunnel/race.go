package tunnel

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/region"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// race opens one connection to a server: this node tries by itself, and asks other nodes once that takes long, fails, or is known to. The first connection wins.
// The own attempt goes on after another node has won, to find out whether the own path is lost.
type race struct {
	d       *Dialer
	address string
	plan    Plan
	// within holds the regions of the nodes that may be asked.
	within region.Set
	// won gets the result of the race, results those of the attempts. abandoned is closed if nobody waits for the race.
	won         chan result
	abandoned   chan struct{}
	abandonOnce sync.Once
	results     chan result

	// pending is the number of attempts without a result, isDecided is set once won has got one.
	pending   int
	isDecided bool
	// asked lists the nodes that were asked, and askedAt holds when, of those without a result.
	asked   []api.NodeID
	askedAt map[api.NodeID]time.Time
	// refusals counts the nodes that the server has refused.
	refusals   int
	ownStarted bool
	// ownErr is why the own attempt failed; nil before.
	ownErr error
	// isSlow is set while the own attempt is counted as a slow one.
	isSlow bool
	// winner is the node through which the connection was opened; empty if there is none.
	winner api.NodeID
}

// abandon says that nobody waits for the result.
func (r *race) abandon() {
	r.abandonOnce.Do(func() { close(r.abandoned) })
	r.closeUnclaimed()
}

// closeUnclaimed closes a connection that was delivered and that nobody has taken.
func (r *race) closeUnclaimed() {
	select {
	case unclaimed := <-r.won:
		closeConn(unclaimed.conn)
	default:
	}
}

// run makes the attempts; ctx bounds those through other nodes. The dialer's Close ends all.
func (r *race) run(ctx context.Context) {
	helpCtx, endHelp := context.WithTimeout(ctx, r.d.opts.Timeout)
	defer endHelp()
	defer context.AfterFunc(r.d.ctx, endHelp)()
	ownCtx, endOwn := context.WithTimeout(r.d.ctx, r.d.opts.Timeout)
	defer endOwn()
	r.askedAt = make(map[api.NodeID]time.Time)
	defer func() {
		if r.isSlow {
			r.d.endSlowDial()
		}
	}()
	delay := detourDelay
	if r.plan.IsLost {
		delay = askDelay
	}
	detour := time.NewTimer(delay)
	defer detour.Stop()
	ownEnd := time.NewTimer(ownTimeout)
	defer ownEnd.Stop()
	if !r.plan.IsLost || r.plan.IsProbe {
		r.tryOwn(ownCtx)
	}
	if r.plan.IsLost {
		r.askNext(helpCtx)
	}
	ended := ctx.Done()
	for r.pending > 0 || !r.isDecided {
		if r.pending == 0 && !r.askNext(helpCtx) && !r.tryOwn(ownCtx) {
			r.decide(result{err: r.failure()})
			return
		}
		select {
		case got := <-r.results:
			r.pending--
			r.handle(helpCtx, got)
			if r.isDecided && got.helper == "" && got.err == nil {
				endHelp()
			}
		case <-detour.C:
			if !r.isDecided && r.mayDetour() {
				r.askNext(helpCtx)
			}
			detour.Reset(askDelay)
		case <-ownEnd.C:
			if r.winner != "" {
				endOwn()
			}
		case <-ended:
			// The own attempt is left to show whether the path is lost.
			ended = nil
			r.decide(result{err: Error.Wrap(ctx.Err())})
			if r.winner == "" {
				endOwn()
			}
		}
	}
}

// mayDetour reports whether another node may be asked although the own attempt has not failed.
func (r *race) mayDetour() bool {
	if r.plan.IsLost || r.ownErr != nil || r.isSlow {
		return true
	}
	r.isSlow = r.d.beginSlowDial()
	return r.isSlow
}

// tryOwn starts the own attempt, and reports false if it was started before.
func (r *race) tryOwn(ctx context.Context) bool {
	if r.ownStarted {
		return false
	}
	r.ownStarted = true
	r.pending++
	go func() {
		conn, err := r.d.opts.Network.DialContext(ctx, "tcp", r.address)
		r.results <- result{conn: conn, err: err}
	}()
	return true
}

// askNext asks the next node for a connection, and reports false if there is none to ask.
func (r *race) askNext(ctx context.Context) bool {
	now := time.Now()
	// A context may end a moment after its deadline, while the attempts that it bounds have already failed.
	if deadline, ok := ctx.Deadline(); ok && !now.Before(deadline) {
		return false
	}
	if len(r.asked) >= maxHelpersAsked || ctx.Err() != nil {
		return false
	}
	helper, ok := r.d.opts.Helpers.Next(r.asked, r.within, now)
	if !ok {
		return false
	}
	r.asked = append(r.asked, helper.ID)
	r.askedAt[helper.ID] = now
	r.pending++
	go func() {
		conn, err := r.d.ask(ctx, helper, r.address)
		r.results <- result{conn: conn, err: err, helper: helper.ID}
	}()
	return true
}

// handle takes in the result of an attempt.
func (r *race) handle(helpCtx context.Context, got result) {
	if got.helper == "" {
		r.handleOwn(helpCtx, got)
		return
	}
	delete(r.askedAt, got.helper)
	outcome := outcomeOfAsk(got.err)
	if got.err != nil && helpCtx.Err() != nil {
		outcome = tcp.DialCanceled
	}
	r.d.opts.CountTunnel(outcome)
	now := time.Now()
	switch outcome {
	case tcp.DialOpened:
		if r.winner != "" || r.isDecided {
			_ = got.conn.Close()
			return
		}
		r.winner = got.helper
		for id, at := range r.askedAt {
			// Nodes that were asked well before and have not answered may have lost their paths, too.
			if now.Sub(at) >= askDelay {
				r.d.opts.Helpers.Avoid(id, now)
			}
		}
		r.decide(got)
		r.recordLoss(now)
	case tcp.DialRefused:
		r.refusals++
		if r.isRefused() {
			r.d.opts.Paths.Refused(r.address, now)
			r.decide(result{err: r.ownErr})
			return
		}
		r.askUnlessDecided(helpCtx)
	case tcp.DialCanceled:
	default:
		if isUnable(got.err) {
			r.d.opts.Helpers.Avoid(got.helper, now)
		}
		r.askUnlessDecided(helpCtx)
	}
}

func (r *race) askUnlessDecided(ctx context.Context) {
	if !r.isDecided {
		r.askNext(ctx)
	}
}

// handleOwn takes in the result of the own attempt.
func (r *race) handleOwn(helpCtx context.Context, got result) {
	if got.err == nil {
		if r.d.opts.Paths.Opened(r.address) {
			r.d.logPath("path to server is back", r.address, nil)
		}
		if r.isDecided {
			_ = got.conn.Close()
			return
		}
		r.decide(got)
		return
	}
	r.ownErr = got.err
	now := time.Now()
	r.recordLoss(now)
	if isRefused := tcp.OutcomeOfDial(got.err) == tcp.DialRefused; isRefused && r.d.opts.Paths.WasRefused(r.address, now) || r.isRefused() {
		r.decide(result{err: r.ownErr})
	}
	if len(r.asked) == 0 {
		r.askUnlessDecided(helpCtx)
	}
}

// isRefused reports whether the server refuses connections: this node's and those of enough others.
func (r *race) isRefused() bool {
	return !r.isDecided && tcp.OutcomeOfDial(r.ownErr) == tcp.DialRefused && r.refusals >= refusalsNeeded
}

// recordLoss records that the own path is lost, if the own attempt has failed and another node has reached the server.
func (r *race) recordLoss(now time.Time) {
	if r.winner == "" || r.ownErr == nil || r.d.ctx.Err() != nil {
		return
	}
	loss := Silent
	if outcome := tcp.OutcomeOfDial(r.ownErr); outcome == tcp.DialRefused || outcome == tcp.DialFailed {
		loss = Refused
	}
	if !r.d.opts.Paths.Lost(r.address, loss, now) {
		return
	}
	r.d.logPath("path to server lost", r.address, log.Fields{"loss": loss.String(), "via": string(r.winner)})
	if loss == Silent {
		r.d.opts.OnSilent()
	}
}

// failure returns the error of a race in which no attempt opened a connection. That the server refuses connections is known only if another node says so, unless
// there is none to ask.
func (r *race) failure() error {
	if len(r.asked) == 0 || r.refusals > 0 && r.refusals == len(r.asked) {
		return r.ownErr
	}
	return Error.Wrap(&ErrUnconfirmed{Cause: r.ownErr})
}

// decide delivers the result, unless there was one before.
func (r *race) decide(got result) {
	if r.isDecided {
		return
	}
	r.isDecided = true
	r.won <- got
	select {
	case <-r.abandoned:
		r.closeUnclaimed()
	default:
	}
}

func closeConn(conn net.Conn) {
	if conn != nil {
		_ = conn.Close()
	}
}
