package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
	"time"

	"golang.org/x/time/rate"
)

// Role is what a key allows.
type Role string

const (
	// RoleView allows to look.
	RoleView Role = "view"
	// RoleOperate allows to look and to change.
	RoleOperate Role = "operate"
)

const (
	// keyAllowed describes a key of the settings.
	keyAllowed = `"NAME:ROLE:SHA256" with a name without colons, the role "view" or "operate", and the key's SHA-256 sum in hexadecimal`
	// triesEvery and triesBurst bound wrong keys a node.
	triesEvery = 2 * time.Second
	triesBurst = 20
)

// Operator is who a key belongs to.
type Operator struct {
	// Name is the author of the operator's changes.
	Name string
	Role Role
}

// CanOperate reports whether the operator may make changes.
func (o Operator) CanOperate() bool { return o.Role == RoleOperate }

// Keys knows the operators by the hashes of their keys.
type Keys struct {
	entries []keyEntry
	// wrong is what is left for wrong keys.
	wrong *rate.Limiter
}

type keyEntry struct {
	operator Operator
	hash     [sha256.Size]byte
}

// ParseKeys reads the keys of the settings, each "NAME:ROLE:SHA256". The error is IsErrBadKey.
func ParseKeys(texts []string) (*Keys, error) {
	keys := &Keys{wrong: rate.NewLimiter(rate.Every(triesEvery), triesBurst)}
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

// Authenticate returns the operator of a key. The error is IsErrUnauthenticated or IsErrTooManyTries.
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
	if !k.wrong.Allow() {
		return Operator{}, Error.Wrap(&ErrTooManyWrongKeys{})
	}
	return Operator{}, Error.Wrap(&ErrUnauthenticated{})
}
