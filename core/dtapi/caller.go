package dtapi

import "encoding/json"

// Paths of the HTTP API for callers.
const (
	PathChat     = "/v1/chat/completions"
	PathServices = "/v1/services"
	PathResume   = "/v1/resume"
	PathOrders   = "/v1/orders"
	PathHealth   = "/healthz"
	PathReady    = "/readyz"
	PathMetrics  = "/metrics"
)

// Headers of the callers' and the backend servers' HTTP APIs.
const (
	HeaderChatID         = "X-Chat-Id"
	HeaderRequestID      = "X-Request-Id"
	HeaderDeadline       = "X-Deadline-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderBackendServer  = "X-Backend-Server"
	HeaderRouter         = "X-Router"
	HeaderTokenOffset    = "X-Token-Offset"
	HeaderPriority       = "X-Priority"
	HeaderOrderReplayed  = "X-Order-Replayed"
	HeaderFencingNumber  = "X-Fencing-Number"
	HeaderRetryAfter     = "Retry-After"
	HeaderIncarnation    = "X-Incarnation"
)

// ChatRequest holds the fields of a chat completion request that the fleet reads.
type ChatRequest struct {
	Model     string            `json:"model"`
	Messages  []ChatMessage     `json:"messages"`
	Stream    bool              `json:"stream,omitempty"`
	MaxTokens int               `json:"max_tokens,omitempty"`
	User      string            `json:"user,omitempty"`
	Metadata  map[string]string `json:"metadata,omitempty"`
}

// ChatMessage is one message of a chat; its content is a string or a list of parts.
type ChatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// ChatChunk is one event of a streamed response.
type ChatChunk struct {
	ID         string        `json:"id"`
	Object     string        `json:"object"`
	Created    int64         `json:"created"`
	Model      string        `json:"model"`
	Choices    []ChunkChoice `json:"choices"`
	TokenIndex uint32        `json:"token_index"`
	TokenTotal uint32        `json:"token_total,omitempty"`
}

// ChunkChoice is one choice of a chunk: the delta to append, and why generation ended
// in the last chunk.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the role and the text that a chunk appends.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// ChatResponse is the body of a response that is not streamed.
type ChatResponse struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	Model   string           `json:"model"`
	Choices []ResponseChoice `json:"choices"`
	Usage   Usage            `json:"usage"`
}

// ResponseChoice holds the generated message and why generation ended.
type ResponseChoice struct {
	Index        int             `json:"index"`
	Message      ResponseMessage `json:"message"`
	FinishReason string          `json:"finish_reason"`
}

// ResponseMessage is a generated message.
type ResponseMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Usage counts the tokens of a request and its response.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

// ErrorBody is the body of every response that refuses a request.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes why a request was refused and whether it may have run.
type ErrorDetail struct {
	Code         string `json:"code"`
	Message      string `json:"message"`
	Ran          string `json:"ran"` // "not_run" or "unknown".
	RequestID    string `json:"request_id"`
	RefusalID    string `json:"refusal_id"`
	RetryAfterMs uint32 `json:"retry_after_ms,omitempty"`
}

// OrderStatus is the state of the order with an idempotency key.
type OrderStatus struct {
	Key    string `json:"key"`
	State  string `json:"state"`
	Status int    `json:"status,omitempty"` // HTTP status of the stored response.
}

// StreamDoneData is the data of the last event of a complete streamed response.
const StreamDoneData = "[DONE]"
