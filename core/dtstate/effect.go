package dtstate

import "time"

// Effect is an action that the reducer requests from its caller.
type Effect interface{ isEffect() }

// Dispatch sends a request to a backend server, unless SendBefore has passed.
type Dispatch struct {
	Request    RequestID
	Attempt    uint32
	Server     ServerID
	Address    string
	Offset     uint32 // Tokens of the answer that the caller has already.
	Resume     bool   // Resumes an answer instead of sending a new request.
	SendBefore time.Time
}

// Cancel tells a backend server that no caller waits for an answer any more.
type Cancel struct {
	Request RequestID
	Server  ServerID
	Address string
}

// ResetLink replaces the connection to a peer that does not receive this router's
// messages.
type ResetLink struct {
	Peer RouterID
}

// Answer sends the caller the stored answer of an order.
type Answer struct {
	Request RequestID
	Status  int
	Body    []byte
	State   OrderState
}

// Refuse sends the caller the reason why the request is not served.
type Refuse struct {
	Refusal Refusal
}

// SendPeer sends a message to another router at its last known address.
type SendPeer struct {
	To      RouterID
	Address string
	Message Message
}

// PlatformOp is an operation of the platform's key-value service.
type PlatformOp uint8

// Operations of the platform's key-value service.
const (
	PlatformGet PlatformOp = iota
	PlatformPut
	PlatformWatch
	PlatformHosts
)

// PlatformStatus is the result of a platform call.
type PlatformStatus uint8

// Results of a platform call; after PlatformOutcomeUnknown a write may or may not have
// taken effect.
const (
	PlatformOK PlatformStatus = iota
	PlatformConflict
	PlatformOutcomeUnknown
)

// PlatformCall calls the platform; a put succeeds only if Rev is the key's revision.
type PlatformCall struct {
	Call  uint64
	Op    PlatformOp
	Key   string
	Rev   uint64 // Zero if the key must not exist yet.
	Value PlatformValue
	TTL   time.Duration
}

// PlatformValue is a typed value stored under a platform key; exactly one field is set.
type PlatformValue struct {
	Claims   *ClaimPage    `json:"claims,omitempty"`
	Refusals *RefusalBatch `json:"refusals,omitempty"`
	Leader   *LeaderLease  `json:"keeper,omitempty"`
	Config   *ConfigRecord `json:"config,omitempty"`
}

// Probe requests a report from a backend server.
type Probe struct {
	Server        ServerID
	Address       string
	NewConnection bool
}

// DecodeConfig requests that Record be decoded; the result arrives as ConfigDecoded.
type DecodeConfig struct {
	Record *ConfigRecord
}

// EngineCommand tells an engine which model to serve, with the leader's fencing number,
// unless SendBefore has passed.
type EngineCommand struct {
	Server        ServerID
	Address       string
	Model         string
	FencingNumber uint64
	SendBefore    time.Time
}

// RecordEvent adds an event to the timeline.
type RecordEvent struct {
	Step    string
	Peer    string
	Request RequestID
	Detail  string
}

// WakeAt requests a Woke event at At and replaces any earlier request.
type WakeAt struct {
	At time.Time
}

// Stopped reports the end of the graceful shutdown and how many requests were abandoned.
type Stopped struct {
	Abandoned int
}

func (Dispatch) isEffect()      {}
func (Cancel) isEffect()        {}
func (ResetLink) isEffect()     {}
func (Answer) isEffect()        {}
func (Refuse) isEffect()        {}
func (SendPeer) isEffect()      {}
func (PlatformCall) isEffect()  {}
func (Probe) isEffect()         {}
func (DecodeConfig) isEffect()  {}
func (EngineCommand) isEffect() {}
func (RecordEvent) isEffect()   {}
func (WakeAt) isEffect()        {}
func (Stopped) isEffect()       {}
