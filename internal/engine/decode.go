package engine

import (
	"strconv"

	"github.com/valyala/fastjson"

	"github.com/monsoonrail/monsoonrail/pkg/api"
	"github.com/monsoonrail/monsoonrail/pkg/sse"
)

// parsers are shared by all streams, since each parser holds memory for the values of an event.
var parsers fastjson.ParserPool

// JSON names of the fields that are decoded.
const (
	nameID               = "id"
	nameChoices          = "choices"
	nameDelta            = "delta"
	nameContent          = "content"
	nameFinishReason     = "finish_reason"
	nameUsage            = "usage"
	namePromptTokens     = "prompt_tokens"
	nameCompletionTokens = "completion_tokens"
	nameTotalTokens      = "total_tokens"
)

// decodedEvent is a decoded event of a stream.
type decodedEvent struct {
	chunk Chunk
	// isLast means that the chunk holds the finish reason and the usage, and no text.
	isLast bool
	// isOwn is false for a chunk of another request, which is ignored.
	isOwn bool
}

// decode parses an event of the stream of an attempt. Its errors are *ErrBadStream.
func decode(event sse.Event, attempt string) (decodedEvent, error) {
	parser := parsers.Get()
	defer parsers.Put(parser)
	root, err := parser.ParseBytes(event.Data)
	if err != nil {
		return decodedEvent{}, badStream(err.Error())
	}
	id, err := stringField(root, nameID)
	if err != nil || string(id) != attempt {
		return decodedEvent{}, err
	}
	choices := root.GetArray(nameChoices)
	if len(choices) != 1 {
		return decodedEvent{}, badStream("a chunk needs one choice")
	}
	reason, err := stringField(choices[0], nameFinishReason)
	if err != nil {
		return decodedEvent{}, err
	}
	if reason != nil {
		usage, err := parseUsage(root.Get(nameUsage))
		return decodedEvent{chunk: Chunk{FinishReason: string(reason), Usage: usage}, isLast: true, isOwn: err == nil}, err
	}
	content, err := stringField(choices[0].Get(nameDelta), nameContent)
	if err != nil {
		return decodedEvent{}, err
	}
	offset, err := strconv.Atoi(event.ID)
	if err != nil {
		return decodedEvent{}, badStream("event id is no offset")
	}
	return decodedEvent{chunk: Chunk{Offset: offset, Text: string(content)}, isOwn: true}, nil
}

// stringField returns a string field of an object; nil if it is missing or null. The bytes are valid until the parser's next use.
func stringField(object *fastjson.Value, name string) ([]byte, error) {
	value := object.Get(name)
	if value == nil || value.Type() == fastjson.TypeNull {
		return nil, nil
	}
	text, err := value.StringBytes()
	if err != nil {
		return nil, badStream(name + ": " + err.Error())
	}
	return text, nil
}

// parseUsage parses the token counts of a call; missing ones are 0.
func parseUsage(object *fastjson.Value) (api.Usage, error) {
	prompt, err := tokensField(object, namePromptTokens)
	if err != nil {
		return api.Usage{}, err
	}
	completion, err := tokensField(object, nameCompletionTokens)
	if err != nil {
		return api.Usage{}, err
	}
	total, err := tokensField(object, nameTotalTokens)
	return api.Usage{PromptTokens: prompt, CompletionTokens: completion, TotalTokens: total}, err
}

func tokensField(object *fastjson.Value, name string) (api.Tokens, error) {
	value := object.Get(name)
	if value == nil || value.Type() == fastjson.TypeNull {
		return 0, nil
	}
	number, err := value.Int64()
	if err != nil {
		return 0, badStream(name + ": " + err.Error())
	}
	return api.Tokens(number), nil
}

func badStream(detail string) error { return Error.Wrap(&ErrBadStream{Detail: detail}) }
