// Package oai holds the OpenAI-compatible messages that callers and engines
// exchange, as far as routing needs them.
package oai

import (
	"encoding/json"
	"strings"
)

// Request is the body of /v1/chat/completions and /v1/completions.
type Request struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages,omitempty"`
	Prompt    string    `json:"prompt,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
}

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Render returns the prompt as one text: what is cut into pieces and cached.
func (r *Request) Render() string {
	if len(r.Messages) == 0 {
		return r.Prompt
	}
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString("<|")
		b.WriteString(m.Role)
		b.WriteString("|>\n")
		b.WriteString(m.Content)
		b.WriteString("\n")
	}
	return b.String()
}

// EngineRequest is what an engine is sent: a completion over rendered text.
type EngineRequest struct {
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Priority  int32  `json:"priority"`
	// CacheSalt separates cached state; engines key every block by it.
	CacheSalt string `json:"cache_salt"`
	// AttemptID is echoed in every chunk.
	AttemptID string `json:"attempt_id"`
	// Version is the weights version the request was routed for.
	Version string `json:"version"`
	// Generated holds the tokens already delivered, to continue after them.
	Generated []string `json:"generated,omitempty"`
}

// Chunk is one event of a stream.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model,omitempty"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is the one answer in a chunk or whole response.
type Choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails says how much of the prompt came from the cache.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Done ends a complete stream.
const Done = "[DONE]"

// ErrorBody is the body of an error answer and the data of an error event.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error.
type ErrorDetail struct {
	Type     string `json:"type"`
	Message  string `json:"message"`
	RunState string `json:"run_state"`
}

// Encode returns v as JSON; the types of this package always encode.
func Encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
