package client

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// ensureOpen opens a connection if none is open: the call itself, or the rest of its answer.
func (s *chatStream) ensureOpen(ctx context.Context) error {
	if s.events != nil {
		return nil
	}
	if s.wire == nil || s.info.RequestID == "" {
		return s.openCall(ctx)
	}
	response, err := s.attach(ctx)
	if err == nil {
		s.position = len(s.chunks)
		s.info.Resumes++
		s.opened(response)
		return nil
	}
	if !isAnswerGone(err) {
		return err
	}
	s.wire = nil
	return s.openCall(ctx)
}

// openCall sends the call, from its start.
func (s *chatStream) openCall(ctx context.Context) error {
	if s.wire == nil {
		if err := s.prepare(); err != nil {
			return err
		}
	}
	response, err := s.client.send(ctx, s.wire)
	if err != nil {
		return err
	}
	tries, resumes := s.info.Tries, s.info.Resumes
	s.info = s.wire.info(response.Header)
	s.info.Tries, s.info.Resumes = s.info.Tries+tries, resumes
	s.call.Session.take(response.Header)
	s.restarts, _ = strconv.Atoi(response.Header.Get(api.HeaderRestarts))
	s.position = 0
	s.opened(response)
	return nil
}

// prepare makes the call's wire form. A call that is made anew needs another key, since the node of the first one is gone,
// and is pinned to the version that made the chunks. Whatever becomes of it, the first one may have run.
func (s *chatStream) prepare() error {
	call := s.call
	isAnew := s.info.RequestID != ""
	if isAnew {
		call.Key = ""
	}
	if len(s.chunks) > 0 && !s.info.Version.IsZero() && call.Session.Token() == "" {
		call.Request.Model = s.info.Version.String()
	}
	wire, err := call.wire()
	if err != nil {
		return err
	}
	wire.header.Set(headerAccept, acceptRestart)
	wire.ranBefore = isAnew
	s.wire = wire
	return nil
}

// attach asks for the rest of the answer, from the node that had it or through any other.
func (s *chatStream) attach(ctx context.Context) (*http.Response, error) {
	call := &wireCall{
		method:     http.MethodGet,
		path:       s.attachPath(),
		header:     http.Header{headerAccept: {acceptRestart}},
		repeatable: true,
		outcome:    api.OutcomeMayHaveRun,
		tries:      1,
		node:       s.wire.node,
	}
	response, err := s.client.once(ctx, call, call.header.Clone())
	if err == nil {
		return response, nil
	}
	if _, again := s.client.judge(call, err); !again {
		return nil, err
	}
	return s.client.send(ctx, call)
}

func (s *chatStream) attachPath() string {
	id := url.PathEscape(string(s.info.RequestID))
	return fmt.Sprintf("/v1/answers/%s?offset=%d&restarts=%d", id, len(s.chunks), s.restarts)
}

// isAnswerGone reports whether no node holds the answer any more, so that only another run brings it.
func isAnswerGone(err error) bool {
	var problem *api.Problem
	if !errors.As(err, &problem) {
		return false
	}
	switch problem.Reason {
	case api.ReasonUnknownAnswer, api.ReasonIncarnationGone, api.ReasonBadOffset, api.ReasonDraining:
		return true
	}
	return false
}
