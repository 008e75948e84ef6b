package caller

import (
	"net/http"
	"net/url"
	"path"
	"strconv"
	"strings"

	"github.com/monsoonrail/monsoonrail/internal/answer"
	"github.com/monsoonrail/monsoonrail/internal/router"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

func (s *Server) plain(w http.ResponseWriter, req *http.Request, team api.Team) {
	body, problem := readBody(w, req)
	if problem != nil {
		s.refuseEarly(w, req, problem)
		return
	}
	headers, problem := readHeaders(req.Header)
	if problem != nil {
		s.refuseEarly(w, req, problem)
		return
	}
	service := req.PathValue("service")
	escaped, matched, problem := servicePath(req.URL, service)
	if problem != nil {
		s.refuseEarly(w, req, problem)
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
		FirstUse:    headers.firstTry,
		Fingerprint: fingerprint(req, body),
	})
	if err != nil {
		s.refuseOrForward(w, req, body, err)
		return
	}
	s.wholePlain(w, req, ans, 0)
}

// servicePath returns the path below a service, escaped for the server and plain for the configuration's rules.
// A path that the two could read in different ways is refused, so that no spelling of a once-only call escapes its rule.
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

// wholePlain waits for the whole answer and sends it from an offset on, in blocks.
func (s *Server) wholePlain(w http.ResponseWriter, req *http.Request, ans *answer.Answer, offset int) {
	reader := ans.Attach(offset)
	defer reader.Close()
	part, body, err := reader.ReadAll(req.Context())
	if err != nil {
		s.abort(ans, offset)
	}
	if problem := partProblem(ans, part); problem != nil {
		s.refuse(w, problem)
		return
	}
	for name, values := range part.Head.Header {
		w.Header()[name] = values
	}
	setAnswerHeaders(w.Header(), ans, part.Head)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(part.Head.Status)
	_, _ = w.Write(body)
}
