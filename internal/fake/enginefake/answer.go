package enginefake

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonrail/monsoonrail/internal/fake/script"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// minTokens and spanTokens bound the natural length of an answer that the prompt doesn't set.
	minTokens  = 16
	spanTokens = 48
	// defaultDifficulty is that of a prompt that names none.
	defaultDifficulty = 0.5
)

// words are those of every answer.
var words = strings.Fields("the a commit review letter line test value branch order notice file clerk pupil draft page " +
	"reads keeps shows needs holds returns fails passes moves names clear short whole late early next")

// answer is the text of a generation: every word follows from the seed.
type answer struct {
	seed uint64
	// tokens counts the words; the first one is the mark of the answer's quality.
	tokens int
	mark   string
	// finish is "stop", or "length" where max_tokens cut the answer.
	finish string
}

// ExpectedText returns the answer of a version to a request, but for the first word, which marks the quality.
// It holds for every engine that is not non-deterministic.
func ExpectedText(request api.ChatRequest, version api.VersionID) string {
	prompt := promptText(request.Messages)
	return newAnswer(request, prompt, answerSeed(prompt, version, request.Seed)).text()
}

// newAnswer returns an answer without its mark.
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

// answerFor returns the answer of a version to a request: the same each time, unless the engine is non-deterministic.
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
	quality := TrueQuality(version.Strength, difficulty) - e.faults.spoilt[version.ID]
	a.mark = script.QualityMarker(api.Quality(min(max(quality, 0), 1)))
	return a
}

// TrueQuality returns the quality of an answer by a version of a strength to a prompt of a difficulty.
func TrueQuality(strength, difficulty float64) float64 {
	return 1 - difficulty*(1-strength)
}

// answerSeed is the same on all engines, so that another one yields the same answer.
func answerSeed(prompt string, version api.VersionID, sampling *int64) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(version.String() + "\n" + prompt)
	if sampling != nil {
		_, _ = digest.WriteString("\n" + strconv.FormatInt(*sampling, 10))
	}
	return digest.Sum64()
}

// chunks counts the chunks of the whole answer, the one that ends it included.
func (a answer) chunks() int { return a.tokens + 1 }

// word returns the text of a chunk; the one that ends the answer has none.
func (a answer) word(index int) string {
	switch {
	case index == 0:
		return a.mark
	case index >= a.tokens:
		return ""
	}
	mixed := (a.seed + uint64(index)) * 0x9e3779b97f4a7c15
	return " " + words[(mixed>>32)%uint64(len(words))]
}

// text returns the whole answer.
func (a answer) text() string { return a.textFrom(0) }

// textFrom returns the answer without its first chunks.
func (a answer) textFrom(chunks int) string {
	var text strings.Builder
	for i := chunks; i < a.tokens; i++ {
		text.WriteString(a.word(i))
	}
	return text.String()
}
