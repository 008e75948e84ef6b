// Package prefix computes the hashes that identify the prompt prefixes in engines' caches.
package prefix

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// BlockBytes is the size of a block; prefixes consist of whole blocks.
const BlockBytes = 512

// Hash is the xxHash64 of the first blocks of a prompt; cache events write it as 16 hexadecimal digits.
type Hash uint64

// String returns the 16 hexadecimal digits.
func (h Hash) String() string {
	digits := strconv.FormatUint(uint64(h), 16)
	return strings.Repeat("0", 16-len(digits)) + digits
}

// Parse parses the output of String, and reports false if the text is invalid.
func Parse(text string) (Hash, bool) {
	n, err := strconv.ParseUint(text, 16, 64)
	return Hash(n), err == nil && len(text) == 16
}

// Hashes returns the hash of every prefix of whole blocks of a conversation, the shortest first, at most limit of them.
// The conversation is rendered as the role, a newline, the content and a newline for each message.
func Hashes(messages []api.ChatMessage, limit int) []Hash {
	var hashes []Hash
	digest := xxhash.New()
	blockBytesLeft := BlockBytes
	for _, message := range messages {
		for _, part := range [...]string{message.Role, "\n", message.Content, "\n"} {
			for len(part) >= blockBytesLeft {
				if len(hashes) == limit {
					return hashes
				}
				_, _ = digest.WriteString(part[:blockBytesLeft])
				hashes = append(hashes, Hash(digest.Sum64()))
				part = part[blockBytesLeft:]
				blockBytesLeft = BlockBytes
			}
			_, _ = digest.WriteString(part)
			blockBytesLeft -= len(part)
		}
	}
	return hashes
}
