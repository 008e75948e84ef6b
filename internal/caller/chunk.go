package caller

import (
	"bytes"
	"encoding/json"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/monsoonrail/monsoonrail/internal/answer"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// noDelta ends a chunk that adds nothing and doesn't end the answer.
const noDelta = `{},"finish_reason":null}]}`

// chunkForm writes the chunks of one answer, which are alike but for their text.
type chunkForm struct {
	// version and created are those of the answer's head that prefix is for.
	version api.VersionID
	created time.Time
	// prefix is what comes before the delta; nil before the first chunk.
	prefix []byte
}

// setHead prepares the chunks of an answer whose head may have changed.
func (f *chunkForm) setHead(ans *answer.Answer, head answer.Head) {
	if f.prefix != nil && f.version == head.Version && f.created.Equal(head.Created) {
		return
	}
	f.version, f.created = head.Version, head.Created
	f.prefix = bytes.TrimSuffix(chunkOf(ans, head, api.ChatChunkChoice{}, nil), []byte(noDelta))
}

// append appends the event of a token, whose id is its offset.
func (f *chunkForm) append(to []byte, offset int, text []byte) []byte {
	to = append(to, "id: "...)
	to = strconv.AppendInt(to, int64(offset), 10)
	to = append(to, "\ndata: "...)
	to = append(to, f.prefix...)
	to = append(to, '{')
	if offset == 0 {
		to = append(to, `"role":"assistant"`...)
	}
	if offset == 0 && len(text) > 0 {
		to = append(to, ',')
	}
	if len(text) > 0 {
		to = append(to, `"content":`...)
		to = appendString(to, text)
	}
	to = append(to, noDelta[1:]...)
	return append(to, "\n\n"...)
}

// appendString appends text as encoding/json writes a string.
func appendString(to, text []byte) []byte {
	if !isPlain(text) {
		quoted, err := json.Marshal(string(text))
		if err != nil {
			// A string can always be encoded.
			return append(to, `""`...)
		}
		return append(to, quoted...)
	}
	to = append(to, '"')
	to = append(to, text...)
	return append(to, '"')
}

// isPlain reports whether a JSON string holds the text as it is.
func isPlain(text []byte) bool {
	for i := 0; i < len(text); {
		c := text[i]
		if c >= utf8.RuneSelf {
			r, size := utf8.DecodeRune(text[i:])
			if r == utf8.RuneError || r == '\u2028' || r == '\u2029' {
				return false
			}
			i += size
			continue
		}
		if c < ' ' || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			return false
		}
		i++
	}
	return true
}
