package gateway

import (
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonrail/monsoonrail/internal/rendezvous"
	"github.com/monsoonrail/monsoonrail/internal/route"
)

// hopByHopHeaders lists the header fields that apply to a single connection (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Expect", "Content-Length",
}

// endToEndHeader returns a copy of a header without its hop-by-hop fields.
func endToEndHeader(header http.Header) http.Header {
	out := header.Clone()
	for _, names := range header["Connection"] {
		for _, name := range strings.Split(names, ",") {
			if name = strings.TrimSpace(name); name != "" {
				out.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		delete(out, name)
	}
	return out
}

// copyAnswerHeader copies the end-to-end fields of a server's header into the answer's.
func copyAnswerHeader(to, from http.Header) {
	for name, values := range endToEndHeader(from) {
		to[name] = values
	}
	// An explicit nil keeps net/http from guessing a content type.
	if _, ok := to["Content-Type"]; !ok {
		to["Content-Type"] = nil
	}
}

// chooseService returns the service of a request: the route's only one, or one drawn by weight, the same for all requests of a session. It is empty if no
// service has a weight above 0.
func chooseService(r *route.Route, info RequestInfo) route.Service {
	total := 0.0
	last := route.Service("")
	for _, t := range r.Targets {
		total += t.Weight
		if t.Weight > 0 {
			last = t.Service
		}
	}
	if len(r.Targets) == 1 || total <= 0 {
		return last
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
	return last
}
