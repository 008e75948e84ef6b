package caller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/framing"
	"github.com/monsoonrail/monsoonrail/internal/router"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// headerForwarded marks a request that a peer forwarded, so that it is not forwarded again.
	headerForwarded = "Monsoonrail-Forwarded"
	// forwardHeaderTimeout bounds the time until the response header of a forwarded request.
	forwardHeaderTimeout = 2 * time.Minute
	// forwardBlockBytes bounds one write of a forwarded answer.
	forwardBlockBytes = 16 << 10
)

// rejectOrForward forwards the request to the peer that err names as its holder, unless that peer isn't live or the request was
// forwarded already. It answers any other error with the error's problem document.
func (s *Server) rejectOrForward(w http.ResponseWriter, req *http.Request, body []byte, err error) {
	heldByPeer, ok := router.AsErrHeldByPeer(err)
	if !ok {
		s.reject(w, router.AsProblem(err, api.OutcomeNotRun))
		return
	}
	url, ok := s.opts.Members.FindURL(heldByPeer.Node, heldByPeer.Incarnation)
	if !ok || req.Header.Get(headerForwarded) != "" {
		problem := api.NewProblem(api.ReasonIncarnationGone, http.StatusConflict, api.OutcomeMayHaveRun,
			"the node that holds this request is gone or out of reach")
		problem.RequestID = heldByPeer.RequestID
		s.reject(w, problem)
		return
	}
	s.log().WithFields(log.Fields{
		"request": string(heldByPeer.RequestID), "node_of_request": string(heldByPeer.Node),
		"incarnation_of_request": string(heldByPeer.Incarnation), "path": req.URL.Path,
	}).Info(msgForwarded)
	s.forward(w, req, url, body)
}

// forward sends a request to a peer and relays its answer block by block.
func (s *Server) forward(w http.ResponseWriter, req *http.Request, url string, body []byte) {
	ctx, cancel := context.WithCancel(req.Context())
	defer cancel()
	out, err := http.NewRequestWithContext(ctx, req.Method, url+req.URL.RequestURI(), io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		s.reject(w, router.AsProblem(err, api.OutcomeNotRun))
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
		s.reject(w, api.NewProblem(api.ReasonIncarnationGone, http.StatusBadGateway, api.OutcomeMayHaveRun,
			"the node that holds this request did not answer"))
		return
	}
	defer resp.Body.Close()
	forwardResponse(w, resp)
}

// forwardResponse relays a peer's response, which ends for the caller as it does here.
func forwardResponse(w http.ResponseWriter, resp *http.Response) {
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	if framing.OfResponse(resp) == framing.Close {
		framing.EndWithConnection(w.Header())
	}
	w.WriteHeader(resp.StatusCode)
	copyFlushed(w, resp.Body)
}

// copyFlushed relays every block as it arrives. If the peer's answer breaks off, the caller's connection is aborted too: a regular
// end would make a truncated answer look complete.
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
