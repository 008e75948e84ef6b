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

// counts is the state of a node, the greatest value received for each key.
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
	return NewTopic(Options[count]{
		Name: "counts", FailureDomain: "home", ForOwnDomain: all, ForOtherDomains: all, Apply: c.apply, Dictionary: countsDictionary,
	})
}

var countsDictionary = []byte(`[{"Key":"","Value":`)

// TestPeersConverge checks that two nodes have the same records after random changes and exchanges with small payloads, and that a payload
// uses the dictionary only if the peer's protocol supports that.
func TestPeersConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		states := []counts{{}, {}}
		topics := []*Topic[count]{states[0].topic(), states[1].topic()}
		sentUpTo := []uint64{0, 0}
		exchange := func(from, maxBytes int) {
			// A peer's protocol is 0 until it is known.
			protocol := uint32(rapid.SampledFrom([]int{0, MinDictionaryProtocol}).Draw(rt, "protocol"))
			payload, version := topics[from].Since(sentUpTo[from], peer.Member{FailureDomain: "home", Protocol: protocol}, maxBytes)
			if len(payload) > 0 && (payload[0] == dictionaryMarker) != (protocol == MinDictionaryProtocol) {
				rt.Fatal("the payload doesn't have the format of the peer's protocol")
			}
			sentUpTo[from] = version
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

func TestMergeRejectsBadPayloads(t *testing.T) {
	state := counts{}
	topic := state.topic()
	for _, payload := range [][]byte{nil, []byte("no gzip"), []byte("\x1f\x8b\x08"), {dictionaryMarker, 0xff}} {
		_, err := topic.Merge(peer.Member{}, payload)
		qt.Check(t, err, qt.ErrorMatches, "share: bad payload: .*")
	}
	qt.Check(t, len(state), qt.Equals, 0)
}

func FuzzMerge(f *testing.F) {
	for _, dictionary := range [][]byte{nil, countsDictionary} {
		payload, err := compress([][]byte{[]byte(`{"Key":"a","Value":1}`)}, dictionary)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(payload)
	}
	f.Add([]byte("\x1f\x8b\x08"))
	f.Fuzz(func(t *testing.T, payload []byte) {
		state := counts{}
		if _, err := state.topic().Merge(peer.Member{}, payload); err != nil && len(state) > 0 {
			t.Fatal("a bad payload was applied")
		}
	})
}
