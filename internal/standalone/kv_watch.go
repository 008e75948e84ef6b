package standalone

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/kv"

	"github.com/monsoonrail/monsoonrail/internal/standalone/kvwire"
)

// Watch implements Store. It changes its connection every WatchAge, so that a silent one loses no event for longer.
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

// watcher is the state of one Watch over its connections.
type watcher struct {
	gateway *gateway
	prefix  string
	// from is the first revision not yet handled; 0 until the service has named its own.
	from   kv.Version
	handle func(kv.WatchBatch) error
	// created tells that the current connection's watch has begun.
	created bool
}

// stream handles the events of one connection; it returns nil when the connection reached its age.
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
		w.dropSilent(streamCtx)
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
			w.dropSilent(streamCtx)
			return kv.Error.Wrap(&kv.ErrUnavailable{Cause: err})
		}
		if err := w.take(message); err != nil {
			return err
		}
		if message.Result.Created {
			timer.Reset(w.gateway.opts.MaxWatchAge)
		}
	}
}

// dropSilent closes the idle connections if this one was given up for its silence.
func (w *watcher) dropSilent(streamCtx context.Context) {
	if streamCtx.Err() != nil {
		w.gateway.opts.Client.CloseIdleConnections()
	}
}

// take handles one message.
func (w *watcher) take(message kvwire.WatchResponse) error {
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
		return w.begin(kv.Version(result.Header.Revision))
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

// begin checks the service's revision against the one that the watch begins at.
func (w *watcher) begin(revision kv.Version) error {
	w.created = true
	if w.from > revision+1 {
		return kv.Error.Wrap(&kv.ErrRevisionRegressed{Requested: w.from, Revision: revision})
	}
	if w.from == 0 {
		w.from = revision + 1
	}
	return nil
}

// watchError turns the error of a request that changes nothing into that of a watch.
func watchError(err error) error {
	if kv.IsErrUnknownOutcome(err) {
		return asRead(err)
	}
	return err
}
