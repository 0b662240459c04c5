// Package engine is the client of backend servers: model engines and plain services.
//
// Outgoing requests are built from known fields only, so that no header of the caller, such as its API key, is
// forwarded. Every error is a *verdict.Error; its verdict is NotRun only if no connection to the backend server was
// obtained.
package engine

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/berylpond/berylpond/internal/verdict"
)

// ChatRequest holds the fields of a chat completion request that are forwarded to an engine. See the OpenAI chat
// completions API.
type ChatRequest struct {
	Model               string            `json:"model"`
	Messages            []json.RawMessage `json:"messages"`
	MaxTokens           int64             `json:"max_tokens,omitempty"`
	MaxCompletionTokens int64             `json:"max_completion_tokens,omitempty"`
	Stream              bool              `json:"stream,omitempty"`
	StreamOptions       *StreamOptions    `json:"stream_options,omitempty"`
	Temperature         *float64          `json:"temperature,omitempty"`
	TopP                *float64          `json:"top_p,omitempty"`
	Seed                *int64            `json:"seed,omitempty"`
	Stop                json.RawMessage   `json:"stop,omitempty"`
	Tools               json.RawMessage   `json:"tools,omitempty"`
	ToolChoice          json.RawMessage   `json:"tool_choice,omitempty"`
	ResponseFormat      json.RawMessage   `json:"response_format,omitempty"`
	// PromptCacheKey is the id of the program whose prompt prefix the engine may cache.
	PromptCacheKey string `json:"prompt_cache_key,omitempty"`
	// RequestID is repeated in every chunk of the response, so that a response to another request is detected.
	RequestID string `json:"request_id,omitempty"`
}

// StreamOptions holds the options of a streamed completion; IncludeUsage requests a final chunk with the usage.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Usage holds the token counts reported by the engine.
type Usage struct {
	PromptTokens        int64         `json:"prompt_tokens"`
	CompletionTokens    int64         `json:"completion_tokens"`
	TotalTokens         int64         `json:"total_tokens"`
	PromptTokensDetails PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails holds the number of prompt tokens that were in the engine's cache.
type PromptDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

// Chunk is one event of a streamed response.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object,omitempty"`
	Created int64    `json:"created,omitempty"`
	Model   string   `json:"model,omitempty"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is one completion of a response; berylpond requests only one.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Message is a chat message or a part of one.
type Message struct {
	Role      string     `json:"role,omitempty"`
	Content   string     `json:"content"`
	ToolCalls []ToolCall `json:"tool_calls,omitempty"`
}

// ToolCall is a tool call requested by the model, or a part of one.
type ToolCall struct {
	// Index is the position of the tool call to which a part of a stream belongs; complete messages have none.
	Index    *int         `json:"index,omitempty"`
	ID       string       `json:"id,omitempty"`
	Type     string       `json:"type,omitempty"`
	Function ToolFunction `json:"function"`
}

// ToolFunction holds the tool's name and its arguments as JSON text.
type ToolFunction struct {
	Name      string `json:"name,omitempty"`
	Arguments string `json:"arguments"`
}

// AppendDelta appends a part of a stream to the message. It returns false if a tool call's part has a missing or
// invalid index.
func (m *Message) AppendDelta(delta *Message) bool {
	m.Content += delta.Content
	for _, part := range delta.ToolCalls {
		if part.Index == nil || *part.Index < 0 || *part.Index > len(m.ToolCalls) {
			return false
		}
		if *part.Index == len(m.ToolCalls) {
			m.ToolCalls = append(m.ToolCalls, ToolCall{})
		}
		call := &m.ToolCalls[*part.Index]
		call.ID += part.ID
		call.Type += part.Type
		call.Function.Name += part.Function.Name
		call.Function.Arguments += part.Function.Arguments
	}
	return true
}

// AsDelta returns the whole message as a single part of a stream.
func (m *Message) AsDelta() *Message {
	d := &Message{Content: m.Content}
	for i, call := range m.ToolCalls {
		call.Index = &i
		d.ToolCalls = append(d.ToolCalls, call)
	}
	return d
}

// ParseChat decodes a caller's request body.
func ParseChat(body []byte) (*ChatRequest, *verdict.Error) {
	var r ChatRequest
	if err := json.NewDecoder(bytes.NewReader(body)).Decode(&r); err != nil {
		return nil, verdict.Refuse(http.StatusBadRequest, verdict.ReasonMalformed, 0, "body is not a chat completion request: %v", err)
	}
	if r.Model == "" {
		return nil, verdict.Refuse(http.StatusBadRequest, verdict.ReasonMalformed, 0, "body: model is missing")
	}
	if len(r.Messages) == 0 {
		return nil, verdict.Refuse(http.StatusBadRequest, verdict.ReasonMalformed, 0, "body: messages is empty")
	}
	for i, m := range r.Messages {
		var msg struct {
			Role string `json:"role"`
		}
		if err := json.Unmarshal(m, &msg); err != nil || msg.Role == "" {
			return nil, verdict.Refuse(http.StatusBadRequest, verdict.ReasonMalformed, 0, "body: messages[%d] has no role", i)
		}
	}
	return &r, nil
}

// CompletionLimit returns the completion limit that the caller asked for, or def.
func (r *ChatRequest) CompletionLimit(def int64) int64 {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	if r.MaxTokens > 0 {
		return r.MaxTokens
	}
	return def
}

// messageOverheadTokens bounds the tokens that an engine's chat template adds to a message.
const messageOverheadTokens = 8

// MaxPromptTokens returns an upper bound of the messages' tokens: no tokenizer in use produces more than one token per
// byte.
func MaxPromptTokens(messages []json.RawMessage) int64 {
	var n int64
	for _, m := range messages {
		n += int64(len(m)) + messageOverheadTokens
	}
	return n
}

// Marshal returns the JSON of a message.
func (m *Message) Marshal() json.RawMessage {
	b, err := json.Marshal(m)
	if err != nil {
		panic(err) // strings always marshal
	}
	return b
}
