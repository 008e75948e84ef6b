package follower

import (
	"context"
	"errors"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/peer"
	"github.com/monsoonrail/monsoonrail/internal/rendezvous"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// watchersPerDomain is the number of nodes of a failure domain that watch the service.
	watchersPerDomain = 2
	// startGrace is how long a starting node waits for its peers before it asks the service.
	startGrace = time.Second
	// firstTurn is how long after its start a node may begin to watch.
	firstTurn = 5 * time.Second
	// dutyCheck is how often a node asks itself whether it should watch.
	dutyCheck = time.Second
	// leaveAfter is how long a node goes on watching after others have taken over.
	leaveAfter = 10 * time.Second
	// headCheck is how often a watcher reads the head, in case the watch lost events.
	headCheck = 10 * time.Second
	// callTimeout bounds one read or write of the service.
	callTimeout = 5 * time.Second
	// firstRetry and maxRetry bound the wait between tries to reach the service.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 2 * time.Second
)

// errMissed ends a watch that has missed a change.
type errMissed struct{}

func (*errMissed) Error() string { return "the watch missed a change" }

// IsWatcher reports whether a node is one of the few of its failure domain that watch the service: the first by
// rendezvous hashing over itself and the live members that aren't draining.
func IsWatcher(self peer.Member, members []peer.Member) bool {
	candidates := []api.Incarnation{self.Incarnation}
	for _, member := range members {
		if member.FailureDomain == self.FailureDomain && member.Incarnation != self.Incarnation && !member.Draining {
			candidates = append(candidates, member.Incarnation)
		}
	}
	return slices.Contains(rendezvous.Top("config-watch", candidates, watchersPerDomain), self.Incarnation)
}

// runWatchDuty watches the service while it is this node's turn.
func (f *Follower) runWatchDuty(ctx context.Context) error {
	if err := f.waitForPeers(ctx); err != nil {
		return err
	}
	for {
		if err := f.waitForTurn(ctx); err != nil {
			return err
		}
		if err := f.watchInTurn(ctx); err != nil {
			return err
		}
	}
}

// waitForPeers gives peers the time to hand over their configuration, and to become known: a node that knows no peers
// takes itself for a watcher. Without a configuration, the node asks the service meanwhile.
func (f *Follower) waitForPeers(ctx context.Context) error {
	if f.peers == nil {
		return nil
	}
	began := time.Now()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-f.Changed():
	case <-time.After(startGrace/2 + f.randomUpTo(startGrace/2)):
		f.load(ctx)
	}
	return sleep.Wait(ctx, firstTurn-time.Since(began))
}

func (f *Follower) isMyTurn() bool {
	return f.peers == nil || IsWatcher(f.opts.Self, f.peers.Members())
}

// waitForTurn returns when this node should watch. A node without a configuration asks the service out of turn.
func (f *Follower) waitForTurn(ctx context.Context) error {
	for !f.isMyTurn() {
		if f.Revision() == 0 {
			f.load(ctx)
		}
		if err := sleep.Wait(ctx, dutyCheck); err != nil {
			return err
		}
	}
	return nil
}

// watchInTurn watches until the turn has passed to others for a while.
func (f *Follower) watchInTurn(ctx context.Context) error {
	f.setWatching(true)
	defer f.setWatching(false)
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error {
		f.keepWatching(watchCtx)
		return nil
	})
	lastTurn := time.Now()
	for time.Since(lastTurn) < leaveAfter && ctx.Err() == nil {
		if f.isMyTurn() {
			lastTurn = time.Now()
		}
		// An ended context ends the loop as well.
		_ = sleep.Wait(ctx, dutyCheck)
	}
	cancel()
	_ = group.Wait()
	return ctx.Err()
}

func (f *Follower) setWatching(watching bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.status.Watching = watching
	f.meters.watching.Update(gaugeOf(watching))
}

// keepWatching loads and watches again whenever the watch breaks, until ctx ends.
func (f *Follower) keepWatching(ctx context.Context) {
	wait := firstRetry
	for ctx.Err() == nil {
		began := time.Now()
		err := f.watchOnce(ctx)
		f.meters.watchEnds.Inc(1)
		var missed *errMissed
		if time.Since(began) > maxRetry || fleet.IsErrOutOfOrder(err) || errors.As(err, &missed) {
			wait = firstRetry
		}
		// An ended context ends the loop as well.
		_ = sleep.Wait(ctx, wait/2+f.randomUpTo(wait/2))
		wait = min(2*wait, maxRetry)
	}
}

// watchOnce catches up with the service and watches it until the watch breaks.
func (f *Follower) watchOnce(ctx context.Context) error {
	version, err := f.loadChecked(ctx)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.opts.Log.Watch(ctx, version+1, f.Apply) })
	group.Go(func() error { return f.checkHead(ctx) })
	return group.Wait()
}

// load catches up with the service once.
func (f *Follower) load(ctx context.Context) {
	// The outcome is in the status.
	_, _ = f.loadChecked(ctx)
}

// checkHead ends when the head tells that the watch has missed a change or that the service is older.
func (f *Follower) checkHead(ctx context.Context) error {
	for {
		if err := sleep.Wait(ctx, headCheck*3/4+f.randomUpTo(headCheck/2)); err != nil {
			return err
		}
		f.meters.headChecks.Inc(1)
		before := f.Revision()
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		head, err := f.opts.Log.Head(callCtx)
		cancel()
		if err != nil {
			f.setService(ServiceUnreachable, err)
			return err
		}
		state := f.State()
		other := head.Revision == state.Revision() && head.ChangeID != state.ChangeID
		if head.Revision < before || head.Revision > state.Revision() || other {
			return &errMissed{}
		}
		f.setService(ServiceInSync, nil)
	}
}

func (f *Follower) randomUpTo(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.rand.Int64N(int64(d) + 1))
}
