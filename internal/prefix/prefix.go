// Package prefix names the prefixes of prompts that engines keep in their caches.
package prefix

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// BlockBytes is the granularity of prefixes.
const BlockBytes = 512

// Hash is the xxHash64 of a prompt's first blocks, as 16 hexadecimal digits in cache events.
type Hash uint64

// String returns the 16 hexadecimal digits.
func (h Hash) String() string {
	digits := strconv.FormatUint(uint64(h), 16)
	return strings.Repeat("0", 16-len(digits)) + digits
}

// Parse reads what String writes.
func Parse(text string) (Hash, bool) {
	n, err := strconv.ParseUint(text, 16, 64)
	return Hash(n), err == nil && len(text) == 16
}

// Hashes returns the hash of every prefix of whole blocks of a conversation, the shortest first, at most limit of them.
// The conversation is rendered as the role, a newline, the content and a newline for each message.
func Hashes(messages []api.ChatMessage, limit int) []Hash {
	var hashes []Hash
	digest := xxhash.New()
	left := BlockBytes
	for _, message := range messages {
		for _, part := range [...]string{message.Role, "\n", message.Content, "\n"} {
			for len(part) >= left {
				if len(hashes) == limit {
					return hashes
				}
				_, _ = digest.WriteString(part[:left])
				hashes = append(hashes, Hash(digest.Sum64()))
				part = part[left:]
				left = BlockBytes
			}
			_, _ = digest.WriteString(part)
			left -= len(part)
		}
	}
	return hashes
}
