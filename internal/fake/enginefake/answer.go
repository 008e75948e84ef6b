package enginefake

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonrail/monsoonrail/internal/fake/script"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// minTokens and spanTokens set the range of an answer's length if the prompt doesn't set the length.
	minTokens  = 16
	spanTokens = 48
	// defaultDifficulty is the difficulty of a prompt that doesn't set one.
	defaultDifficulty = 0.5
)

// words is the vocabulary of all answers.
var words = strings.Fields("the a commit review letter line test value branch order notice file clerk pupil draft page " +
	"reads keeps shows needs holds returns fails passes moves names clear short whole late early next")

// answer is the text of a generation; the seed determines every word after the first.
type answer struct {
	seed uint64
	// tokens is the number of words; the first one is qualityMark.
	tokens      int
	qualityMark string
	// finish is "stop", or "length" if max_tokens cut the answer short.
	finish string
}

// ExpectedText returns the answer of a version to a request without the first word, which marks the quality.
// It applies to every deterministic engine.
func ExpectedText(request api.ChatRequest, version api.VersionID) string {
	prompt := promptText(request.Messages)
	return newAnswer(request, prompt, answerSeed(prompt, version, request.Seed)).text()
}

// newAnswer returns an answer without its quality mark.
func newAnswer(request api.ChatRequest, prompt string, seed uint64) answer {
	a := answer{seed: seed, tokens: int(script.ParsePrompt(prompt).AnswerTokens), finish: "stop"}
	if a.tokens == 0 {
		a.tokens = minTokens + int(seed%spanTokens)
	}
	if limit := int(request.MaxTokens); limit > 0 && limit < a.tokens {
		a.tokens, a.finish = limit, "length"
	}
	return a
}

// answerFor returns the answer of a version to a request. It is the same each time, unless the engine is non-deterministic.
func (e *Engine) answerFor(request api.ChatRequest, version Version) answer {
	prompt := promptText(request.Messages)
	seed := answerSeed(prompt, version.ID, request.Seed)
	if e.opts.NonDeterministic {
		seed = e.rng.Uint64()
	}
	a := newAnswer(request, prompt, seed)
	directives := script.ParsePrompt(prompt)
	difficulty := defaultDifficulty
	if directives.HasDifficulty {
		difficulty = directives.Difficulty
	}
	quality := TrueQuality(version.Strength, difficulty) - e.faults.qualityLoss[version.ID]
	a.qualityMark = script.QualityMarker(api.Quality(min(max(quality, 0), 1)))
	return a
}

// TrueQuality returns the quality of an answer by a version with the given strength to a prompt of the given difficulty.
func TrueQuality(strength, difficulty float64) float64 {
	return 1 - difficulty*(1-strength)
}

// answerSeed returns the seed of an answer. It is the same on all engines, so that all of them give the same answer.
func answerSeed(prompt string, version api.VersionID, sampling *int64) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(version.String() + "\n" + prompt)
	if sampling != nil {
		_, _ = digest.WriteString("\n" + strconv.FormatInt(*sampling, 10))
	}
	return digest.Sum64()
}

// chunks returns the number of chunks of the complete answer, including the final one.
func (a answer) chunks() int { return a.tokens + 1 }

// word returns the text of a chunk; the final chunk has none.
func (a answer) word(index int) string {
	switch {
	case index == 0:
		return a.qualityMark
	case index >= a.tokens:
		return ""
	}
	mixed := (a.seed + uint64(index)) * 0x9e3779b97f4a7c15
	return " " + words[(mixed>>32)%uint64(len(words))]
}

// text returns the complete answer.
func (a answer) text() string { return a.textFrom(0) }

// textFrom returns the answer without its first chunks.
func (a answer) textFrom(chunks int) string {
	var text strings.Builder
	for i := chunks; i < a.tokens; i++ {
		text.WriteString(a.word(i))
	}
	return text.String()
}
