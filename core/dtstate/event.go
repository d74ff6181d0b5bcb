package dtstate

import (
	"time"

	"github.com/dottereltack/dottereltack/core/dtconfig"
)

// Event is an input of the reducer.
type Event interface{ isEvent() }

// Class is the priority of a request among those that wait for the same backend servers.
type Class uint8

// Classes of requests, most urgent first.
const (
	ClassOrder Class = iota
	ClassInteractive
	ClassBatch
	classCount
)

// OrderKey identifies an order, a request that runs at most once.
type OrderKey struct {
	Key       string
	CreatedAt time.Time // When the caller created the key.
	BodyHash  uint64    // A key may be used again only with the same body.
}

// RequestArrived delivers a request of an authenticated caller.
type RequestArrived struct {
	Request RequestID
	Account ClientAccount
	Group   string
	Chat    uint64 // Hash that selects the home server.
	Digest  uint64 // Hash of the content, equal for equal requests.
	// Hashes of the parts of the prompt that other requests may share; at most a few.
	PromptParts []uint64
	Class       Class
	Work        uint32 // Estimated tokens.
	Deadline    time.Time
	Order       *OrderKey    // Nil unless the request is an order.
	Resume      *ResumePoint // Nil unless the caller continues an answer.
	// KeepStream leaves the stream at its server when the caller disconnects.
	KeepStream bool
}

// ResumePoint is where a caller continues an answer of an earlier connection.
type ResumePoint struct {
	Server ServerID
	Offset uint32
}

// FirstByte reports that the first byte of an answer arrived after Wait.
type FirstByte struct {
	Request RequestID
	Attempt uint32
	Wait    time.Duration
}

// Outcome is how an attempt at a backend server ended.
type Outcome uint8

// Outcomes of an attempt.
const (
	OutcomeCompleted  Outcome = iota
	OutcomeNotSent            // The server got no request.
	OutcomeOverloaded         // The server declined the request because of its load.
	OutcomeRejected           // The server responded with a client error.
	OutcomeCut                // The request was sent, but its answer is incomplete.
	OutcomeCallerGone
	OutcomeUnused     // The granted slot was not used.
	OutcomeAnswerLost // The server no longer has the answer to resume.
)

// AttemptEnded reports the outcome of an attempt.
type AttemptEnded struct {
	Request RequestID
	Attempt uint32
	Outcome Outcome
	Offset  uint32 // Tokens of the answer passed on to the caller so far.
	Status  int    // HTTP status of a completed or rejected attempt.
	Answer  []byte // Body of a response that is not an event stream; recorded for an order.
}

// MessageReceived delivers a message from another router.
type MessageReceived struct {
	From    RouterID
	Message Message
}

// LinkChanged reports that the link to a peer came up or was lost.
type LinkChanged struct {
	Peer RouterID
	Up   bool
}

// PlatformCallCompleted delivers the result of a platform call.
type PlatformCallCompleted struct {
	CallID   uint64
	Status   PlatformStatus
	Revision uint64
	Value    PlatformValue
	Hosts    []Host
}

// ProbeCompleted delivers the result of a probe.
type ProbeCompleted struct {
	Server ServerID
	Result ProbeResult
	Report ServerReport
}

// ConfigDecoded delivers a decoded configuration, or the reason why it was rejected.
type ConfigDecoded struct {
	Record  *ConfigRecord
	Site    *dtconfig.Site
	Problem string
}

// DomainSwitched delivers an operator's instruction to take a failure domain out of
// service or back.
type DomainSwitched struct {
	Domain FailureDomain
	Out    bool
}

// OrderQueried delivers a caller's query for the state of an order key.
type OrderQueried struct {
	Request RequestID
	Account ClientAccount
	Order   OrderKey
}

// RefusalReported delivers a refusal that was decided before the request reached the
// reducer.
type RefusalReported struct {
	Request RequestID
	Account ClientAccount
	Reason  Reason
}

// TimerFired reports that the time of a SetTimer effect has come.
type TimerFired struct{}

// StopRequested begins the graceful shutdown.
type StopRequested struct{}

// IntakeClosed reports that no caller can send requests any more, so that the graceful
// shutdown may end.
type IntakeClosed struct{}

// DrainTimedOut reports that the time for requests in flight at a graceful shutdown has passed.
type DrainTimedOut struct{}

func (IntakeClosed) isEvent()          {}
func (DrainTimedOut) isEvent()         {}
func (RequestArrived) isEvent()        {}
func (FirstByte) isEvent()             {}
func (AttemptEnded) isEvent()          {}
func (MessageReceived) isEvent()       {}
func (LinkChanged) isEvent()           {}
func (PlatformCallCompleted) isEvent() {}
func (ProbeCompleted) isEvent()        {}
func (ConfigDecoded) isEvent()         {}
func (DomainSwitched) isEvent()        {}
func (OrderQueried) isEvent()          {}
func (RefusalReported) isEvent()       {}
func (TimerFired) isEvent()            {}
func (StopRequested) isEvent()         {}
