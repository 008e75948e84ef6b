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

// emptyDeltaEnd is the end of an encoded chunk with an empty delta and no finish reason.
const emptyDeltaEnd = `{},"finish_reason":null}]}`

// chunkTemplate encodes the chunks of one answer, which differ only in their text, and encodes the shared part only once.
type chunkTemplate struct {
	// version and created are those of the head from which prefix was built.
	version api.VersionID
	created time.Time
	// prefix is the JSON before the delta; nil before the first call of setHead.
	prefix []byte
}

// setHead rebuilds the prefix if the answer's head has changed; it must be called before append.
func (t *chunkTemplate) setHead(ans *answer.Answer, head answer.Head) {
	if t.prefix != nil && t.version == head.Version && t.created.Equal(head.Created) {
		return
	}
	t.version, t.created = head.Version, head.Created
	t.prefix = bytes.TrimSuffix(encodeChunk(ans, head, api.ChatChunkChoice{}, nil), []byte(emptyDeltaEnd))
}

// append appends the event of a token to dst; the event's id is the token's offset.
func (t *chunkTemplate) append(dst []byte, offset int, text []byte) []byte {
	dst = append(dst, "id: "...)
	dst = strconv.AppendInt(dst, int64(offset), 10)
	dst = append(dst, "\ndata: "...)
	dst = append(dst, t.prefix...)
	dst = append(dst, '{')
	if offset == 0 {
		dst = append(dst, `"role":"assistant"`...)
	}
	if offset == 0 && len(text) > 0 {
		dst = append(dst, ',')
	}
	if len(text) > 0 {
		dst = append(dst, `"content":`...)
		dst = appendString(dst, text)
	}
	dst = append(dst, emptyDeltaEnd[1:]...)
	return append(dst, "\n\n"...)
}

// appendString appends text as a JSON string, escaped as by encoding/json.
func appendString(dst, text []byte) []byte {
	if !needsNoEscaping(text) {
		quoted, err := json.Marshal(string(text))
		if err != nil {
			// Unreachable: a string can always be encoded.
			return append(dst, `""`...)
		}
		return append(dst, quoted...)
	}
	dst = append(dst, '"')
	dst = append(dst, text...)
	return append(dst, '"')
}

// needsNoEscaping reports whether encoding/json would write the text into a string unchanged.
func needsNoEscaping(text []byte) bool {
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
