package caller

import (
	"net/http"
	"net/url"
	"path"
	"strconv"
	"strings"

	"github.com/monsoonrail/monsoonrail/internal/answer"
	"github.com/monsoonrail/monsoonrail/internal/framing"
	"github.com/monsoonrail/monsoonrail/internal/router"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

func (s *Server) plain(w http.ResponseWriter, req *http.Request, team api.Team) {
	body, problem := readBody(w, req)
	if problem != nil {
		s.rejectBeforeKeyCheck(w, req, problem)
		return
	}
	headers, problem := readHeaders(req.Header)
	if problem != nil {
		s.rejectBeforeKeyCheck(w, req, problem)
		return
	}
	service := req.PathValue("service")
	escaped, matched, problem := servicePath(req.URL, service)
	if problem != nil {
		s.rejectBeforeKeyCheck(w, req, problem)
		return
	}
	ans, err := s.opts.Router.Call(router.PlainCall{
		Team:        team,
		Service:     api.Service(service),
		Priority:    headers.priority,
		Method:      req.Method,
		Path:        escaped,
		MatchPath:   matched,
		Query:       req.URL.RawQuery,
		Header:      req.Header,
		Body:        body,
		Deadline:    headers.deadline,
		Key:         headers.key,
		FirstUse:    headers.firstUse,
		Fingerprint: fingerprint(req, body),
	})
	if err != nil {
		s.rejectOrForward(w, req, body, err)
		return
	}
	s.sendPlain(w, req, ans, 0)
}

// servicePath returns the path below a service: escaped as it is sent to the server, and matched as the configuration's rules are
// applied to it. A path that the server and the rules could interpret differently is rejected, so that no spelling of a once-only
// call bypasses its rule.
func servicePath(u *url.URL, service string) (escaped, matched string, problem *api.Problem) {
	prefix := "/v1/services/" + service
	escaped, ok := strings.CutPrefix(u.EscapedPath(), prefix)
	if !ok {
		return "", "", badRequest("the service's name must not be escaped")
	}
	matched = strings.TrimPrefix(u.Path, prefix)
	if clean := path.Clean(matched); clean != matched && clean+"/" != matched || strings.Contains(escaped, "%") {
		return "", "", badRequest("the path must be clean and without escapes")
	}
	return escaped, strings.TrimSuffix(matched, "/"), nil
}

// sendPlain waits for the whole answer and sends it from an offset on, which counts blocks.
func (s *Server) sendPlain(w http.ResponseWriter, req *http.Request, ans *answer.Answer, offset int) {
	reader := ans.Attach(offset)
	defer reader.Close()
	part, body, err := reader.ReadAll(req.Context())
	if err != nil {
		s.abort(ans, offset)
	}
	if problem := partProblem(ans, part); problem != nil {
		s.reject(w, problem)
		return
	}
	for name, values := range part.Head.Header {
		w.Header()[name] = values
	}
	setResponseHeaders(w.Header(), ans, part.Head)
	if part.Head.EndsWithConnection {
		// A length would claim that the answer is complete.
		framing.EndWithConnection(w.Header())
	} else {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(part.Head.Status)
	_, _ = w.Write(body)
}
