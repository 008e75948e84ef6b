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
	// maxSkew bounds the sum of a message's age and the difference between the two nodes' clocks.
	maxSkew = 2 * time.Minute
	// macBytes is the length of the truncated HMAC-SHA-256 that is sent.
	macBytes = 16
	// maxMessageBytes bounds a request or response body.
	maxMessageBytes = 4 << 20
)

// Headers that the receiving node never reads are left out, since they would be a good part of a short message: the
// content type names the codec, nothing is compressed, and neither Exchange nor FetchConfig waits, so that no timeout
// need be sent.
var (
	omittedHeaders         = []string{"Connect-Protocol-Version", "Accept-Encoding"}
	omittedExchangeHeaders = append([]string{"Connect-Timeout-Ms"}, omittedHeaders...)
)

// Keys are the shared keys of the peer exchange. The first key signs, all keys verify, so that keys can be replaced one
// node after the other.
type Keys [][]byte

// sign returns the authentication header for a body. purpose, the request's path or responsePurpose, is part of the
// MAC, so that a signed request doesn't pass for a response.
func (k Keys) sign(purpose string, body []byte, now time.Time) string {
	stamp := strconv.FormatInt(now.UnixMilli(), 36)
	return stamp + "." + base64.RawURLEncoding.EncodeToString(mac(k[0], purpose, stamp, body))
}

// verify checks an authentication header against the purpose and the body. It fails with ErrUnauthenticated.
func (k Keys) verify(header, purpose string, body []byte, now time.Time) error {
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
		if hmac.Equal(got, mac(key, purpose, stamp, body)) {
			matched = true
		}
	}
	if !matched {
		return Error.Wrap(&ErrUnauthenticated{Detail: "no shared key made the MAC"})
	}
	return nil
}

func mac(key []byte, purpose, stamp string, body []byte) []byte {
	hash := hmac.New(sha256.New, key)
	// A zero byte terminates each field; no field contains one. Writes to a hash can't fail.
	_, _ = io.WriteString(hash, purpose+"\x00"+stamp+"\x00")
	_, _ = hash.Write(body)
	return hash.Sum(nil)[:macBytes]
}

// signer is an HTTP client transport that signs requests and verifies that each response belongs to its request.
type signer struct {
	keys Keys
	next http.RoundTripper
	// omittedHeaders names the request headers to remove.
	omittedHeaders []string
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
	for _, name := range s.omittedHeaders {
		signed.Header.Del(name)
	}
	// An empty User-Agent keeps net/http from adding its default.
	signed.Header.Set("User-Agent", "")
	resp, err := s.next.RoundTrip(signed)
	if err != nil {
		return nil, err
	}
	response, err := readBounded(resp.Body)
	if err != nil {
		return nil, err
	}
	resp.Body = io.NopCloser(bytes.NewReader(response))
	// A node that rejects the request's key can't sign the response; the rejection carries no content.
	if resp.StatusCode == http.StatusUnauthorized {
		return resp, nil
	}
	if err := s.keys.verify(resp.Header.Get(headerAuth), responsePurpose(header), response, time.Now()); err != nil {
		return nil, err
	}
	return resp, nil
}

// responsePurpose returns the purpose of a response, which binds it to its request, so that an old response can't be
// replayed.
func responsePurpose(requestHeader string) string { return "answer to " + requestHeader }

// SignTransport returns a transport that signs each request to other nodes and verifies the response.
func (k Keys) SignTransport(next http.RoundTripper) http.RoundTripper {
	return &signer{keys: k, next: next, omittedHeaders: omittedHeaders}
}

// RequireSigned returns a handler that serves only requests signed with a shared key (see SignTransport).
func (k Keys) RequireSigned(next http.Handler) http.Handler { return authenticate(k, next) }

// SignConnect returns the header that authenticates a CONNECT request for an address.
func (k Keys) SignConnect(address string) http.Header {
	return http.Header{headerAuth: {k.sign(connectPurpose(address), nil, time.Now())}}
}

// RequireSignedConnect returns a handler that serves only CONNECT requests signed with a shared key (see SignConnect). Their answers are not signed, since the
// bytes that follow come from somebody else.
func (k Keys) RequireSignedConnect(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if err := k.verify(req.Header.Get(headerAuth), connectPurpose(req.Host), nil, time.Now()); err != nil {
			http.Error(w, err.Error(), http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, req)
	})
}

// connectPurpose returns the purpose of a CONNECT request, which binds its signature to the address.
func connectPurpose(address string) string { return "connect to " + address }

// authenticate serves only requests signed with a shared key, and signs the responses.
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
		buffered := &bufferedResponse{header: w.Header(), status: http.StatusOK}
		next.ServeHTTP(buffered, r)
		w.Header().Set(headerAuth, keys.sign(responsePurpose(header), buffered.body.Bytes(), time.Now()))
		w.Header()["Date"] = nil
		w.Header().Set("Content-Length", strconv.Itoa(buffered.body.Len()))
		w.WriteHeader(buffered.status)
		// A peer that lost the connection retries, so the error is ignored.
		_, _ = w.Write(buffered.body.Bytes())
	})
}

// bufferedResponse buffers a response until it can be signed.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (a *bufferedResponse) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *bufferedResponse) WriteHeader(status int) { a.status = status }

// Write implements http.ResponseWriter.
func (a *bufferedResponse) Write(data []byte) (int, error) { return a.body.Write(data) }

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
