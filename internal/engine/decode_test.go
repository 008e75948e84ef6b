package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/monsoonrail/monsoonrail/pkg/api"
	"github.com/monsoonrail/monsoonrail/pkg/sse"
)

// attempt is the generation's id in the events.
const attempt = "r-1"

// tokenEvents are events with a token or an answer's end as engines write them.
var tokenEvents = []string{
	`{"id":"r-1","object":"chat.completion.chunk","created":1769000000,"model":"m@1","choices":[{"index":0,"delta":{"role":"assistant","content":"a"},"finish_reason":null}]}`,
	`{"id":"r-1", "choices": [ {"delta": {"content": " ünd"}, "logprobs": null} ], "usage": null, "system_fingerprint": "fp_1"}`,
	`{"choices":[{"index":0,"delta":{"content":"\"line\"\n\u003c"}}],"id":"r-1"}`,
	`{"id":"r-1","choices":[{"delta":{}}]}`,
	`{"id":"r-1","choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":10,"completion_tokens":2,"total_tokens":12}}`,
}

// decodeDifference describes the difference between decode's result for an event and that of encoding/json; it is empty if they agree.
// Events with duplicate names or names in another case are not compared, since the two decoders choose different ones.
func decodeDifference(data []byte) string {
	var raw api.ChatChunk
	if err := json.Unmarshal(data, &raw); err != nil || !hasUniqueNames(string(data)) || !utf8.Valid(data) {
		_, _ = decode(sse.Event{ID: "7", Data: data}, attempt)
		return ""
	}
	read, err := decode(sse.Event{ID: "7", Data: data}, attempt)
	isOwn := string(raw.ID) == attempt
	switch {
	case !isOwn || len(raw.Choices) != 1:
		if read.isOwn || isOwn != (err != nil) {
			return fmt.Sprintf("read as %+v, %v: %q", read, err, data)
		}
		return ""
	case err != nil:
		return fmt.Sprintf("%v: %q", err, data)
	}
	want := decodedEvent{isOwn: true, chunk: Chunk{Offset: 7, Text: raw.Choices[0].Delta.Content}}
	if reason := raw.Choices[0].FinishReason; reason != nil {
		want = decodedEvent{isOwn: true, isLast: true, chunk: Chunk{FinishReason: *reason}}
		if raw.Usage != nil {
			want.chunk.Usage = *raw.Usage
		}
	}
	if read != want {
		return fmt.Sprintf("read as %+v: %q", read, data)
	}
	return ""
}

// hasUniqueNames reports whether each decoded name occurs at most once, and only in its own case.
func hasUniqueNames(data string) bool {
	for _, name := range []string{
		nameID, nameChoices, nameDelta, nameContent, nameFinishReason, nameUsage, namePromptTokens, nameCompletionTokens, nameTotalTokens,
	} {
		quoted := `"` + name + `"`
		if strings.Count(data, quoted) > 1 || strings.Count(foldCase(data), quoted) != strings.Count(data, quoted) {
			return false
		}
	}
	return true
}

// foldCase lowers letters as encoding/json does to compare names.
func foldCase(data string) string {
	return strings.NewReplacer("\u017f", "s", "\u212a", "k").Replace(strings.ToLower(data))
}

// TestDecodeMatchesEncodingJSON compares decode with encoding/json for events with fragments inserted at random positions.
func TestDecodeMatchesEncodingJSON(t *testing.T) {
	for _, event := range tokenEvents {
		qt.Check(t, decodeDifference([]byte(event)), qt.Equals, "")
	}
	parts := []string{
		`"id":"x",`, `"ID":"x",`, `"choices":[],`, `"usage":{},`, `"finish_reason":"stop",`, `"finish_reason":"",`, `"total_tokens":7,`, `"usage":null,`, `"content":"b",`, `null`, `01`, `1.5`, `-1`,
		`"created":"x",`, `{`, `}`, `[`, `]`, `,`, `\`, `"`, "\xff", "\u017f", "\x01", `"delta":{"content":"c"},`, `12345678901234567890`, ` `,
	}
	rapid.Check(t, func(t *rapid.T) {
		event := rapid.SampledFrom(tokenEvents).Draw(t, "event")
		for range rapid.IntRange(0, 3).Draw(t, "changes") {
			at := rapid.IntRange(0, len(event)).Draw(t, "at")
			cut := rapid.IntRange(at, min(len(event), at+3)).Draw(t, "cut")
			event = event[:at] + rapid.SampledFrom(parts).Draw(t, "part") + event[cut:]
		}
		if difference := decodeDifference([]byte(event)); difference != "" {
			t.Fatal(difference)
		}
	})
}

func FuzzDecode(f *testing.F) {
	for _, event := range tokenEvents {
		f.Add([]byte(event))
	}
	f.Fuzz(func(t *testing.T, event []byte) { qt.Assert(t, decodeDifference(event), qt.Equals, "") })
}

// BenchmarkNext measures reading the tokens of a stream whose body is already available.
func BenchmarkNext(b *testing.B) {
	const tokens = 230
	var body strings.Builder
	for i := range tokens {
		fmt.Fprintf(&body, "id: %d\ndata: %s\n\n", i, tokenEvents[0])
	}
	b.ReportAllocs()
	for b.Loop() {
		stream := streamOf(io.NopCloser(strings.NewReader(body.String())), func() {})
		for range tokens {
			if _, err := stream.Next(b.Context(), time.Minute); err != nil {
				b.Fatal(err)
			}
		}
		stream.Close()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/tokens, "ns/event")
}
