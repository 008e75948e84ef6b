package idem

import (
	"crypto/sha256"
	"encoding/base64"
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Fingerprint is a hash of a request's method, path and body.
type Fingerprint [sha256.Size]byte

// DefaultMaxUsedKeys is the default limit of the used keys that a node remembers.
const DefaultMaxUsedKeys = 1 << 16

// Use is the first request of a key.
type Use struct {
	RequestID   api.RequestID
	Fingerprint Fingerprint
	Expires     time.Time
}

// UsedKeys remembers the used issued keys until they expire, so that each key runs at most one request.
type UsedKeys struct {
	mu  sync.Mutex
	max int
	// current holds the uses of the current lifetime, and previous those of the lifetime before.
	current, previous map[api.IdempotencyKey]Use
	// rotateAt is when current becomes previous, and previous, whose keys have all expired, is dropped.
	rotateAt time.Time
	lifetime time.Duration
}

// NewUsedKeys returns an empty UsedKeys for at most max keys (0 means DefaultMaxUsedKeys) that expire after lifetime (0 means
// DefaultLifetime).
func NewUsedKeys(max int, lifetime time.Duration) *UsedKeys {
	if max == 0 {
		max = DefaultMaxUsedKeys
	}
	if lifetime == 0 {
		lifetime = DefaultLifetime
	}
	return &UsedKeys{max: max, lifetime: lifetime, current: make(map[api.IdempotencyKey]Use)}
}

// RecordUse records the first use of a verified key. It returns the first use and whether this use is the first. The error is
// ErrKeyReused or ErrTooManyKeys; the request must then not run.
func (u *UsedKeys) RecordUse(key api.IdempotencyKey, use Use, now time.Time) (Use, bool, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rotate(now)
	if first, ok := u.firstUse(key); ok {
		if first.Fingerprint != use.Fingerprint {
			return Use{}, false, Error.Wrap(&ErrKeyReused{})
		}
		return first, false, nil
	}
	if len(u.current)+len(u.previous) >= u.max {
		return Use{}, false, Error.Wrap(&ErrTooManyKeys{Max: u.max})
	}
	u.current[key] = use
	return use, true, nil
}

// Release removes the use of a key whose request was not sent to a server, so that the key may be used again.
func (u *UsedKeys) Release(key api.IdempotencyKey, id api.RequestID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, uses := range []map[api.IdempotencyKey]Use{u.current, u.previous} {
		if use, ok := uses[key]; ok && use.RequestID == id {
			delete(uses, key)
		}
	}
}

// Len returns the number of remembered keys.
func (u *UsedKeys) Len() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.current) + len(u.previous)
}

func (u *UsedKeys) firstUse(key api.IdempotencyKey) (Use, bool) {
	if use, ok := u.current[key]; ok {
		return use, true
	}
	use, ok := u.previous[key]
	return use, ok
}

// rotate drops previous after a whole lifetime, when all of its keys have expired.
func (u *UsedKeys) rotate(now time.Time) {
	switch {
	case u.rotateAt.IsZero():
		u.rotateAt = now.Add(u.lifetime)
	case !now.Before(u.rotateAt):
		u.previous = u.current
		u.current = make(map[api.IdempotencyKey]Use)
		u.rotateAt = now.Add(u.lifetime)
	}
}

// MarshalText encodes the fingerprint in base64.
func (f Fingerprint) MarshalText() ([]byte, error) {
	return base64.RawURLEncoding.AppendEncode(nil, f[:]), nil
}

// UnmarshalText decodes the output of MarshalText; the error is ErrBadFingerprint.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	raw, err := base64.RawURLEncoding.DecodeString(string(text))
	if err != nil || len(raw) != len(f) {
		return Error.Wrap(&ErrBadFingerprint{})
	}
	copy(f[:], raw)
	return nil
}

// HashKey returns a hash of a team and its key; its size is independent of theirs.
func HashKey(team api.Team, key api.IdempotencyKey) [sha256.Size]byte {
	text := appendText(nil, string(team))
	return sha256.Sum256(append(text, key...))
}
