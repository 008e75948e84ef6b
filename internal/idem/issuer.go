// Package idem issues idempotency keys whose requests only one incarnation of a node may run, and remembers which of them were
// used.
package idem

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strings"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// MinSecretBytes is the smallest size of a secret.
	MinSecretBytes = 16
	// MaxKeyBytes bounds an issued key; longer keys are rejected without decoding.
	MaxKeyBytes = 512
	// DefaultLifetime is how long an issued key may be used.
	DefaultLifetime = 15 * time.Minute
	// issuedPrefix is the prefix of every issued key. Keys that callers choose must not have it.
	issuedPrefix = "mri1."
	// macBytes is the size of the truncated HMAC-SHA256.
	macBytes = 16
	// nonceBytes is the size of the random number that makes a key unique.
	nonceBytes = 12
	// macContext separates this MAC from other uses of the same secret.
	macContext = "monsoonrail issued key\x00"
)

// IssuedKey is the content of an issued key.
type IssuedKey struct {
	Node        api.NodeID
	Incarnation api.Incarnation
	// Expires has a resolution of one second.
	Expires time.Time
}

// IssuerOptions configures NewIssuer.
type IssuerOptions struct {
	Node        api.NodeID
	Incarnation api.Incarnation
	// Secrets are shared by all nodes. The first signs new keys; all are accepted.
	Secrets [][]byte
	// Lifetime is how long a key may be used; 0 means DefaultLifetime.
	Lifetime time.Duration
}

// Issuer issues and verifies keys.
type Issuer struct{ opts IssuerOptions }

// NewIssuer returns an issuer. The error is ErrBadSecret.
func NewIssuer(opts IssuerOptions) (*Issuer, error) {
	if len(opts.Secrets) == 0 {
		return nil, Error.Wrap(&ErrBadSecret{})
	}
	for _, secret := range opts.Secrets {
		if len(secret) < MinSecretBytes {
			return nil, Error.Wrap(&ErrBadSecret{Bytes: len(secret)})
		}
	}
	if opts.Lifetime == 0 {
		opts.Lifetime = DefaultLifetime
	}
	return &Issuer{opts: opts}, nil
}

// IsIssued reports whether a key has the prefix of issued keys. It does not check the signature; Verify does.
func IsIssued(key api.IdempotencyKey) bool { return strings.HasPrefix(string(key), issuedPrefix) }

// Issue returns a new key for a team. Only this incarnation may run its request.
func (i *Issuer) Issue(team api.Team, now time.Time) api.IdempotencyKey {
	var nonce [nonceBytes]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(nonce[:])
	return i.sign(team, nonce, now)
}

func (i *Issuer) sign(team api.Team, nonce [nonceBytes]byte, now time.Time) api.IdempotencyKey {
	payload := append(make([]byte, 0, 128), nonce[:]...)
	payload = binary.AppendVarint(payload, now.Add(i.opts.Lifetime).Unix())
	payload = appendText(payload, string(i.opts.Node))
	payload = appendText(payload, string(i.opts.Incarnation))
	payload = append(payload, computeMAC(i.opts.Secrets[0], team, payload)...)
	return api.IdempotencyKey(issuedPrefix + base64.RawURLEncoding.EncodeToString(payload))
}

// Verify returns the content of a key that was issued to a team and has not expired. The error is ErrKeyForged or
// ErrKeyExpired.
func (i *Issuer) Verify(key api.IdempotencyKey, team api.Team, now time.Time) (IssuedKey, error) {
	issued, ok := i.decode(key, team)
	if !ok {
		return IssuedKey{}, Error.Wrap(&ErrKeyForged{})
	}
	if !now.Before(issued.Expires) {
		return IssuedKey{}, Error.Wrap(&ErrKeyExpired{Expired: issued.Expires})
	}
	return issued, nil
}

func (i *Issuer) decode(key api.IdempotencyKey, team api.Team) (IssuedKey, bool) {
	text, ok := strings.CutPrefix(string(key), issuedPrefix)
	if !ok || len(key) > MaxKeyBytes {
		return IssuedKey{}, false
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	// The decoder skips line breaks. Only the canonical form is accepted, since used keys are looked up by their text.
	if err != nil || len(raw) < nonceBytes+macBytes || base64.RawURLEncoding.EncodeToString(raw) != text {
		return IssuedKey{}, false
	}
	payload, mac := raw[:len(raw)-macBytes], raw[len(raw)-macBytes:]
	if !i.isSigned(team, payload, mac) {
		return IssuedKey{}, false
	}
	return parseIssued(payload[nonceBytes:])
}

func (i *Issuer) isSigned(team api.Team, payload, mac []byte) bool {
	for _, secret := range i.opts.Secrets {
		if hmac.Equal(mac, computeMAC(secret, team, payload)) {
			return true
		}
	}
	return false
}

// computeMAC authenticates a payload together with the team, which the key does not contain.
func computeMAC(secret []byte, team api.Team, payload []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(macContext))
	h.Write(appendText(nil, string(team)))
	h.Write(payload)
	return h.Sum(nil)[:macBytes]
}

func appendText(b []byte, text string) []byte {
	b = binary.AppendUvarint(b, uint64(len(text)))
	return append(b, text...)
}

func parseIssued(b []byte) (IssuedKey, bool) {
	seconds, n := binary.Varint(b)
	if n <= 0 {
		return IssuedKey{}, false
	}
	node, b, ok := cutText(b[n:])
	if !ok {
		return IssuedKey{}, false
	}
	incarnation, rest, ok := cutText(b)
	if !ok || len(rest) > 0 {
		return IssuedKey{}, false
	}
	return IssuedKey{
		Node:        api.NodeID(node),
		Incarnation: api.Incarnation(incarnation),
		Expires:     time.Unix(seconds, 0).UTC(),
	}, true
}

func cutText(b []byte) (text string, rest []byte, ok bool) {
	size, n := binary.Uvarint(b)
	if n <= 0 || size > uint64(len(b)-n) {
		return "", nil, false
	}
	return string(b[n : n+int(size)]), b[n+int(size):], true
}
