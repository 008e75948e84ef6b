// Package relay lets nodes read the platform's store through another node's mirror, so that the number of calls to the store does not
// grow with the number of nodes.
package relay

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/internal/httpjson"
	"github.com/monsoonrail/monsoonrail/internal/kv"
)

// Paths of the calls between nodes.
const (
	pathList = "/v1/store/list"
	pathPoll = "/v1/store/poll"
)

const (
	// callTimeout bounds the time to the first byte of an answer, in addition to the call's wait for changes, and each pause within the
	// answer; the latency between nodes is milliseconds.
	callTimeout = 400 * time.Millisecond
	// maxRequestBytes bounds the body of a call.
	maxRequestBytes = 4 << 10
	// maxTransfer bounds the transfer of an answer.
	maxTransfer = 5 * time.Second
	// maxAnswerBytes bounds an answer, which can be a complete copy of the store.
	maxAnswerBytes = 16 << 20
	// minHeldBytes is the encoded size of an answer's values from which on at most maxHeldAnswers are held at a time, until their readers have read them. Other
	// readers are turned away, and ask another node.
	minHeldBytes   = 256 << 10
	maxHeldAnswers = 8
	// minTimedBytes is the encoded size from which on an answer below minHeldBytes has to be read within maxSmallTransfer, maxHeldBytes bounds the size of these
	// together. If there is no room for another one, the oldest is ended after minSmallTransfer.
	minTimedBytes    = 32 << 10
	maxSmallTransfer = 2 * time.Second
	minSmallTransfer = 500 * time.Millisecond
	maxHeldBytes     = 2 << 20
	// maxBuilding bounds the answers that are encoded at a time.
	maxBuilding = 2
)

// Error is the class of the package's errors.
var Error = errs.Class("relay")

// Mirror is the copy of the store that a node serves to other nodes.
type Mirror interface {
	Listing() (kv.ListResult, error)
	Changes(ctx context.Context, after kv.Version, wait time.Duration) (kv.WatchBatch, error)
	// Difference answers a reader whose next changes are no longer retained.
	Difference(after kv.Version) (kv.WatchBatch, error)
}

type pollRequest struct {
	After kv.Version
	Wait  time.Duration
	// AcceptDeflate allows deflated values in the answer.
	AcceptDeflate bool `json:",omitempty"`
	// AcceptPacked allows packed events in the answer, and AcceptDifference one with key hashes instead of an error for a compacted history.
	AcceptPacked     bool `json:",omitempty"`
	AcceptDifference bool `json:",omitempty"`
}

// event is a kv.Event with its value, or with the deflated value instead.
type event struct {
	kv.Event
	Deflated []byte `json:",omitempty"`
}

// pollAnswer is the answer to both calls; the answer to a list has no deletions.
type pollAnswer struct {
	Events []event
	// Packed holds events as packed by packer, which follow those in Events.
	Packed   []byte `json:",omitempty"`
	Revision kv.Version
	Age      time.Duration
	Silence  time.Duration
	// SinceOutage is 0 if there was no recent outage.
	SinceOutage time.Duration `json:",omitempty"`
	// KeyHashes holds kv.WatchBatch.KeyHashes, eight bytes each in big-endian order.
	KeyHashes []byte `json:",omitzero"`
}

// size returns the size of the encoded values in bytes.
func (a *pollAnswer) size() int {
	size := len(a.Packed)
	for _, e := range a.Events {
		size += len(e.Pair.Value) + len(e.Deflated)
	}
	return size
}

// inflated returns the events with their values.
func (a *pollAnswer) inflated() ([]kv.Event, error) {
	var events []kv.Event
	for _, e := range a.Events {
		if e.Deflated != nil {
			value, err := inflate(e.Deflated)
			if err != nil {
				return nil, err
			}
			e.Pair.Value = value
		}
		events = append(events, e.Event)
	}
	if a.Packed == nil {
		return events, nil
	}
	unpacked, err := unpack(a.Packed)
	return append(events, unpacked...), err
}

// Served is what a reader was served, used in metric labels.
type Served string

// What readers are served.
const (
	ServedList       Served = "list"
	ServedChanges    Served = "changes"
	ServedDifference Served = "difference"
	// ServedNothing is a reader that was turned away, since the copy must not be served or too many large answers are held.
	ServedNothing Served = "nothing"
)

