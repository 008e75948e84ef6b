package load

import (
	"strings"

	"github.com/monsoonrail/monsoonrail/internal/fake/script"
	"github.com/monsoonrail/monsoonrail/internal/trace"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// bytesPerToken is the length of a token of a prompt.
	bytesPerToken = 4
	// maxPromptBytes bounds a prompt, well under the router's bound on bodies.
	maxPromptBytes = 512 << 10
)

// chatRequest returns the request of an entry. Entries with the same prefix share the beginning of their prompts.
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

// filler returns a text of a length that follows from a name.
func filler(name string, length int) string {
	length = min(max(length, 0), maxPromptBytes/2)
	if name == "" || length == 0 {
		return ""
	}
	word := name + " "
	return strings.Repeat(word, length/len(word)+1)[:length]
}

// plainPath returns the path of a plain call; a call without a body carries the call's mark in its query.
func plainPath(entry trace.Entry, call string) string {
	if len(plainBody(entry, call)) > 0 {
		return entry.Path
	}
	return entry.Path + "?" + script.CallMark(call)
}

// plainBody returns the body of a plain call; the servers' records show the call's name.
func plainBody(entry trace.Entry, call string) []byte {
	if entry.Method == "GET" || entry.Method == "HEAD" {
		return nil
	}
	return []byte(`{"Order": "` + script.CallMark(call) + ` "}`)
}
