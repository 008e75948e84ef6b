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

// attempt names the generation of the events.
const attempt = "r-1"

// tokenEvents are events of tokens and of an answer's end as engines write them.
var tokenEvents = []string{
	`{"id":"r-1","object":"chat.completion.chunk","created":1769000000,"model":"m@1","choices":[{"index":0,"delta":{"role":"assistant","content":"a"},"finish_reason":null}]}`,
	`{"id":"r-1", "choices": [ {"delta": {"content": " ünd"}, "logprobs": null} ], "usage": null, "system_fingerprint": "fp_1"}`,
	`{"choices":[{"index":0,"delta":{"content":"\"line\"\n\u003c"}}],"id":"r-1"}`,
	`{"id":"r-1","choices":[{"delta":{}}]}`,
	`{"id":"r-1","choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":10,"completion_tokens":2,"total_tokens":12}}`,
}

// differs tells how an event is read otherwise than encoding/json reads it; it is empty if it is read alike. Names that come twice or
// in another case, of which the two take different ones, are left out.
func differs(data []byte) string {
	var raw api.ChatChunk
	if err := json.Unmarshal(data, &raw); err != nil || !isPlainlyNamed(string(data)) || !utf8.Valid(data) {
		_, _ = decode(sse.Event{ID: "7", Data: data}, attempt)
		return ""
	}
	read, err := decode(sse.Event{ID: "7", Data: data}, attempt)
	isMine := string(raw.ID) == attempt
	switch {
	case !isMine || len(raw.Choices) != 1:
		if read.isMine || isMine != (err != nil) {
			return fmt.Sprintf("read as %+v, %v: %q", read, err, data)
		}
		return ""
	case err != nil:
		return fmt.Sprintf("%v: %q", err, data)
	}
	want := decoded{isMine: true, chunk: Chunk{Offset: 7, Text: raw.Choices[0].Delta.Content}}
	if reason := raw.Choices[0].FinishReason; reason != nil {
		want = decoded{isMine: true, isLast: true, chunk: Chunk{FinishReason: *reason}}
		if raw.Usage != nil {
			want.chunk.Usage = *raw.Usage
		}
	}
	if read != want {
		return fmt.Sprintf("read as %+v: %q", read, data)
	}
	return ""
}

// isPlainlyNamed reports whether each name that is read comes once at most, and in its own case.
func isPlainlyNamed(data string) bool {
	for _, name := range []string{
		nameID, nameChoices, nameDelta, nameContent, nameFinishReason, nameUsage, namePromptTokens, nameCompletionTokens, nameTotalTokens,
	} {
		quoted := `"` + name + `"`
		if strings.Count(data, quoted) > 1 || strings.Count(fold(data), quoted) != strings.Count(data, quoted) {
			return false
		}
	}
	return true
}

// fold puts letters into lower case as encoding/json does to compare names.
func fold(data string) string {
	return strings.NewReplacer("\u017f", "s", "\u212a", "k").Replace(strings.ToLower(data))
}

// TestEventsAreReadAsByTheStandardDecoder puts parts of events and odd values into others.
func TestEventsAreReadAsByTheStandardDecoder(t *testing.T) {
	for _, event := range tokenEvents {
		qt.Check(t, differs([]byte(event)), qt.Equals, "")
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
		if difference := differs([]byte(event)); difference != "" {
			t.Fatal(difference)
		}
	})
}

func FuzzDecode(f *testing.F) {
	for _, event := range tokenEvents {
		f.Add([]byte(event))
	}
	f.Fuzz(func(t *testing.T, event []byte) { qt.Assert(t, differs(event), qt.Equals, "") })
}

// BenchmarkNext reads the tokens of a stream that is there already.
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
