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

// ensureOpen opens a connection if none is open: it resumes the answer if it has begun and is still kept, and else sends the call.
func (s *chatStream) ensureOpen(ctx context.Context) error {
	if s.events != nil {
		return nil
	}
	if s.wire == nil || s.info.RequestID == "" {
		return s.openCall(ctx)
	}
	response, err := s.attach(ctx)
	if err == nil {
		s.position = len(s.chunkHashes)
		s.info.Resumes++
		s.setConnection(response)
		return nil
	}
	if !isAnswerGone(err) {
		return err
	}
	s.wire = nil
	return s.openCall(ctx)
}

// openCall sends the call and reads its answer from the first chunk on.
func (s *chatStream) openCall(ctx context.Context) error {
	if s.wire == nil {
		if err := s.prepareCall(); err != nil {
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
	s.call.Session.update(response.Header)
	s.restarts, _ = strconv.Atoi(response.Header.Get(api.HeaderRestarts))
	s.position = 0
	s.setConnection(response)
	return nil
}

// prepareCall sets wire. A call that is sent anew gets another key, since the node of the first one no longer has its answer, and
// requests the version that generated the chunks so far, unless a session pins it. The first call may have run, whatever the result
// of the new one.
func (s *chatStream) prepareCall() error {
	call := s.call
	isNewRun := s.info.RequestID != ""
	if isNewRun {
		call.Key = ""
	}
	if len(s.chunkHashes) > 0 && !s.info.Version.IsZero() && call.Session.Token() == "" {
		call.Request.Model = s.info.Version.String()
	}
	wire, err := call.newWireCall()
	if err != nil {
		return err
	}
	wire.header.Set(headerAccept, acceptRestart)
	wire.mayHaveRunBefore = isNewRun
	s.wire = wire
	return nil
}

// attach requests the rest of the answer from the node that served it last, and through other nodes if that fails.
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
	response, err := s.client.sendTo(ctx, call, call.header.Clone())
	if err == nil {
		return response, nil
	}
	if _, retry := s.client.retryDelay(call, err); !retry {
		return nil, err
	}
	return s.client.send(ctx, call)
}

func (s *chatStream) attachPath() string {
	id := url.PathEscape(string(s.info.RequestID))
	return fmt.Sprintf("/v1/answers/%s?offset=%d&restarts=%d", id, len(s.chunkHashes), s.restarts)
}

// isAnswerGone reports whether an error means that the answer can't be resumed, so that the call must be sent anew.
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
