package dtstate

import "time"

// Effect is an action that the reducer requests from its environment.
type Effect interface{ isEffect() }

// Dispatch sends a request to a backend server, unless SendBefore has passed.
type Dispatch struct {
	Request    RequestID
	Attempt    uint32
	Server     ServerID
	Address    string
	Offset     uint32 // Tokens of the answer that the caller already has.
	Resume     bool   // Resumes an answer instead of sending a new request.
	SendBefore time.Time
}

// Cancel cancels a request at its backend server, since no caller waits for the answer
// any more.
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

// AnswerOrder sends the caller the stored answer of an order, or the state of an order key
// that the caller queried.
type AnswerOrder struct {
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

// PlatformOp is an operation of the platform.
type PlatformOp uint8

// Operations of the platform.
const (
	PlatformGet PlatformOp = iota
	PlatformPut
	PlatformWatch // Waits for a revision of the key that is newer than Revision.
	PlatformListHosts
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

// PlatformCall calls the platform; the result arrives as PlatformCallCompleted.
type PlatformCall struct {
	CallID uint64
	Op     PlatformOp
	Key    string
	// Revision is the revision that the key must have for a put to succeed, zero if it must not
	// exist yet. For a watch it is the last known revision.
	Revision uint64
	Value    PlatformValue
	TTL      time.Duration // Lifetime of the key; zero if it does not expire.
}

// PlatformValue is a typed value stored under a platform key; at most one field is set.
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
	NewConnection bool // Probe over a new connection, so that a refusal to connect is noticed.
}

// DecodeConfig requests that Record be decoded; the result arrives as ConfigDecoded.
type DecodeConfig struct {
	Record *ConfigRecord
}

// LoadModel asks an engine to serve Model, with the leader's fencing number,
// unless SendBefore has passed.
type LoadModel struct {
	Server        ServerID
	Address       string
	Model         string
	FencingNumber uint64
	SendBefore    time.Time
}

// RecordEvent adds an event to the timeline in the log.
type RecordEvent struct {
	Name    string // Logged as "step".
	Subject string // The router, server or failure domain concerned, logged as "peer".
	Request RequestID
	Detail  string
}

// SetTimer requests a TimerFired event at At and replaces any earlier request.
type SetTimer struct {
	At time.Time
}

// Exit ends the process after the graceful shutdown.
type Exit struct {
	Abandoned int // Always zero, since Exit is emitted only when no request is left.
}

func (Dispatch) isEffect()     {}
func (Cancel) isEffect()       {}
func (ResetLink) isEffect()    {}
func (AnswerOrder) isEffect()  {}
func (Refuse) isEffect()       {}
func (SendPeer) isEffect()     {}
func (PlatformCall) isEffect() {}
func (Probe) isEffect()        {}
func (DecodeConfig) isEffect() {}
func (LoadModel) isEffect()    {}
func (RecordEvent) isEffect()  {}
func (SetTimer) isEffect()     {}
func (Exit) isEffect()         {}
