package api

// ChatMessage is one message of an OpenAI-style conversation.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the body of POST /v1/chat/completions; unknown fields are rejected.
type ChatRequest struct {
	// Model is ModelAuto, a model, or "model@version".
	Model    string        `json:"model"`
	Messages []ChatMessage `json:"messages"`
	// Stream asks for server-sent events.
	Stream bool `json:"stream,omitempty"`
	// MaxTokens bounds the answer's length; 0 leaves it to the service.
	MaxTokens   Tokens   `json:"max_tokens,omitempty"`
	Temperature *float64 `json:"temperature,omitempty"`
	TopP        *float64 `json:"top_p,omitempty"`
	Stop        []string `json:"stop,omitempty"`
	// Seed makes an engine's sampling deterministic, so that a second run yields the same answer.
	Seed *int64 `json:"seed,omitempty"`
	User string `json:"user,omitempty"`
}

// Usage counts the tokens of a call.
type Usage struct {
	PromptTokens     Tokens `json:"prompt_tokens"`
	CompletionTokens Tokens `json:"completion_tokens"`
	TotalTokens      Tokens `json:"total_tokens"`
}

// ChatChoice is the single choice of a ChatCompletion.
type ChatChoice struct {
	Index        int         `json:"index"`
	Message      ChatMessage `json:"message"`
	FinishReason string      `json:"finish_reason"`
}

// ChatCompletion is the answer to a request without Stream.
type ChatCompletion struct {
	ID      RequestID    `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []ChatChoice `json:"choices"`
	Usage   Usage        `json:"usage"`
}

// ChatDelta is the part of an answer that one chunk adds.
type ChatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// ChatChunkChoice is the single choice of a ChatChunk; FinishReason is nil but in the last chunk.
type ChatChunkChoice struct {
	Index        int       `json:"index"`
	Delta        ChatDelta `json:"delta"`
	FinishReason *string   `json:"finish_reason"`
}

// ChatChunk is one server-sent event of a streamed answer; the event's id is its offset.
type ChatChunk struct {
	ID      RequestID         `json:"id"`
	Object  string            `json:"object"`
	Created int64             `json:"created"`
	Model   string            `json:"model"`
	Choices []ChatChunkChoice `json:"choices"`
	Usage   *Usage            `json:"usage,omitempty"`
}

// StreamDone is the data of the last server-sent event of a stream.
const StreamDone = "[DONE]"
