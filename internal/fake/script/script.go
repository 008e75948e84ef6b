// Package script writes and reads the directives that load tools put into prompts to steer the stand-ins,
// and the marks that stand-in engines put into answers for the stand-in of the rating service.
package script

import (
	"strconv"
	"strings"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// CrashMarker in a prompt crashes every stand-in engine that runs it.
const CrashMarker = "crash-this-server"

// Prompt holds the directives of a prompt.
type Prompt struct {
	// AnswerTokens is the answer's natural length; 0 leaves it to the engine.
	AnswerTokens api.Tokens
	// Difficulty is from 0 to 1; HasDifficulty tells that it is given.
	Difficulty    float64
	HasDifficulty bool
	// Call names the caller's call, so that a test finds its runs; empty for none.
	Call string
	// Crash asks for CrashMarker.
	Crash bool
}

// String writes the directives as words of a prompt.
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

// ParsePrompt reads the directives of a prompt; what is malformed counts as not given.
func ParsePrompt(prompt string) Prompt {
	var p Prompt
	if tokens, err := strconv.ParseInt(value(prompt, "tokens="), 10, 32); err == nil && tokens > 0 {
		p.AnswerTokens = api.Tokens(tokens)
	}
	if difficulty, err := strconv.ParseFloat(value(prompt, "difficulty="), 64); err == nil {
		p.Difficulty, p.HasDifficulty = difficulty, true
	}
	p.Call = ParseCall(prompt)
	p.Crash = strings.Contains(prompt, CrashMarker)
	return p
}

// QualityMarker returns the word that tells an answer's true quality to the stand-in of the rating service.
func QualityMarker(quality api.Quality) string {
	return "quality=" + strconv.FormatFloat(float64(quality), 'f', 3, 64)
}

// ParseQuality reads the mark out of an answer.
func ParseQuality(answer string) (api.Quality, bool) {
	quality, err := strconv.ParseFloat(value(answer, "quality="), 64)
	return api.Quality(quality), err == nil
}

// CallMarker returns the word that names a call in a prompt or a body.
func CallMarker(call string) string { return "call=" + call }

// ParseCall reads the name of a call out of a prompt or a body; it is empty if there is none.
func ParseCall(text string) string { return value(text, "call=") }

// value returns the word that follows the last occurrence of a name.
func value(text, name string) string {
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
