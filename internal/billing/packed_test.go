package billing

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/monsoonrail/monsoonrail/internal/billing/billingpb"
)

func drawSum(rt *rapid.T) *billingpb.Sum {
	number := rapid.Int64Range(0, 1<<40)
	return &billingpb.Sum{
		Team: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "team"), Service: "s", Model: "m",
		Version: rapid.SampledFrom([]string{"1", "2"}).Draw(rt, "version"), Day: rapid.Int64Range(1, 2).Draw(rt, "day"),
		Requests: rapid.Int64Range(1, 3).Draw(rt, "requests"), PromptTokens: number.Draw(rt, "prompt"),
		AnswerTokens: number.Draw(rt, "answer"), CostMicroUsd: number.Draw(rt, "cost"),
	}
}

// TestPackedBatchRoundTrip sends packed batches in messages of which some arrive twice or not at all.
func TestPackedBatchRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var sender, receiver kindList
		known := 0
		for first := range uint64(rapid.IntRange(1, 10).Draw(rt, "messages")) {
			batch := &billingpb.Segment{First: first, Last: first + rapid.Uint64Range(0, 3).Draw(rt, "more")}
			for range rapid.IntRange(0, 4).Draw(rt, "sums") {
				batch.Sums = append(batch.Sums, drawSum(rt))
			}
			for range rapid.IntRange(0, 2).Draw(rt, "keyed") {
				batch.Keyed = append(batch.Keyed, &billingpb.Keyed{Id: rapid.SliceOfN(rapid.Byte(), idBytes, idBytes).Draw(rt, "id"), Sum: drawSum(rt)})
			}
			req := &billingpb.HoldRequest{KnownKinds: uint32(known), Packed: []*billingpb.PackedBatch{sender.pack(batch)}}
			req.Kinds = sender.encodeFrom(known)
			for range rapid.IntRange(0, 2).Draw(rt, "arrives") {
				isKnown := receiver.extend(req.KnownKinds, req.Kinds)
				got, ok := receiver.unpack(req.Packed[0])
				if !isKnown || !ok || !proto.Equal(got, batch) {
					rt.Fatalf("got %v, sent %v", got, batch)
				}
			}
			if rapid.Bool().Draw(rt, "answered") {
				known = len(receiver.kinds)
			}
		}
	})
}

// TestInvalidPackedBatchesAreRejected corrupts each column of a packed batch and refers to unknown kinds.
func TestInvalidPackedBatchesAreRejected(t *testing.T) {
	c := qt.New(t)
	list := kindList{kinds: make([]kind, 2)}
	good := func() *billingpb.PackedBatch {
		return &billingpb.PackedBatch{
			First: 1, Kinds: []uint32{0, 1}, PromptTokens: []int64{1, 2}, AnswerTokens: []int64{1, 2}, CostMicroUsd: []int64{1, 2},
			Ids: make([]byte, idBytes),
		}
	}
	_, ok := list.unpack(good())
	c.Assert(ok, qt.IsTrue)
	for name, corrupt := range map[string]func(*billingpb.PackedBatch){
		"kind":     func(p *billingpb.PackedBatch) { p.Kinds[0] = 2 },
		"prompt":   func(p *billingpb.PackedBatch) { p.PromptTokens = p.PromptTokens[:1] },
		"answer":   func(p *billingpb.PackedBatch) { p.AnswerTokens = nil },
		"cost":     func(p *billingpb.PackedBatch) { p.CostMicroUsd = append(p.CostMicroUsd, 3) },
		"requests": func(p *billingpb.PackedBatch) { p.Requests = []int64{1} },
		"ids":      func(p *billingpb.PackedBatch) { p.Ids = p.Ids[:5] },
		"more ids": func(p *billingpb.PackedBatch) { p.Ids = make([]byte, 3*idBytes) },
	} {
		packed := good()
		corrupt(packed)
		_, ok := list.unpack(packed)
		c.Assert(ok, qt.IsFalse, qt.Commentf("%s", name))
	}
	c.Assert(list.extend(3, nil), qt.IsFalse)
}
