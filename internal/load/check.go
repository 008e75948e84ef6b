package load

import (
	"strings"

	"github.com/monsoonrail/monsoonrail/internal/fake/enginefake"
	"github.com/monsoonrail/monsoonrail/internal/fake/script"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// checkText compares a text with what the version should have answered.
func checkText(request api.ChatRequest, version api.VersionID, text string) Text {
	_, hasMark := script.ParseQuality(text)
	_, rest, _ := strings.Cut(text, " ")
	if rest != "" {
		rest = " " + rest
	}
	want := enginefake.ExpectedText(request, version)
	switch {
	case rest == want && hasMark:
		return TextWhole
	case strings.HasPrefix(want, rest):
		return TextCut
	case strings.HasPrefix(rest, want) || strings.Count(text, "quality=") > 1:
		return TextRepeated
	default:
		return TextWrong
	}
}
