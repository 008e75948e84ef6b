package caller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/router"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// headerForwarded marks a request that another node handed on, so that it is not handed on again.
	headerForwarded = "Monsoonrail-Forwarded"
	// forwardHeaderTimeout bounds the time to the header of a forwarded request's answer.
	forwardHeaderTimeout = 2 * time.Minute
	// forwardBlockBytes is the most that one write of a forwarded answer holds.
	forwardBlockBytes = 16 << 10
)

// refuseOrForward answers with the problem that err holds, or hands the request to the node that holds it.
func (s *Server) refuseOrForward(w http.ResponseWriter, req *http.Request, body []byte, err error) {
	elsewhere, ok := router.AsErrHeldByPeer(err)
	if !ok {
		s.refuse(w, router.AsProblem(err, api.OutcomeNotRun))
		return
	}
	url, ok := s.opts.Members.FindURL(elsewhere.Node, elsewhere.Incarnation)
	if !ok || req.Header.Get(headerForwarded) != "" {
		problem := api.NewProblem(api.ReasonIncarnationGone, http.StatusConflict, api.OutcomeMayHaveRun,
			"the node that holds this request is gone or out of reach")
		problem.RequestID = elsewhere.RequestID
		s.refuse(w, problem)
		return
	}
	s.log().WithFields(log.Fields{
		"request": string(elsewhere.RequestID), "node_of_request": string(elsewhere.Node),
		"incarnation_of_request": string(elsewhere.Incarnation), "path": req.URL.Path,
	}).Info(msgForwarded)
	s.forward(w, req, url, body)
}

// forward hands a request to another node and its answer back, chunk by chunk.
func (s *Server) forward(w http.ResponseWriter, req *http.Request, url string, body []byte) {
	ctx, cancel := context.WithCancel(req.Context())
	defer cancel()
	out, err := http.NewRequestWithContext(ctx, req.Method, url+req.URL.RequestURI(), io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		s.refuse(w, router.AsProblem(err, api.OutcomeNotRun))
		return
	}
	out.Header = req.Header.Clone()
	out.Header.Del("Connection")
	out.Header.Set(headerForwarded, string(s.opts.Node))
	out.ContentLength = int64(len(body))
	if len(body) == 0 {
		out.Body = http.NoBody
	}
	timer := time.AfterFunc(forwardHeaderTimeout, cancel)
	resp, err := s.opts.ForwardClient.Do(out)
	timer.Stop()
	if err != nil {
		s.refuse(w, api.NewProblem(api.ReasonIncarnationGone, http.StatusBadGateway, api.OutcomeMayHaveRun,
			"the node that holds this request did not answer"))
		return
	}
	defer resp.Body.Close()
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(resp.StatusCode)
	copyFlushed(w, resp.Body)
}

// copyFlushed hands on every block as it comes. If the other node's answer breaks, the caller's connection is broken
// too: an orderly end would make a cut answer look whole.
func copyFlushed(w http.ResponseWriter, body io.Reader) {
	control := http.NewResponseController(w)
	block := make([]byte, forwardBlockBytes)
	for {
		n, err := body.Read(block)
		if n > 0 {
			_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, writeErr := w.Write(block[:n]); writeErr != nil {
				return
			}
			_ = control.Flush()
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}
