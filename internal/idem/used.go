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

// DefaultMaxUsedKeys bounds the used keys that a node remembers.
const DefaultMaxUsedKeys = 1 << 16

// Use is the request that a key was first used for.
type Use struct {
	RequestID   api.RequestID
	Fingerprint Fingerprint
	Expires     time.Time
}

// UsedKeys remembers which issued keys were used until they expire, so that each runs one request at most.
type UsedKeys struct {
	mu  sync.Mutex
	max int
	// uses holds the uses of the current lifetime and older those of the one before.
	uses, older map[api.IdempotencyKey]Use
	// turn is when uses becomes older and older, all of it expired, is forgotten.
	turn     time.Time
	lifetime time.Duration
}

// NewUsedKeys returns an empty memory of at most max keys (0 means DefaultMaxUsed) with a lifetime (0 means
// DefaultLifetime).
func NewUsedKeys(max int, lifetime time.Duration) *UsedKeys {
	if max == 0 {
		max = DefaultMaxUsedKeys
	}
	if lifetime == 0 {
		lifetime = DefaultLifetime
	}
	return &UsedKeys{max: max, lifetime: lifetime, uses: make(map[api.IdempotencyKey]Use)}
}

// RecordUse remembers the first use of a key that Verify accepted, and tells whether it is the first. If it is not, the
// first use is returned. The error is IsErrKeyReused or IsErrTooManyKeys; the request must then not run.
func (u *UsedKeys) RecordUse(key api.IdempotencyKey, use Use, now time.Time) (Use, bool, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.forget(now)
	if first, ok := u.find(key); ok {
		if first.Fingerprint != use.Fingerprint {
			return Use{}, false, Error.Wrap(&ErrKeyReused{})
		}
		return first, false, nil
	}
	if len(u.uses)+len(u.older) >= u.max {
		return Use{}, false, Error.Wrap(&ErrTooManyKeys{Max: u.max})
	}
	u.uses[key] = use
	return use, true, nil
}

// Release forgets the use of a key whose request was never handed to a server, so that it may be tried again.
func (u *UsedKeys) Release(key api.IdempotencyKey, id api.RequestID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, uses := range []map[api.IdempotencyKey]Use{u.uses, u.older} {
		if use, ok := uses[key]; ok && use.RequestID == id {
			delete(uses, key)
		}
	}
}

// Len counts the keys remembered.
func (u *UsedKeys) Len() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.uses) + len(u.older)
}

func (u *UsedKeys) find(key api.IdempotencyKey) (Use, bool) {
	if use, ok := u.uses[key]; ok {
		return use, true
	}
	use, ok := u.older[key]
	return use, ok
}

// forget drops older once a whole lifetime has passed since the last use in it.
func (u *UsedKeys) forget(now time.Time) {
	switch {
	case u.turn.IsZero():
		u.turn = now.Add(u.lifetime)
	case !now.Before(u.turn):
		u.older = u.uses
		u.uses = make(map[api.IdempotencyKey]Use)
		u.turn = now.Add(u.lifetime)
	}
}

// MarshalText writes the fingerprint in base64.
func (f Fingerprint) MarshalText() ([]byte, error) {
	return base64.RawURLEncoding.AppendEncode(nil, f[:]), nil
}

// UnmarshalText reads what MarshalText wrote; the error is ErrBadFingerprint.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	raw, err := base64.RawURLEncoding.DecodeString(string(text))
	if err != nil || len(raw) != len(f) {
		return Error.Wrap(&ErrBadFingerprint{})
	}
	copy(f[:], raw)
	return nil
}

// HashKey returns a hash of a team's key, whose size does not depend on theirs.
func HashKey(team api.Team, key api.IdempotencyKey) [sha256.Size]byte {
	text := appendText(nil, string(team))
	return sha256.Sum256(append(text, key...))
}
