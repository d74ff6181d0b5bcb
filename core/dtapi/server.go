package dtapi

// Paths of the backend servers' HTTP API.
const (
	PathReport          = "/report"
	PathEngineResume    = "/v1/stream/resume"
	PathEngineCancel    = "/v1/stream/cancel"
	PathEngineLoadModel = "/v1/engine/order"
	PathEngineCache     = "/v1/engine/cache"
	PathCalls           = "/calls"
)

// ServerReport is the state and load that a backend server reports.
type ServerReport struct {
	Server        string `json:"server"`
	Start         uint64 `json:"start"` // Start time in Unix milliseconds; identifies the incarnation.
	Running       uint32 `json:"running"`
	Waiting       uint32 `json:"waiting"`
	Cold          bool   `json:"cold"`
	Model         string `json:"model"`
	FencingNumber uint64 `json:"fence"`
}

// StreamRequest names the stream to resume at a token offset, or to cancel.
type StreamRequest struct {
	RequestID string `json:"request_id"`
	Offset    uint32 `json:"offset"` // In tokens; zero for a cancellation.
}

// LoadModelRequest asks an engine to serve a model, with a fencing number so that the engine
// can reject requests from a router that no longer holds the leader's lease.
type LoadModelRequest struct {
	Model         string `json:"model"`
	FencingNumber uint64 `json:"fence"`
}
