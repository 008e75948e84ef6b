package edge

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/kv"
)

// TestUnchangedEntriesAreNotDecodedAgain changes one of many entries, and adds an invalid one: only these may be decoded, and a removed entry is gone.
func TestUnchangedEntriesAreNotDecodedAgain(t *testing.T) {
	decodes, rejected := 0, 0
	var kept entries[string]
	decode := func(pairs ...kv.Pair) []string {
		return kept.decode(pairs, func(pair kv.Pair) (string, error) {
			decodes++
			if len(pair.Value) == 0 {
				return "", errors.New("empty")
			}
			return string(pair.Value), nil
		}, func(kv.Pair, error) { rejected++ })
	}
	a, b, c := kv.Pair{Key: "a", Value: []byte("a1"), Version: 1}, kv.Pair{Key: "b", Value: []byte("b1"), Version: 2}, kv.Pair{Key: "c", Version: 3}
	qt.Assert(t, decode(a, b), qt.DeepEquals, []string{"a1", "b1"})
	qt.Assert(t, decodes, qt.Equals, 2)
	b = kv.Pair{Key: "b", Value: []byte("b2"), Version: 4}
	qt.Assert(t, decode(a, b, c), qt.DeepEquals, []string{"a1", "b2"})
	qt.Assert(t, decodes, qt.Equals, 4)
	qt.Assert(t, rejected, qt.Equals, 1)
	qt.Assert(t, decode(b), qt.DeepEquals, []string{"b2"})
	qt.Assert(t, decode(a, b), qt.DeepEquals, []string{"a1", "b2"})
	qt.Assert(t, decodes, qt.Equals, 5)
}
