package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/backend"
	"github.com/monsoonrail/monsoonrail/internal/crashes"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
)

// partSuspects returns the suspects for the prompt parts that other requests may share.
func (d *dispatcher) partSuspects() []crashes.Suspect {
	var suspects []crashes.Suspect
	for _, part := range d.Parts[:max(0, len(d.Parts)-1)] {
		suspects = append(suspects, crashes.Part(d.service.Name, part.ID))
	}
	return suspects
}

// wholeRequest returns the suspect for the request as a whole.
func (d *dispatcher) wholeRequest() crashes.Suspect {
	var parts []string
	for _, part := range d.Parts {
		parts = append(parts, part.ID)
	}
	return crashes.WholeRequest(d.host, d.teamName(), d.method, d.target, parts, d.body)
}

// checkCrashes returns the rejection of a request that would crash servers, or nil.
func (d *dispatcher) checkCrashes() *rejection {
	if d.g.opts.Crashes.IsEmpty() {
		return nil
	}
	verdict, suspect := d.g.opts.Crashes.Check(append(d.partSuspects(), d.wholeRequest()), time.Now())
	if verdict == crashes.Allowed {
		return nil
	}
	d.g.opts.Log.WithFields(log.Fields{
		"request": string(d.ID), "suspect": string(suspect), "probe": verdict == crashes.Probe,
	}).Info("request has a suspect that crashes servers")
	if verdict == crashes.Probe {
		d.isProbe = true
		return nil
	}
	return &rejection{status: http.StatusServiceUnavailable, reason: reasonCrashes, retryAfter: crashRetryAfter}
}

// countCrash counts a failed attempt that began at startedAt if the server's process has ended since: the connection broke off or fell silent, and the
// server refuses new ones. A server that can't be reached may still run, and one that accepts connections has lost this one only.
func (d *dispatcher) countCrash(ctx context.Context, server *backend.TrackedServer, err error, startedAt time.Time) {
	isBroken := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	isSilent := errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed)
	if tcp.IsErrNotSent(err) || !isBroken && !isSilent {
		return
	}
	// A server that is silent isn't dialed, since the next attempt would have to wait for the timeout.
	if !d.g.opts.Pool.WasRefused(server.Address, startedAt) && (isSilent || !d.g.opts.Pool.IsRefused(ctx, server.Address)) {
		return
	}
	d.crashes++
	if !d.hasBegun {
		d.crashesBeforeAnswer++
	}
	d.g.opts.Crashes.CrashedSoFar(d.ID, d.wholeRequest(), d.crashes, time.Now())
	d.logEvent("server of the request crashed", string(server.ID))
}

// hasCrashedEnough reports whether the request must not crash a further server: it has crashed as many as it may before its answer begins, and its
// shared parts, if it has any, haven't been cleared meanwhile.
func (d *dispatcher) hasCrashedEnough() bool {
	if d.hasBegun || d.crashesBeforeAnswer < crashes.MaxPerRequest && !(d.isProbe && d.crashesBeforeAnswer > 0) {
		return false
	}
	parts := d.partSuspects()
	return len(parts) == 0 || d.g.opts.Crashes.HasUncleared(parts, time.Now())
}

// answerBegun records that a server has begun to answer the request, which clears its prompt parts.
func (d *dispatcher) answerBegun() {
	if d.hasBegun {
		return
	}
	d.hasBegun = true
	d.g.opts.Crashes.Cleared(d.partSuspects(), time.Now())
}

// answerCompleted records that the request was answered to its end, which clears it as a whole if no server crashed meanwhile. Resumed at one server after the
// other, a request that crashes each of them may get a whole answer too.
func (d *dispatcher) answerCompleted() {
	d.isAnswered = true
	if d.crashes == 0 && !d.g.opts.Crashes.IsEmpty() {
		d.g.opts.Crashes.Cleared([]crashes.Suspect{d.wholeRequest()}, time.Now())
	}
}

// reportCrashes reports a request that crashed servers and was not answered to its end.
func (d *dispatcher) reportCrashes() {
	if d.crashes == 0 || d.isAnswered {
		return
	}
	now := time.Now()
	d.g.opts.Crashes.Crashed(d.ID, []crashes.Suspect{d.wholeRequest()}, d.crashes, now)
	if d.crashesBeforeAnswer > 0 && !d.hasBegun {
		d.g.opts.Crashes.Crashed(d.ID, d.partSuspects(), d.crashesBeforeAnswer, now)
	}
	d.logEvent("request suspected of crashes", reasonCrashes)
}
