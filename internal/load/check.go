package load

import (
	"strings"

	"github.com/monsoonrail/monsoonrail/internal/fake/enginefake"
	"github.com/monsoonrail/monsoonrail/internal/fake/script"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// classifyText compares the text of an answer with the one that the fake engine generates for the request and version.
func classifyText(request api.ChatRequest, version api.VersionID, text string) Text {
	_, hasMark := script.ParseQuality(text)
	_, answer, _ := strings.Cut(text, " ")
	if answer != "" {
		answer = " " + answer
	}
	want := enginefake.ExpectedText(request, version)
	switch {
	case answer == want && hasMark:
		return TextWhole
	case strings.HasPrefix(want, answer):
		return TextCut
	case strings.HasPrefix(answer, want) || strings.Count(text, "quality=") > 1:
		return TextRepeated
	default:
		return TextWrong
	}
}
