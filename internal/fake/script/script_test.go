package script

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestPromptIsRead(t *testing.T) {
	want := Prompt{AnswerTokens: 12, Difficulty: 0.25, HasDifficulty: true, Call: "c7", Crash: true}
	qt.Assert(t, ParsePrompt("Explain this. "+want.String()+"\nplease"), qt.Equals, want)
	qt.Assert(t, ParsePrompt("tokens=-3 difficulty=x"), qt.Equals, Prompt{})
}

func TestQualityIsRead(t *testing.T) {
	quality, ok := ParseQuality("some words " + QualityMarker(0.75))
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, float64(quality), qt.Equals, 0.75)
	_, ok = ParseQuality("some words")
	qt.Assert(t, ok, qt.IsFalse)
}
