package gateway

import (
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonrail/monsoonrail/internal/rendezvous"
	"github.com/monsoonrail/monsoonrail/internal/route"
)

// hopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Expect", "Content-Length",
}

// endToEnd returns a copy of a header without what concerns one connection.
func endToEnd(header http.Header) http.Header {
	out := header.Clone()
	for _, names := range header["Connection"] {
		for _, name := range strings.Split(names, ",") {
			if name = strings.TrimSpace(name); name != "" {
				out.Del(name)
			}
		}
	}
	for _, name := range hopHeaders {
		delete(out, name)
	}
	return out
}

// copyAnswerHeader puts a server's header into an answer.
func copyAnswerHeader(to, from http.Header) {
	for name, values := range endToEnd(from) {
		to[name] = values
	}
	// An absent type stays absent: net/http would guess one.
	if _, ok := to["Content-Type"]; !ok {
		to["Content-Type"] = nil
	}
}

// chooseTarget returns the service of a request: the only one, or by weight, the same for all requests of a session.
func chooseTarget(r *route.Route, info RequestInfo) route.Service {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if len(r.Targets) == 1 || total <= 0 {
		return r.Targets[0].Service
	}
	seed := info.Session
	if seed == "" {
		seed = string(info.ID)
	}
	point := rendezvous.Fraction(xxhash.Sum64String(string(r.Name)+"\x00"+seed)) * total
	for _, t := range r.Targets {
		if point < t.Weight {
			return t.Service
		}
		point -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}
