package engine

import (
	"strconv"

	"github.com/valyala/fastjson"

	"github.com/monsoonrail/monsoonrail/pkg/api"
	"github.com/monsoonrail/monsoonrail/pkg/sse"
)

// parsers are shared by all streams, since each holds memory for the values of an event.
var parsers fastjson.ParserPool

// Names of the values in an event that are read.
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

// decoded is an event of a stream.
type decoded struct {
	chunk Chunk
	// isLast tells that the chunk holds the reason of the answer's end, and no text.
	isLast bool
	// isMine is false for a chunk of another request, which is dropped.
	isMine bool
}

// decode reads an event of the generation of an attempt. Its errors are *ErrBadStream.
func decode(event sse.Event, attempt string) (decoded, error) {
	parser := parsers.Get()
	defer parsers.Put(parser)
	root, err := parser.ParseBytes(event.Data)
	if err != nil {
		return decoded{}, badStream(err.Error())
	}
	id, err := textOf(root, nameID)
	if err != nil || string(id) != attempt {
		return decoded{}, err
	}
	choices := root.GetArray(nameChoices)
	if len(choices) != 1 {
		return decoded{}, badStream("a chunk needs one choice")
	}
	reason, err := textOf(choices[0], nameFinishReason)
	if err != nil {
		return decoded{}, err
	}
	if reason != nil {
		usage, err := usageOf(root.Get(nameUsage))
		return decoded{chunk: Chunk{FinishReason: string(reason), Usage: usage}, isLast: true, isMine: err == nil}, err
	}
	content, err := textOf(choices[0].Get(nameDelta), nameContent)
	if err != nil {
		return decoded{}, err
	}
	offset, err := strconv.Atoi(event.ID)
	if err != nil {
		return decoded{}, badStream("event id is no offset")
	}
	return decoded{chunk: Chunk{Offset: offset, Text: string(content)}, isMine: true}, nil
}

// textOf returns a text of an object, which the next event overwrites; nil if there is none.
func textOf(object *fastjson.Value, name string) ([]byte, error) {
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

// usageOf reads the tokens of a call; those that are not named are 0.
func usageOf(object *fastjson.Value) (api.Usage, error) {
	prompt, err := tokensOf(object, namePromptTokens)
	if err != nil {
		return api.Usage{}, err
	}
	completion, err := tokensOf(object, nameCompletionTokens)
	if err != nil {
		return api.Usage{}, err
	}
	total, err := tokensOf(object, nameTotalTokens)
	return api.Usage{PromptTokens: prompt, CompletionTokens: completion, TotalTokens: total}, err
}

func tokensOf(object *fastjson.Value, name string) (api.Tokens, error) {
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
