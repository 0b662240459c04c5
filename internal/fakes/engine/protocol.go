package engine

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	defaultMaxTokens = 32
	bytesPerToken    = 4
	// messageOverhead is the number of tokens that each message takes in addition to its text.
	messageOverhead = 4
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// StreamOptions is part of a chat request.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// ChatRequest is the body of POST /v1/chat/completions.
type ChatRequest struct {
	Model          string         `json:"model"`
	Messages       []Message      `json:"messages"`
	MaxTokens      int            `json:"max_tokens,omitempty"`
	Stream         bool           `json:"stream,omitempty"`
	StreamOptions  *StreamOptions `json:"stream_options,omitempty"`
	PromptCacheKey string         `json:"prompt_cache_key,omitempty"`
	RequestID      string         `json:"request_id,omitempty"`
}

// PromptDetails is part of Usage.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Usage counts the tokens of one request.
type Usage struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	TotalTokens         int           `json:"total_tokens"`
	PromptTokensDetails PromptDetails `json:"prompt_tokens_details"`
}

// Choice is one alternative of a completion or chunk.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Delta   `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Delta is the part of a message in a chunk.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Completion is a whole response or one chunk of a stream.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Load is the response of GET /v1/load.
type Load struct {
	Running          int   `json:"running"`
	Waiting          int   `json:"waiting"`
	KVUsedTokens     int   `json:"kv_used_tokens"`
	KVCapacityTokens int   `json:"kv_capacity_tokens"`
	AtMS             int64 `json:"at_ms"`
}

// CachedKey is one entry of GET /v1/cache/keys.
type CachedKey struct {
	Key    string `json:"key"`
	Tokens int    `json:"tokens"`
}

// CachedKeys is the response of GET /v1/cache/keys.
type CachedKeys struct {
	Keys []CachedKey `json:"keys"`
}

// CacheEvents is the response of GET /v1/cache/events. Next is the value of the parameter after for the next request.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   int64        `json:"next"`
}

// ReleaseRequest is the body of POST /v1/cache/release.
type ReleaseRequest struct {
	Keys []string `json:"keys"`
}

// Order is the body of POST /v1/orders.
type Order struct {
	FencingToken int64  `json:"fence"`
	Kind         string `json:"kind"`
	Name         string `json:"name"`
}

// Orders is the response of GET /v1/orders, the executed orders.
type Orders struct {
	Orders []Order `json:"orders"`
}

// Executions is the response of GET /executions: the number of runs by request id, and the number of received chats by
// last user message.
type Executions struct {
	Counts   map[string]int `json:"counts"`
	Messages map[string]int `json:"messages"`
}

// ResponseChunks returns the chunks of the engine's response, one for each token. The first one contains a digest of
// the last user message and the number of messages, so that a response can be matched to its request.
func ResponseChunks(messages []Message, maxTokens int) []string {
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	digest := xxhash.Sum64String(lastUserMessage(messages))
	chunks := make([]string, maxTokens)
	chunks[0] = fmt.Sprintf("[%016x/%d]", digest, len(messages))
	for i := 1; i < maxTokens; i++ {
		chunks[i] = fmt.Sprintf(" %03x", (digest>>(uint(i)%16*4)+uint64(i))&0xfff)
	}
	return chunks
}

// ResponseText returns the full text of the response to messages.
func ResponseText(messages []Message, maxTokens int) string {
	return join(ResponseChunks(messages, maxTokens))
}

func join(chunks []string) string { return strings.Join(chunks, "") }

func lastUserMessage(messages []Message) string {
	for i := len(messages) - 1; i >= 0; i-- {
		if messages[i].Role == "user" {
			return messages[i].Content
		}
	}
	return ""
}

func messageTokens(m Message) int {
	return (len(m.Content)+bytesPerToken-1)/bytesPerToken + messageOverhead
}