// Handle registers the calls that serve a mirror to other nodes. It calls count, which may be nil, for each answer with the size of its values as sent.
func Handle(mux *http.ServeMux, mirror Mirror, count func(what Served, bytes int)) {
	if count == nil {
		count = func(Served, int) {}
	}
	values, packed := newDeflater(), new(packer)
	held := newHeldAnswers()
	handle := func(path string, read func(ctx context.Context, request pollRequest) ([]kv.Event, pollAnswer, error)) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, req *http.Request) {
			var request pollRequest
			if err := json.NewDecoder(io.LimitReader(req.Body, maxRequestBytes)).Decode(&request); err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			isList := path == pathList
			if isList {
				held.building <- struct{}{}
			}
			events, answer, err := read(req.Context(), request)
			if !isList {
				// A poll waits for changes.
				held.building <- struct{}{}
			}
			if err != nil {
				<-held.building
				count(ServedNothing, 0)
				reject(w, err)
				return
			}
			if request.AcceptPacked && sizeOf(events) >= minDeflateBytes && len(events) > 1 {
				key := packKey{path: path, after: request.After, revision: answer.Revision, count: len(events), isShared: answer.KeyHashes == nil}
				answer.Packed = packed.pack(key, events)
				events = nil
			}
			for _, e := range events {
				answer.Events = append(answer.Events, values.encode(e, request.AcceptDeflate))
			}
			size := answer.size()
			release, ok := held.hold(w, req, size)
			var text []byte
			if ok {
				// An answer has no values that JSON can't represent.
				text, _ = json.Marshal(answer)
			}
			<-held.building
			if !ok {
				count(ServedNothing, 0)
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			defer release()
			switch {
			case isList:
				count(ServedList, size)
			case answer.KeyHashes != nil:
				count(ServedDifference, size+len(answer.KeyHashes))
			default:
				count(ServedChanges, size)
			}
			w.Header().Set("Content-Type", "application/json")
			// A write error is ignored: a caller that disconnected asks another node.
			_, _ = w.Write(text)
		})
	}
	handle(pathList, func(context.Context, pollRequest) ([]kv.Event, pollAnswer, error) {
		listed, err := mirror.Listing()
		events := make([]kv.Event, len(listed.Pairs))
		for i, pair := range listed.Pairs {
			events[i].Pair = pair
		}
		return events, pollAnswer{Revision: listed.Revision, Age: listed.Age, Silence: listed.Silence, SinceOutage: listed.SinceOutage}, err
	})
	handle(pathPoll, func(ctx context.Context, request pollRequest) ([]kv.Event, pollAnswer, error) {
		batch, err := mirror.Changes(ctx, request.After, request.Wait)
		if kv.IsErrCompacted(err) && request.AcceptDifference {
			batch, err = mirror.Difference(request.After)
		}
		return batch.Events, pollAnswer{
			Revision: batch.Revision, Age: batch.Age, Silence: batch.Silence, SinceOutage: batch.SinceOutage, KeyHashes: encodeHashes(batch.KeyHashes),
		}, err
	})
}

func reject(w http.ResponseWriter, err error) {
	if kv.IsErrCompacted(err) {
		w.WriteHeader(http.StatusGone)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Client reads another node's mirror. It implements mirror.Store.
type Client struct {
	// Address is the "IP:port" at which the node serves other nodes.
	Address string
	Client  *http.Client
}

// List returns the node's copy. The prefix is ignored; that of the node's mirror applies.
func (c *Client) List(ctx context.Context, _ string) (kv.ListResult, error) {
	events, answer, err := c.call(ctx, pathList, pollRequest{})
	if err != nil {
		return kv.ListResult{}, err
	}
	listed := kv.ListResult{Revision: answer.Revision, Age: answer.Age, Silence: answer.Silence, SinceOutage: answer.SinceOutage}
	for _, e := range events {
		listed.Pairs = append(listed.Pairs, e.Pair)
	}
	return listed, nil
}

// Poll waits for changes of the node's copy, at most for wait. The prefix is ignored.
func (c *Client) Poll(ctx context.Context, _ string, after kv.Version, wait time.Duration) (kv.WatchBatch, error) {
	events, answer, err := c.call(ctx, pathPoll, pollRequest{After: after, Wait: wait, AcceptDifference: true})
	if err != nil {
		return kv.WatchBatch{}, err
	}
	return kv.WatchBatch{
		Events: events, Revision: answer.Revision, Age: answer.Age, Silence: answer.Silence, SinceOutage: answer.SinceOutage,
		KeyHashes: decodeHashes(answer.KeyHashes),
	}, nil
}

func (c *Client) call(ctx context.Context, path string, request pollRequest) ([]kv.Event, pollAnswer, error) {
	request.AcceptDeflate, request.AcceptPacked = true, true
	var answer pollAnswer
	got, err := httpjson.Do(ctx, c.Client, httpjson.Request{
		Method: http.MethodPost, URL: "http://" + c.Address + path, Body: request, MaxResponseBytes: maxAnswerBytes,
		Timeout: request.Wait + callTimeout, MaxStall: callTimeout, MaxDuration: request.Wait + maxTransfer,
	}, &answer)
	if err == nil && len(got.Body) == 0 {
		// Without a body there is no copy; an empty answer must not count as a confirmation.
		err = io.ErrUnexpectedEOF
	}
	var events []kv.Event
	if err == nil {
		events, err = answer.inflated()
	}
	var status *httpjson.ErrStatus
	switch {
	case err == nil:
		return events, answer, nil
	case errors.As(err, &status) && status.Status == http.StatusGone:
		return nil, pollAnswer{}, kv.Error.Wrap(&kv.ErrCompacted{})
	default:
		return nil, pollAnswer{}, kv.Error.Wrap(&kv.ErrUnavailable{Cause: Error.Wrap(err)})
	}
}
