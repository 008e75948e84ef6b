package load

import (
	"strings"

	"github.com/monsoonrail/monsoonrail/internal/fake/script"
	"github.com/monsoonrail/monsoonrail/internal/trace"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// bytesPerToken is the length of a prompt token in bytes.
	bytesPerToken = 4
	// maxPromptBytes bounds the length of a prompt, well below the router's limit on request bodies.
	maxPromptBytes = 512 << 10
)

// chatRequest returns the chat request of an entry. The prompts of entries with the same prefix begin with the same text.
func chatRequest(entry trace.Entry, call string) api.ChatRequest {
	directives := script.Prompt{
		AnswerTokens:  entry.AnswerTokens,
		Difficulty:    entry.Difficulty,
		HasDifficulty: true,
		Call:          call,
	}
	shared := filler(entry.Prefix, int(entry.PrefixTokens)*bytesPerToken)
	own := filler(call, int(entry.PromptTokens-entry.PrefixTokens)*bytesPerToken)
	return api.ChatRequest{
		Model:  api.ModelAuto,
		Stream: entry.Stream,
		Messages: []api.ChatMessage{
			{Role: "system", Content: shared},
			{Role: "user", Content: own + "\n" + directives.String()},
		},
	}
}

// filler returns a text of the given length in bytes, at most half of maxPromptBytes, that repeats a name.
func filler(name string, length int) string {
	length = min(max(length, 0), maxPromptBytes/2)
	if name == "" || length == 0 {
		return ""
	}
	word := name + " "
	return strings.Repeat(word, length/len(word)+1)[:length]
}

// plainPath returns the path of a plain call. A call without a body has its call name in the query.
func plainPath(entry trace.Entry, call string) string {
	if len(plainBody(entry, call)) > 0 {
		return entry.Path
	}
	return entry.Path + "?" + script.CallMarker(call)
}

// plainBody returns the body of a plain call, which contains the call name so that it appears in the servers' records. It is nil
// for GET and HEAD.
func plainBody(entry trace.Entry, call string) []byte {
	if entry.Method == "GET" || entry.Method == "HEAD" {
		return nil
	}
	return []byte(`{"Order": "` + script.CallMarker(call) + ` "}`)
}
