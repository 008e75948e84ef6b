package standalone

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/kv"

	"github.com/monsoonrail/monsoonrail/internal/standalone/kvwire"
)

// Watch implements Store. It reconnects every MaxWatchAge, so that a silent connection delays events no longer than that.
func (g *gateway) Watch(ctx context.Context, prefix string, from kv.Version, handle func(kv.WatchBatch) error) error {
	w := &watcher{gateway: g, prefix: prefix, from: from, handle: handle}
	for {
		err := g.eachEndpoint(ctx, func(base string) (error, bool) {
			err := w.stream(ctx, base)
			return err, !w.created && kv.IsErrUnavailable(err)
		})
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return err
		}
	}
}

// watcher is the state of one Watch across its connections.
type watcher struct {
	gateway *gateway
	prefix  string
	// from is the first revision not yet handled; 0 until the service has sent its current revision.
	from   kv.Version
	handle func(kv.WatchBatch) error
	// created is true once the service has confirmed the watch on the current connection.
	created bool
}

// stream handles the events of one connection; it returns nil once the connection has reached MaxWatchAge.
func (w *watcher) stream(ctx context.Context, base string) error {
	w.created = false
	streamCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(w.gateway.opts.Timeout, cancel)
	defer timer.Stop()
	req := kvwire.WatchRequest{Create: kvwire.WatchCreate{
		Key:           []byte(w.prefix),
		RangeEnd:      kvwire.PrefixEnd(w.prefix),
		StartRevision: kvwire.Int64(w.from),
	}}
	answer, err := w.gateway.send(streamCtx, base+kvwire.PathWatch, req)
	if err != nil {
		w.closeIdleAfterSilence(streamCtx)
		return watchError(err)
	}
	defer answer.Body.Close()
	limited := &io.LimitedReader{R: answer.Body}
	decoder := json.NewDecoder(limited)
	for {
		limited.N = w.gateway.opts.MaxAnswerBytes
		var message kvwire.WatchResponse
		if err := decoder.Decode(&message); err != nil {
			if w.created && streamCtx.Err() != nil {
				return nil
			}
			w.closeIdleAfterSilence(streamCtx)
			return kv.Error.Wrap(&kv.ErrUnavailable{Cause: err})
		}
		if err := w.handleMessage(message); err != nil {
			return err
		}
		if message.Result.Created {
			timer.Reset(w.gateway.opts.MaxWatchAge)
		}
	}
}

// closeIdleAfterSilence closes the idle connections if this one was abandoned since it was silent.
func (w *watcher) closeIdleAfterSilence(streamCtx context.Context) {
	if streamCtx.Err() != nil {
		w.gateway.opts.Client.CloseIdleConnections()
	}
}

// handleMessage handles one message of the stream.
func (w *watcher) handleMessage(message kvwire.WatchResponse) error {
	if message.Error != nil {
		return kv.Error.Wrap(&kv.ErrUnavailable{Cause: &kv.ErrRejected{Message: message.Error.Message}})
	}
	if message.Result == nil {
		return kv.Error.Wrap(&kv.ErrBadAnswer{Cause: &ErrMissingResponse{}})
	}
	result := *message.Result
	if result.Canceled && result.CompactRevision > 0 {
		return kv.Error.Wrap(&kv.ErrCompacted{Oldest: kv.Version(result.CompactRevision)})
	}
	if result.Canceled {
		return kv.Error.Wrap(&kv.ErrUnavailable{Cause: &kv.ErrRejected{Message: "watch canceled"}})
	}
	if result.Created {
		return w.start(kv.Version(result.Header.Revision))
	}
	if len(result.Events) == 0 {
		return nil
	}
	batch := readBatch(result)
	if err := w.handle(batch); err != nil {
		return err
	}
	w.from = batch.Events[len(batch.Events)-1].Pair.Version + 1
	return nil
}

// start marks the watch as created; it returns kv.ErrRevisionRegressed if the service has not reached the revision to watch from.
func (w *watcher) start(revision kv.Version) error {
	w.created = true
	if w.from > revision+1 {
		return kv.Error.Wrap(&kv.ErrRevisionRegressed{Requested: w.from, Revision: revision})
	}
	if w.from == 0 {
		w.from = revision + 1
	}
	return nil
}

// watchError converts the error of the request that creates a watch; that request has no side effects.
func watchError(err error) error {
	if kv.IsErrUnknownOutcome(err) {
		return asReadError(err)
	}
	return err
}
