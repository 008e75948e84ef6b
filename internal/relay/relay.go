// Package relay lets nodes follow the platform's store through another node, so that the calls to the store do not grow with the
// number of nodes.
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
	// callTimeout bounds a call beyond the time that it waits for changes: nodes are milliseconds apart.
	callTimeout = 400 * time.Millisecond
	// maxAnswerBytes bounds an answer: a whole copy of the store.
	maxAnswerBytes = 16 << 20
)

// Error is the class of every error of the package.
var Error = errs.Class("relay")

// Mirror is the copy of the store that a node hands on.
type Mirror interface {
	Listing() (kv.ListResult, error)
	Changes(ctx context.Context, after kv.Version, wait time.Duration) (kv.WatchBatch, error)
}

type pollRequest struct {
	After kv.Version
	Wait  time.Duration
}

// pollAnswer is the answer to both calls; a list has no deleted pairs.
type pollAnswer struct {
	Events   []kv.Event
	Revision kv.Version
	Age      time.Duration
	Silence  time.Duration
}

// Handle adds the calls that hand a mirror on.
func Handle(mux *http.ServeMux, mirror Mirror) {
	mux.HandleFunc("POST "+pathList, func(w http.ResponseWriter, _ *http.Request) {
		listed, err := mirror.Listing()
		answer := pollAnswer{Revision: listed.Revision, Age: listed.Age, Silence: listed.Silence}
		for _, pair := range listed.Pairs {
			answer.Events = append(answer.Events, kv.Event{Pair: pair})
		}
		respond(w, answer, err)
	})
	mux.HandleFunc("POST "+pathPoll, func(w http.ResponseWriter, req *http.Request) {
		var asked pollRequest
		if err := json.NewDecoder(req.Body).Decode(&asked); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		batch, err := mirror.Changes(req.Context(), asked.After, asked.Wait)
		respond(w, pollAnswer{Events: batch.Events, Revision: batch.Revision, Age: batch.Age, Silence: batch.Silence}, err)
	})
}

func respond(w http.ResponseWriter, answer pollAnswer, err error) {
	switch {
	case kv.IsErrCompacted(err):
		w.WriteHeader(http.StatusGone)
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.Header().Set("Content-Type", "application/json")
		// A node that has left asks another one.
		_ = json.NewEncoder(w).Encode(answer)
	}
}

// Client follows another node's mirror; it is a mirror's Store.
type Client struct {
	// Address is the node's "IP:port" for other nodes.
	Address string
	Client  *http.Client
}

// List returns the node's copy; prefix is the mirror's own.
func (c *Client) List(ctx context.Context, _ string) (kv.ListResult, error) {
	answer, err := c.call(ctx, pathList, pollRequest{})
	if err != nil {
		return kv.ListResult{}, err
	}
	listed := kv.ListResult{Revision: answer.Revision, Age: answer.Age, Silence: answer.Silence}
	for _, event := range answer.Events {
		listed.Pairs = append(listed.Pairs, event.Pair)
	}
	return listed, nil
}

// Poll waits for changes of the node's copy.
func (c *Client) Poll(ctx context.Context, _ string, after kv.Version, wait time.Duration) (kv.WatchBatch, error) {
	answer, err := c.call(ctx, pathPoll, pollRequest{After: after, Wait: wait})
	if err != nil {
		return kv.WatchBatch{}, err
	}
	return kv.WatchBatch{Events: answer.Events, Revision: answer.Revision, Age: answer.Age, Silence: answer.Silence}, nil
}

func (c *Client) call(ctx context.Context, path string, asked pollRequest) (pollAnswer, error) {
	var answer pollAnswer
	got, err := httpjson.Do(ctx, c.Client, httpjson.Request{
		Method: http.MethodPost, URL: "http://" + c.Address + path, Body: asked, Timeout: asked.Wait + callTimeout, MaxResponseBytes: maxAnswerBytes,
	}, &answer)
	if err == nil && len(got.Body) == 0 {
		// An answer without a body would prove a copy that nobody read.
		err = io.ErrUnexpectedEOF
	}
	var status *httpjson.ErrStatus
	switch {
	case err == nil:
		return answer, nil
	case errors.As(err, &status) && status.Status == http.StatusGone:
		return pollAnswer{}, kv.Error.Wrap(&kv.ErrCompacted{})
	default:
		return pollAnswer{}, kv.Error.Wrap(&kv.ErrUnavailable{Cause: Error.Wrap(err)})
	}
}
