package engine

// chatRequest is the body of a chat completion request.
type chatRequest struct {
	Model         string        `json:"model,omitempty"`
	Messages      []chatMessage `json:"messages"`
	MaxTokens     int64         `json:"max_tokens"`
	Stream        bool          `json:"stream"`
	StreamOptions streamOptions `json:"stream_options"`
	// Priority orders waiting requests; lower numbers run first.
	Priority int `json:"priority"`
	// User is the id of the program; the engine keeps a prompt cache for each.
	User string `json:"user"`
	// ContinueFinal makes the engine continue the last message, which holds the text
	// generated so far, instead of starting a new one.
	ContinueFinal bool `json:"continue_final_message,omitempty"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// chatChunk is the data of one event. Usage is only set in the last chunk, Error only if the
// completion failed.
type chatChunk struct {
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage"`
	Error   *chatError   `json:"error"`
}

type chatChoice struct {
	Delta        chatDelta `json:"delta"`
	FinishReason string    `json:"finish_reason"`
}

type chatDelta struct {
	Content string `json:"content"`
}

// chatUsage counts tokens; PromptTokens includes the cached ones.
type chatUsage struct {
	PromptTokens     int64        `json:"prompt_tokens"`
	CompletionTokens int64        `json:"completion_tokens"`
	PromptDetails    tokenDetails `json:"prompt_tokens_details"`
}

type tokenDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

type chatError struct {
	Message string `json:"message"`
}
