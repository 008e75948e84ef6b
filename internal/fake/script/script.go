// Package script writes and parses the directives that load tools put into prompts to control fake servers,
// and the markers that fake engines put into answers for the fake rating service.
package script

import (
	"strconv"
	"strings"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// CrashMarker in a prompt crashes every fake engine that runs the prompt.
const CrashMarker = "crash-this-server"

// Prompt holds the directives of a prompt.
type Prompt struct {
	// AnswerTokens is the answer's length if no limit cuts it short; 0 leaves the length to the engine.
	AnswerTokens api.Tokens
	// Difficulty is from 0 to 1 and valid only if HasDifficulty is set.
	Difficulty    float64
	HasDifficulty bool
	// Call identifies the caller's call, so that a test can find its runs; empty for none.
	Call string
	// Crash adds CrashMarker to the prompt.
	Crash bool
}

// String returns the directives as words separated by spaces, to be put into a prompt.
func (p Prompt) String() string {
	var words []string
	if p.AnswerTokens > 0 {
		words = append(words, "tokens="+strconv.FormatInt(int64(p.AnswerTokens), 10))
	}
	if p.HasDifficulty {
		words = append(words, "difficulty="+strconv.FormatFloat(p.Difficulty, 'f', 3, 64))
	}
	if p.Call != "" {
		words = append(words, CallMarker(p.Call))
	}
	if p.Crash {
		words = append(words, CrashMarker)
	}
	return strings.Join(words, " ")
}

// ParsePrompt parses the directives of a prompt; malformed directives are ignored.
func ParsePrompt(prompt string) Prompt {
	var p Prompt
	if tokens, err := strconv.ParseInt(valueAfter(prompt, "tokens="), 10, 32); err == nil && tokens > 0 {
		p.AnswerTokens = api.Tokens(tokens)
	}
	if difficulty, err := strconv.ParseFloat(valueAfter(prompt, "difficulty="), 64); err == nil {
		p.Difficulty, p.HasDifficulty = difficulty, true
	}
	p.Call = ParseCall(prompt)
	p.Crash = strings.Contains(prompt, CrashMarker)
	return p
}

// QualityMarker returns the word in an answer that gives the answer's true quality to the fake rating service.
func QualityMarker(quality api.Quality) string {
	return "quality=" + strconv.FormatFloat(float64(quality), 'f', 3, 64)
}

// ParseQuality parses the quality marker of an answer; it returns false if there is none or it is malformed.
func ParseQuality(answer string) (api.Quality, bool) {
	quality, err := strconv.ParseFloat(valueAfter(answer, "quality="), 64)
	return api.Quality(quality), err == nil
}

// CallMarker returns the word that identifies a call in a prompt or a body.
func CallMarker(call string) string { return "call=" + call }

// ParseCall returns the identifier of the call in a prompt or a body; empty if there is none.
func ParseCall(text string) string { return valueAfter(text, "call=") }

// valueAfter returns the text from the last occurrence of name to the next white space; empty if name does not occur.
func valueAfter(text, name string) string {
	start := strings.LastIndex(text, name)
	if start < 0 {
		return ""
	}
	word := text[start+len(name):]
	if end := strings.IndexAny(word, " \t\r\n"); end >= 0 {
		word = word[:end]
	}
	return word
}
