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
	// peerGracePeriod is the longest wait of a starting node for its peers' configuration before it reads the service.
	peerGracePeriod = time.Second
	// firstWatchDelay is the time after the start before which a node does not watch.
	firstWatchDelay = 5 * time.Second
	// dutyCheckInterval is the interval at which a node checks whether it should watch.
	dutyCheckInterval = time.Second
	// stepDownDelay is how long a node continues to watch after it is no longer selected.
	stepDownDelay = 10 * time.Second
	// headCheckInterval is the mean interval at which a watcher reads the head, in case the watch lost events.
	headCheckInterval = 10 * time.Second
	// callTimeout bounds one read or write of the service.
	callTimeout = 5 * time.Second
	// firstRetry and maxRetry bound the delay between attempts to reach the service.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 2 * time.Second
)

// errMissedChange ends a watch when the head shows that it missed a change, or that the service is older or forked.
type errMissedChange struct{}

func (*errMissedChange) Error() string { return "the watch missed a change" }

// IsWatcher reports whether a node is one of the watchersPerDomain nodes of its failure domain that watch the service.
// They are the first by rendezvous hashing over the node itself and the live members that aren't draining.
func IsWatcher(self peer.Member, members []peer.Member) bool {
	candidates := []api.Incarnation{self.Incarnation}
	for _, member := range members {
		if member.FailureDomain == self.FailureDomain && member.Incarnation != self.Incarnation && !member.Draining {
			candidates = append(candidates, member.Incarnation)
		}
	}
	return slices.Contains(rendezvous.Top("config-watch", candidates, watchersPerDomain), self.Incarnation)
}

// runWatchDuty watches the service while this node is selected to watch, until ctx ends.
func (f *Follower) runWatchDuty(ctx context.Context) error {
	if err := f.waitForPeers(ctx); err != nil {
		return err
	}
	for {
		if err := f.waitForDuty(ctx); err != nil {
			return err
		}
		if err := f.watchOnDuty(ctx); err != nil {
			return err
		}
	}
}

// waitForPeers gives peers time to send their configuration and to appear in the membership list: a node without known
// peers selects itself as a watcher. A node that gets no configuration from peers reads the service meanwhile.
func (f *Follower) waitForPeers(ctx context.Context) error {
	if f.peers == nil {
		return nil
	}
	began := time.Now()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-f.Changed():
	case <-time.After(peerGracePeriod/2 + f.randomUpTo(peerGracePeriod/2)):
		f.load(ctx)
	}
	return sleep.Wait(ctx, firstWatchDelay-time.Since(began))
}

func (f *Follower) shouldWatch() bool {
	return f.peers == nil || IsWatcher(f.opts.Self, f.peers.Members())
}

// waitForDuty returns when this node should watch. A node without a configuration reads the service even when not selected.
func (f *Follower) waitForDuty(ctx context.Context) error {
	for !f.shouldWatch() {
		if f.Revision() == 0 {
			f.load(ctx)
		}
		if err := sleep.Wait(ctx, dutyCheckInterval); err != nil {
			return err
		}
	}
	return nil
}

// watchOnDuty watches until this node has not been selected for stepDownDelay, or ctx ends.
func (f *Follower) watchOnDuty(ctx context.Context) error {
	f.setWatching(true)
	defer f.setWatching(false)
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error {
		f.keepWatching(watchCtx)
		return nil
	})
	lastOnDuty := time.Now()
	for time.Since(lastOnDuty) < stepDownDelay && ctx.Err() == nil {
		if f.shouldWatch() {
			lastOnDuty = time.Now()
		}
		// An ended context ends the loop as well.
		_ = sleep.Wait(ctx, dutyCheckInterval)
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

// keepWatching loads and watches again whenever the watch breaks, with exponential backoff, until ctx ends.
func (f *Follower) keepWatching(ctx context.Context) {
	wait := firstRetry
	for ctx.Err() == nil {
		began := time.Now()
		err := f.watchOnce(ctx)
		f.meters.watchEnds.Inc(1)
		var missed *errMissedChange
		if time.Since(began) > maxRetry || fleet.IsErrOutOfOrder(err) || errors.As(err, &missed) {
			wait = firstRetry
		}
		// An ended context ends the loop as well.
		_ = sleep.Wait(ctx, wait/2+f.randomUpTo(wait/2))
		wait = min(2*wait, maxRetry)
	}
}

// watchOnce loads newer revisions from the service and watches it until the watch breaks.
func (f *Follower) watchOnce(ctx context.Context) error {
	version, err := f.loadAndRepair(ctx)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.opts.Log.Watch(ctx, version+1, f.Apply) })
	group.Go(func() error { return f.checkHead(ctx) })
	return group.Wait()
}

// load loads newer revisions from the service once.
func (f *Follower) load(ctx context.Context) {
	// The outcome is recorded in the status.
	_, _ = f.loadAndRepair(ctx)
}

// checkHead reads the head periodically, until that fails or the head shows a missed change or an older or forked service.
func (f *Follower) checkHead(ctx context.Context) error {
	for {
		if err := sleep.Wait(ctx, headCheckInterval*3/4+f.randomUpTo(headCheckInterval/2)); err != nil {
			return err
		}
		f.meters.headChecks.Inc(1)
		before := f.Revision()
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		head, err := f.opts.Log.Head(callCtx)
		cancel()
		if err != nil {
			f.setServiceState(ServiceUnreachable, err)
			return err
		}
		state := f.State()
		forked := head.Revision == state.Revision() && head.ChangeID != state.ChangeID
		if head.Revision < before || head.Revision > state.Revision() || forked {
			return &errMissedChange{}
		}
		f.setServiceState(ServiceInSync, nil)
	}
}

func (f *Follower) randomUpTo(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.rand.Int64N(int64(d) + 1))
}
