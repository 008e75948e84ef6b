package billing

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/monsoonrail/monsoonrail/internal/billing/billingpb"
)

func drawSegment(rt *rapid.T) *billingpb.Segment {
	s := &billingpb.Segment{First: 3, Last: 9}
	for range rapid.IntRange(0, 4).Draw(rt, "sums") {
		s.Sums = append(s.Sums, drawSum(rt))
	}
	for range rapid.IntRange(0, 3).Draw(rt, "keyed") {
		id := rapid.SliceOfN(rapid.Byte(), idBytes, idBytes).Draw(rt, "id")
		s.Keyed = append(s.Keyed, &billingpb.Keyed{Id: id, Sum: drawSum(rt)})
	}
	return s
}

// TestSegmentRoundTrip decodes segments in the column format and in the format of older releases.
func TestSegmentRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		segment := drawSegment(rt)
		legacy, err := proto.Marshal(segment)
		if err != nil {
			rt.Fatal(err)
		}
		encoded, err := EncodeSegment(segment)
		if err != nil {
			rt.Fatal(err)
		}
		for _, value := range [][]byte{legacy, encoded} {
			got, err := DecodeSegment(value)
			if err != nil || !proto.Equal(got, segment) {
				rt.Fatalf("got %v, error %v, wrote %v", got, err, segment)
			}
		}
	})
}

// TestInvalidColumnsAreRejected corrupts each column in turn.
func TestInvalidColumnsAreRejected(t *testing.T) {
	c := qt.New(t)
	sum := &billingpb.Sum{Team: "a", Service: "s", Requests: 1}
	for name, corrupt := range map[string]func(*billingpb.Columns){
		"name":     func(p *billingpb.Columns) { p.Teams[0] = 9 },
		"teams":    func(p *billingpb.Columns) { p.Teams = nil },
		"services": func(p *billingpb.Columns) { p.Services = nil },
		"models":   func(p *billingpb.Columns) { p.Models = append(p.Models, 0) },
		"versions": func(p *billingpb.Columns) { p.Versions = nil },
		"days":     func(p *billingpb.Columns) { p.Days = nil },
		"requests": func(p *billingpb.Columns) { p.Requests = nil },
		"prompt":   func(p *billingpb.Columns) { p.PromptTokens = nil },
		"answer":   func(p *billingpb.Columns) { p.AnswerTokens = nil },
		"cost":     func(p *billingpb.Columns) { p.CostMicroUsd = nil },
		"ids":      func(p *billingpb.Columns) { p.Ids = make([]byte, 2*idBytes) },
		"part":     func(p *billingpb.Columns) { p.Ids = make([]byte, 1) },
	} {
		columns := ToColumns([]*billingpb.Sum{sum}, nil)
		corrupt(columns)
		_, _, err := FromColumns(columns)
		var bad *ErrInvalidColumns
		c.Assert(err, qt.ErrorAs, &bad, qt.Commentf("%s", name))
	}
}
