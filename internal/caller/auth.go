package caller

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
	"sync/atomic"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// hashPrefixBytes is the length of the hash prefix by which candidates are looked up before the constant-time comparison.
const hashPrefixBytes = 4

// authenticator finds the team of a bearer key.
type authenticator struct {
	// index is rebuilt for each configuration.
	index atomic.Pointer[keyIndex]
}

type keyIndex struct {
	config *fleet.Config
	// byPrefix holds the key hashes by their prefix.
	byPrefix map[[hashPrefixBytes]byte][]keyEntry
}

type keyEntry struct {
	hash [sha256.Size]byte
	team api.Team
}

// team returns the team of the bearer key in an Authorization header.
func (a *authenticator) team(cfg *fleet.Config, header string) (api.Team, bool) {
	key, ok := strings.CutPrefix(header, "Bearer ")
	if !ok || key == "" {
		return "", false
	}
	index := a.index.Load()
	if index == nil || index.config != cfg {
		index = newKeyIndex(cfg)
		a.index.Store(index)
	}
	return index.find(sha256.Sum256([]byte(key)))
}

func newKeyIndex(cfg *fleet.Config) *keyIndex {
	index := &keyIndex{config: cfg, byPrefix: make(map[[hashPrefixBytes]byte][]keyEntry)}
	for _, team := range cfg.Teams {
		for _, text := range team.KeyHashes {
			raw, err := hex.DecodeString(text)
			if err != nil || len(raw) != sha256.Size {
				continue
			}
			entry := keyEntry{hash: [sha256.Size]byte(raw), team: team.Name}
			prefix := [hashPrefixBytes]byte(raw)
			index.byPrefix[prefix] = append(index.byPrefix[prefix], entry)
		}
	}
	return index
}

func (i *keyIndex) find(hash [sha256.Size]byte) (api.Team, bool) {
	found := api.Team("")
	ok := false
	for _, entry := range i.byPrefix[[hashPrefixBytes]byte(hash[:])] {
		if subtle.ConstantTimeCompare(entry.hash[:], hash[:]) == 1 {
			found = entry.team
			ok = true
		}
	}
	return found, ok
}
