package prefix

import (
	"slices"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

func TestHashesOfWholeBlocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lengths := rapid.SliceOfN(rapid.IntRange(0, 3*BlockBytes), 0, 4).Draw(t, "lengths")
		var messages []api.ChatMessage
		var prompt strings.Builder
		for _, n := range lengths {
			content := strings.Repeat("a", n)
			messages = append(messages, api.ChatMessage{Role: "user", Content: content})
			prompt.WriteString("user\n" + content + "\n")
		}
		var want []Hash
		for end := BlockBytes; end <= prompt.Len() && len(want) < 5; end += BlockBytes {
			want = append(want, Hash(xxhash.Sum64String(prompt.String()[:end])))
		}
		if got := Hashes(messages, 5); !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

func TestParse(t *testing.T) {
	hash, ok := Parse(Hash(0xabc).String())
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, hash, qt.Equals, Hash(0xabc))
	_, ok = Parse("abc")
	qt.Assert(t, ok, qt.IsFalse)
}
