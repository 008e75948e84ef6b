package peer

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// headerAuth carries "TIME.MAC": milliseconds since 1970 in base 36, and the MAC in base64.
	headerAuth = "Monsoonrail-Peer"
	// maxSkew bounds the difference between two nodes' clocks together with a message's age.
	maxSkew = 2 * time.Minute
	// macBytes is the length of the part of the HMAC-SHA-256 that is sent.
	macBytes = 16
	// maxMessageBytes bounds a message in either direction.
	maxMessageBytes = 4 << 20
)

// Messages are short, so that headers which nobody reads would be a good part of them. Nodes answer without these: the codec
// is in the type, nothing is compressed, and neither Exchange nor FetchConfig waits.
var (
	unreadHeaders         = []string{"Connect-Protocol-Version", "Accept-Encoding"}
	unreadExchangeHeaders = append([]string{"Connect-Timeout-Ms"}, unreadHeaders...)
)

// Keys are the shared keys of the peer exchange. The first signs; all are accepted, so that keys can be replaced one
// node after the other.
type Keys [][]byte

// sign returns the header for a message; what tells requests and answers apart.
func (k Keys) sign(what string, body []byte, now time.Time) string {
	stamp := strconv.FormatInt(now.UnixMilli(), 36)
	return stamp + "." + base64.RawURLEncoding.EncodeToString(mac(k[0], what, stamp, body))
}

// verify checks a header against a message.
func (k Keys) verify(header, what string, body []byte, now time.Time) error {
	stamp, encoded, _ := strings.Cut(header, ".")
	millis, err := strconv.ParseInt(stamp, 36, 64)
	if err != nil {
		return Error.Wrap(&ErrUnauthenticated{Detail: "no time in header " + headerAuth})
	}
	if now.Sub(time.UnixMilli(millis)).Abs() > maxSkew {
		return Error.Wrap(&ErrUnauthenticated{Detail: "the clocks of the nodes differ or the message is old"})
	}
	got, err := base64.RawURLEncoding.DecodeString(encoded)
	if err != nil {
		return Error.Wrap(&ErrUnauthenticated{Detail: "bad MAC in header " + headerAuth})
	}
	matched := false
	for _, key := range k {
		if hmac.Equal(got, mac(key, what, stamp, body)) {
			matched = true
		}
	}
	if !matched {
		return Error.Wrap(&ErrUnauthenticated{Detail: "no shared key made the MAC"})
	}
	return nil
}

func mac(key []byte, what, stamp string, body []byte) []byte {
	hash := hmac.New(sha256.New, key)
	// A zero byte ends each part; none of the texts holds one. Writes to a hash can't fail.
	_, _ = io.WriteString(hash, what+"\x00"+stamp+"\x00")
	_, _ = hash.Write(body)
	return hash.Sum(nil)[:macBytes]
}

// signer is an HTTP client's transport that signs requests and checks that answers belong to them.
type signer struct {
	keys Keys
	next http.RoundTripper
	// unread names the headers that are left out.
	unread []string
}

// RoundTrip implements http.RoundTripper.
func (s *signer) RoundTrip(req *http.Request) (*http.Response, error) {
	body, err := readBounded(req.Body)
	if err != nil {
		return nil, err
	}
	signed := req.Clone(req.Context())
	signed.Body = io.NopCloser(bytes.NewReader(body))
	signed.ContentLength = int64(len(body))
	header := s.keys.sign(req.URL.Path, body, time.Now())
	signed.Header.Set(headerAuth, header)
	for _, name := range s.unread {
		signed.Header.Del(name)
	}
	// An empty one keeps net/http from adding its own.
	signed.Header.Set("User-Agent", "")
	resp, err := s.next.RoundTrip(signed)
	if err != nil {
		return nil, err
	}
	answer, err := readBounded(resp.Body)
	if err != nil {
		return nil, err
	}
	resp.Body = io.NopCloser(bytes.NewReader(answer))
	// A node that refused the request's key can't sign; its refusal carries no content.
	if resp.StatusCode == http.StatusUnauthorized {
		return resp, nil
	}
	if err := s.keys.verify(resp.Header.Get(headerAuth), answerTo(header), answer, time.Now()); err != nil {
		return nil, err
	}
	return resp, nil
}

// answerTo binds an answer to its request, so that no old answer passes for a new one.
func answerTo(requestHeader string) string { return "answer to " + requestHeader }

// SignTransport returns a transport that signs each request for other nodes and checks that the answer belongs to it.
func (k Keys) SignTransport(next http.RoundTripper) http.RoundTripper {
	return &signer{keys: k, next: next, unread: unreadHeaders}
}

// RequireSigned returns a handler that serves only requests which SignTransport signed with a shared key.
func (k Keys) RequireSigned(next http.Handler) http.Handler { return authenticate(k, next) }

// authenticate serves only requests signed with a shared key, and signs the answers.
func authenticate(keys Keys, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := readBounded(r.Body)
		if err != nil {
			http.Error(w, "message too large or cut", http.StatusRequestEntityTooLarge)
			return
		}
		header := r.Header.Get(headerAuth)
		if err := keys.verify(header, r.URL.Path, body, time.Now()); err != nil {
			http.Error(w, err.Error(), http.StatusUnauthorized)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		answer := &heldAnswer{header: w.Header(), status: http.StatusOK}
		next.ServeHTTP(answer, r)
		w.Header().Set(headerAuth, keys.sign(answerTo(header), answer.body.Bytes(), time.Now()))
		w.Header()["Date"] = nil
		w.Header().Set("Content-Length", strconv.Itoa(answer.body.Len()))
		w.WriteHeader(answer.status)
		// A peer that is gone asks again.
		_, _ = w.Write(answer.body.Bytes())
	})
}

// heldAnswer keeps an answer until it can be signed.
type heldAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (a *heldAnswer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *heldAnswer) WriteHeader(status int) { a.status = status }

// Write implements http.ResponseWriter.
func (a *heldAnswer) Write(data []byte) (int, error) { return a.body.Write(data) }

func readBounded(body io.ReadCloser) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	defer body.Close()
	data, err := io.ReadAll(io.LimitReader(body, maxMessageBytes+1))
	if err == nil && len(data) > maxMessageBytes {
		return nil, Error.Wrap(io.ErrShortBuffer)
	}
	return data, err
}
