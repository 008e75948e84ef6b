package share

import (
	"fmt"
	"maps"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/monsoonrail/monsoonrail/internal/peer"
)

type count struct {
	Key   string
	Value int
}

// counts is a node's state: for each key the greatest value heard of.
type counts map[string]count

func (c counts) apply(records []count, _ time.Time) {
	for _, r := range records {
		if r.Value > c[r.Key].Value {
			c[r.Key] = r
		}
	}
}

func (c counts) topic() *Topic[count] {
	all := func(time.Time) map[string]count { return maps.Clone(c) }
	return NewTopic(Options[count]{Name: "counts", FailureDomain: "home", ForOwnDomain: all, ForOtherDomains: all, Apply: c.apply, Dictionary: wordsOfCounts})
}

var wordsOfCounts = []byte(`[{"Key":"","Value":`)

// TestPeersConverge draws changes and exchanges of two nodes with small payloads; in the end both hold the same.
func TestPeersConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		states := []counts{{}, {}}
		topics := []*Topic[count]{states[0].topic(), states[1].topic()}
		told := []uint64{0, 0}
		exchange := func(from, maxBytes int) {
			// A peer's protocol isn't known at first.
			protocol := uint32(rapid.SampledFrom([]int{0, MinDictionaryProtocol}).Draw(rt, "protocol"))
			payload, version := topics[from].Since(told[from], peer.Member{FailureDomain: "home", Protocol: protocol}, maxBytes)
			if len(payload) > 0 && (payload[0] == packedWithWords) != (protocol == MinDictionaryProtocol) {
				rt.Fatal("a release is told what it can't read")
			}
			told[from] = version
			if len(payload) == 0 {
				return
			}
			if len(payload) > maxBytes {
				rt.Fatalf("payload of %d bytes over %d", len(payload), maxBytes)
			}
			if _, err := topics[1-from].Merge(peer.Member{}, payload); err != nil {
				rt.Fatal(err)
			}
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			node := rapid.IntRange(0, 1).Draw(rt, "node")
			if rapid.Bool().Draw(rt, "changes") {
				key := fmt.Sprint(rapid.IntRange(0, 20).Draw(rt, "key"))
				states[node].apply([]count{{Key: key, Value: rapid.IntRange(1, 1000).Draw(rt, "value")}}, time.Time{})
				continue
			}
			exchange(node, rapid.IntRange(80, 400).Draw(rt, "maxBytes"))
		}
		for range 60 {
			exchange(0, 400)
			exchange(1, 400)
		}
		if !maps.Equal(states[0], states[1]) {
			rt.Fatalf("%v differs from %v", states[0], states[1])
		}
	})
}

func TestMergeRefusesBadPayloads(t *testing.T) {
	state := counts{}
	topic := state.topic()
	for _, payload := range [][]byte{nil, []byte("no gzip"), []byte("\x1f\x8b\x08"), {packedWithWords, 0xff}} {
		_, err := topic.Merge(peer.Member{}, payload)
		qt.Check(t, err, qt.ErrorMatches, "share: bad payload: .*")
	}
	qt.Check(t, len(state), qt.Equals, 0)
}

func FuzzMerge(f *testing.F) {
	for _, words := range [][]byte{nil, wordsOfCounts} {
		packed, err := pack([][]byte{[]byte(`{"Key":"a","Value":1}`)}, words)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(packed)
	}
	f.Add([]byte("\x1f\x8b\x08"))
	f.Fuzz(func(t *testing.T, payload []byte) {
		state := counts{}
		if _, err := state.topic().Merge(peer.Member{}, payload); err != nil && len(state) > 0 {
			t.Fatal("a bad payload was taken in")
		}
	})
}
