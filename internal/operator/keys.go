package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
	"time"

	"golang.org/x/time/rate"
)

// Role is the set of operations that a key allows.
type Role string

const (
	// RoleView allows reading.
	RoleView Role = "view"
	// RoleOperate allows reading and making changes.
	RoleOperate Role = "operate"
)

const (
	// keyAllowed describes the format of an operator key in the settings, for error messages.
	keyAllowed = `"NAME:ROLE:SHA256" with a name without colons, the role "view" or "operate", and the key's SHA-256 sum in hexadecimal`
	// wrongKeyInterval and wrongKeyBurst are the refill interval and the burst of the node's rate limit of wrong keys.
	wrongKeyInterval = 2 * time.Second
	wrongKeyBurst    = 20
)

// Operator is the owner of a key.
type Operator struct {
	// Name is the name of the key, which becomes the author of the operator's changes.
	Name string
	Role Role
}

// CanOperate reports whether the operator may make changes.
func (o Operator) CanOperate() bool { return o.Role == RoleOperate }

// Keys authenticates operators by the SHA-256 hashes of their keys.
type Keys struct {
	entries []keyEntry
	// wrongKeyLimiter limits the rate of wrong keys. It does not apply to valid keys.
	wrongKeyLimiter *rate.Limiter
}

type keyEntry struct {
	operator Operator
	hash     [sha256.Size]byte
}

// ParseKeys parses the operator keys in the settings, each "NAME:ROLE:SHA256". The error is IsErrBadKey.
func ParseKeys(texts []string) (*Keys, error) {
	keys := &Keys{wrongKeyLimiter: rate.NewLimiter(rate.Every(wrongKeyInterval), wrongKeyBurst)}
	for i, text := range texts {
		entry, ok := parseKey(strings.TrimSpace(text))
		if !ok {
			name, _, _ := strings.Cut(text, ":")
			return nil, Error.Wrap(&ErrBadKey{Index: i, Name: name, Allowed: keyAllowed})
		}
		keys.entries = append(keys.entries, entry)
	}
	return keys, nil
}

func parseKey(text string) (keyEntry, bool) {
	parts := strings.Split(text, ":")
	if len(parts) != 3 || parts[0] == "" {
		return keyEntry{}, false
	}
	role := Role(parts[1])
	hash, err := hex.DecodeString(parts[2])
	if err != nil || len(hash) != sha256.Size || role != RoleView && role != RoleOperate {
		return keyEntry{}, false
	}
	return keyEntry{operator: Operator{Name: parts[0], Role: role}, hash: [sha256.Size]byte(hash)}, true
}

// Authenticate returns the operator to whom key belongs. The error is IsErrUnauthenticated or, once wrong keys exceed the rate limit,
// IsErrTooManyWrongKeys. Every hash is compared in constant time.
func (k *Keys) Authenticate(key string) (Operator, error) {
	hash := sha256.Sum256([]byte(key))
	found := -1
	for i := range k.entries {
		if subtle.ConstantTimeCompare(hash[:], k.entries[i].hash[:]) == 1 {
			found = i
		}
	}
	if found >= 0 && key != "" {
		return k.entries[found].operator, nil
	}
	if !k.wrongKeyLimiter.Allow() {
		return Operator{}, Error.Wrap(&ErrTooManyWrongKeys{})
	}
	return Operator{}, Error.Wrap(&ErrUnauthenticated{})
}
