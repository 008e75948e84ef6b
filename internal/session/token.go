// Package session signs and verifies the tokens that pin a caller's session to a version.
// Nodes store no sessions: all session state is in the token, which the caller sends with each request.
package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// MinKeyBytes is the smallest size of a signing key.
	MinKeyBytes = 16
	// MaxTokenBytes bounds the encoded size of a token; longer ones are rejected without being decoded.
	MaxTokenBytes = 1024
	// macBytes is the size of the truncated HMAC-SHA256 that ends a token.
	macBytes = 16
	// formatVersion is the first byte of a token.
	formatVersion = 1
	// macContext separates the MACs of session tokens from other uses of the same key.
	macContext = "monsoonrail session\x00"
)

// Claims is the content of a token.
type Claims struct {
	Team    api.Team
	Service api.Service
	Version api.VersionID
	// IssuedAt and Expires have a resolution of one second.
	IssuedAt time.Time
	Expires  time.Time
}

// Keys signs tokens with its first key and accepts tokens signed with any of them, so that keys can be rotated during sessions.
type Keys struct {
	// keys holds at least one key, each of at least MinKeyBytes.
	keys [][]byte
}

// NewKeys returns keys from the given secrets, of which the first signs.
// The error is IsErrNoKey or IsErrKeyTooShort.
func NewKeys(secrets ...[]byte) (*Keys, error) {
	if len(secrets) == 0 {
		return nil, Error.Wrap(&ErrNoKey{})
	}
	for i, secret := range secrets {
		if len(secret) < MinKeyBytes {
			return nil, Error.Wrap(&ErrKeyTooShort{Index: i, Bytes: len(secret)})
		}
	}
	return &Keys{keys: secrets}, nil
}

// Sign returns the token for claims.
func (k *Keys) Sign(c Claims) api.SessionToken {
	payload := appendClaims(nil, c)
	token := append(payload, computeMAC(k.keys[0], payload)...)
	return api.SessionToken(base64.RawURLEncoding.EncodeToString(token))
}

// VerifyOptions holds the values against which a token is verified.
type VerifyOptions struct {
	Team    api.Team
	Service api.Service
	Now     time.Time
}

// Verify returns the claims of a token. The error is IsErrTokenForged, IsErrTokenForeign or IsErrTokenExpired; the first that applies
// in this order.
func (k *Keys) Verify(token api.SessionToken, opts VerifyOptions) (Claims, error) {
	claims, err := k.open(token)
	if err != nil {
		return Claims{}, err
	}
	if claims.Team != opts.Team || claims.Service != opts.Service {
		return Claims{}, Error.Wrap(&ErrTokenForeign{})
	}
	if !opts.Now.Before(claims.Expires) {
		return Claims{}, Error.Wrap(&ErrTokenExpired{Expired: claims.Expires})
	}
	return claims, nil
}

func (k *Keys) open(token api.SessionToken) (Claims, error) {
	forged := Error.Wrap(&ErrTokenForged{})
	if len(token) > MaxTokenBytes {
		return Claims{}, forged
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(string(token))
	if err != nil || len(raw) < macBytes {
		return Claims{}, forged
	}
	payload, mac := raw[:len(raw)-macBytes], raw[len(raw)-macBytes:]
	if !k.isSigned(payload, mac) {
		return Claims{}, forged
	}
	claims, ok := parseClaims(payload)
	if !ok {
		return Claims{}, forged
	}
	return claims, nil
}

func (k *Keys) isSigned(payload, mac []byte) bool {
	for _, key := range k.keys {
		if hmac.Equal(mac, computeMAC(key, payload)) {
			return true
		}
	}
	return false
}

func computeMAC(key, payload []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(macContext))
	h.Write(payload)
	return h.Sum(nil)[:macBytes]
}

func appendClaims(b []byte, c Claims) []byte {
	b = append(b, formatVersion)
	b = binary.AppendVarint(b, c.IssuedAt.Unix())
	b = binary.AppendVarint(b, c.Expires.Unix())
	for _, text := range []string{string(c.Team), string(c.Service), c.Version.Model, c.Version.Version} {
		b = binary.AppendUvarint(b, uint64(len(text)))
		b = append(b, text...)
	}
	return b
}

func parseClaims(b []byte) (Claims, bool) {
	r := reader{rest: b}
	version := r.byte()
	claims := Claims{
		IssuedAt: time.Unix(r.varint(), 0).UTC(),
		Expires:  time.Unix(r.varint(), 0).UTC(),
		Team:     api.Team(r.text()),
		Service:  api.Service(r.text()),
		Version:  api.VersionID{Model: r.text(), Version: r.text()},
	}
	return claims, !r.failed && len(r.rest) == 0 && version == formatVersion
}

// reader decodes fields from the front of rest; after a failure it returns zero values.
type reader struct {
	rest   []byte
	failed bool
}

func (r *reader) byte() byte {
	if len(r.rest) == 0 {
		r.failed = true
		return 0
	}
	b := r.rest[0]
	r.rest = r.rest[1:]
	return b
}

func (r *reader) varint() int64 {
	value, n := binary.Varint(r.rest)
	if n <= 0 {
		r.failed = true
		return 0
	}
	r.rest = r.rest[n:]
	return value
}

func (r *reader) text() string {
	size, n := binary.Uvarint(r.rest)
	if n <= 0 || size > uint64(len(r.rest)-n) {
		r.failed = true
		return ""
	}
	text := string(r.rest[n : n+int(size)])
	r.rest = r.rest[n+int(size):]
	return text
}
