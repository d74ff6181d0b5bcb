package dtdispatch

import (
	"time"

	"github.com/dottereltack/dottereltack/core/dtrollout"
)

// Event is an input of the reducer.
type Event interface{ isEvent() }

// RequestNumber identifies a request within one incarnation of a router.
type RequestNumber uint64

// PromptPart is one part of a prompt; the parts are in order from the beginning.
type PromptPart struct {
	ID     uint64 // As sent by the caller; requests with the same ID share the prompt up to the end of this part.
	Tokens int
}

// RequestArrived reports that a caller has sent a complete request.
type RequestArrived struct {
	Number        RequestNumber
	ID            string // The caller's request ID, for logs.
	Host          string
	Path          string // Without the query.
	APIKey        string // Empty if the request carries none.
	PromptParts   []PromptPart
	CallerTimeout time.Duration // How long the caller waits; zero if not stated.
	ResumeAfter   string        // ID of the event after which a stream goes on, or "" for a new stream.
	ResumesID     string        // ID of the request whose response brought the first event of that stream, or "".
	Digest        uint64        // Hash of the content; requests with the same digest are considered identical.
	HeaderReadAt  time.Time
}

// Outcome is how an attempt at a backend server ended.
type Outcome uint8

// Outcomes of an attempt.
const (
	OutcomeCompleted      Outcome = iota // The complete response was sent to the caller.
	OutcomeFailure                       // The server returned an error.
	OutcomeNotRun                        // The server stated that it did not execute the request.
	OutcomeWrongServer                   // A different server responded at the address; the request was not executed.
	OutcomeRestarted                     // The server has named another start than the listed one; no byte of the request was sent.
	OutcomeUnreachable                   // No connection was established and no byte was sent.
	OutcomeConnectionLost                // The connection was closed before the response was complete.
	OutcomeUnacknowledged                // The server's host acknowledged no data; the request may have been executed.
	OutcomeMalformed                     // The response was invalid.
	OutcomeTimedOut                      // No response within the time limit of the attempt.
	OutcomeUnconfirmed                   // The reducer ended the attempt while its stream was held, or at an end that may not be that of the response.
	OutcomeExpired                       // The request's deadline passed.
	OutcomeCallerGone                    // The caller closed its connection.
)

// String returns the name of the outcome in logs and metrics.
func (o Outcome) String() string {
	return [...]string{
		"served", "failure", "not_run", "other_server", "restarted", "unreachable",
		"cut", "unacknowledged", "garbled", "silent", "unconfirmed", "expired", "caller_left",
	}[o]
}

// Progress is how far the response to an attempt had come.
type Progress uint8

// Stages of a response.
const (
	ProgressNone   Progress = iota // The response header has not arrived.
	ProgressHeader                 // The header has arrived, but no event of a stream.
	ProgressEvents                 // At least one complete event has arrived.
)

// String returns the name of the stage in logs.
func (p Progress) String() string { return [...]string{"none", "header", "events"}[p] }

// Framing is how the end of the body of a response is marked.
type Framing uint8

// Framings of a response.
const (
	FramingNone   Framing = iota // There is no response.
	FramingLength                // By its length.
	FramingChunks                // By the last of its chunks.
	FramingClose                 // By the end of the connection.
)

// String returns the name of the framing in logs.
func (f Framing) String() string { return [...]string{"none", "length", "chunks", "close"}[f] }

// ServerReport is what a server states about itself in the header of a response.
type ServerReport struct {
	ReceivedAt  time.Time
	Load        *LoadReport // Nil if the server reported none.
	RateLimit   RateLimit
	Brittleness Brittleness
	Leaving     bool          // The server is leaving and wants no further requests.
	Backoff     time.Duration // The server wants no requests of this router for so long; zero if it named no time.
}

// ResponseStarted reports that the first event of a stream has arrived.
type ResponseStarted struct {
	Number      RequestNumber
	Attempt     int
	Report      *ServerReport
	ConnectedAt time.Time // When the connection to the server was opened.
	Reconnected bool      // The server had closed an idle connection shortly after its last use.
	ServerStart int64     // Start that the server has named over the connection, in Unix milliseconds; zero if it has named none.
}

// AttemptSilent reports that nothing has come from a server by SendRequest.HeaderDeadline, for
// SendRequest.StreamIdleTimeout or by the time that KeepWaiting named; KeepWaiting or EndAttempt follows.
type AttemptSilent struct {
	Number  RequestNumber
	Attempt int
}

// ResponseClosed reports that a response whose end is not marked has ended with its connection; CompleteResponse or
// EndAttempt follows.
type ResponseClosed struct {
	Number    RequestNumber
	Attempt   int
	Via       string // Router by way of which the connection was opened, or "".
	LastEvent string // As in AttemptEnded.

	ConnectedAt time.Time // When the connection was opened.
}

// AttemptEnded reports how an attempt ended.
type AttemptEnded struct {
	Number          RequestNumber
	Attempt         int
	Outcome         Outcome
	Status          int           // HTTP status of the response; zero if there is none.
	Report          *ServerReport // Nil if no response header has arrived or ResponseStarted had it.
	ResponseStarted bool          // Part of the response has reached the caller.
	Progress        Progress      // Of the response to this attempt.
	Framing         Framing       // Of that response.
	LastEvent       string        // ID of the last event of the stream that has reached the caller, in this attempt or before.
	ConnectedAt     time.Time     // When the connection to the server was opened; zero if there was none.
	Via             string        // Router by way of which it was opened, or "".
	NotSent         bool          // No byte of the request was sent to the server; see SendRequest.StatusPath.
	ServerStart     int64         // As in ResponseStarted.
	FailedVia       []string      // Routers of SendRequest.Via that have not opened a tunnel, or whose tunnel has broken, for another reason than the server.
	Detail          string        // Error text for the log.
}

// CallerLeft reports that the caller of a request has closed its connection while the relay had no attempt to make; it is
// ignored unless the request waits for its turn, in which case AbortResponse follows.
type CallerLeft struct{ Number RequestNumber }

// TunnelNumber identifies a tunnel within one incarnation of the router that opens it.
type TunnelNumber uint64

// TunnelRequested reports that another router, which can't reach a server, asks this one to connect it; OpenTunnel or
// RefuseTunnel follows.
type TunnelRequested struct {
	Number TunnelNumber
	From   string // Name of the other router.
	Server ServerID
	Start  int64 // Of the incarnation that the other router has listed, in Unix milliseconds.
}

// TunnelDialed reports whether this router has connected to a server for a tunnel of another one.
type TunnelDialed struct {
	Server      ServerID
	StartedAt   time.Time
	ConnectedAt time.Time // Zero if the server could not be connected to.
}

// ServerChecked reports what a CheckServer has shown of a server.
type ServerChecked struct {
	Server    ServerID
	Number    RequestNumber // As in CheckServer.
	Connected bool          // A connection was open or has been accepted, which the kernel also does for a process that is ending or stopped.
	Answered  bool          // The process of the incarnation has answered the status request.
	Named     bool          // A process has answered it that has the server's ID and does not name its incarnation.
	Replaced  bool          // Another incarnation or server has answered it.
	Lost      bool          // A new connection has ended without an answer.
	Refused   bool          // No process listens at its address.
	Via       string        // Router by way of which it was checked, or ""; if CheckServer names routers, "" states that none has checked it.
	Detail    string        // Why there is no answer, for the log.
}

// ConfigReceived delivers a decoded configuration.
type ConfigReceived struct {
	Config *Config
	From   string // Router that has sent it; "" for the store.
}

// ConfigUnreadable reports a configuration that can't be decoded.
type ConfigUnreadable struct {
	From   string // As in ConfigReceived.
	Detail string
}

// ServersListed delivers the list of backend servers from the store.
type ServersListed struct {
	Servers   []Server
	Revision  Revision
	Unchanged bool // Nothing has changed since this router last read the list.
}

// RoutersListed delivers the routers that are registered in the store.
type RoutersListed struct{ Routers []Router }

// ListServersFailed reports that the server list could not be read.
type ListServersFailed struct{ Detail string }

// DomainsOutOfServiceListed delivers the failure domains that are out of service.
type DomainsOutOfServiceListed struct {
	Domains  []string
	Revision Revision
}

// OperatorKeysRead reports that a ReadOperatorKeys effect has ended; the events before it have
// delivered what has changed.
type OperatorKeysRead struct {
	Unchanged bool // Nothing has changed since the last read.
}

// OperatorKeysFailed reports that the operators' keys could not be read.
type OperatorKeysFailed struct {
	Detail      string
	Interrupted bool // The call was ended by RestartWatch.
}

// RouterRegistered reports that this router has registered in the store, if its settings say that the fleet starts for
// the first time.
type RouterRegistered struct {
	IsNew bool // The store had no trace of an earlier incarnation of it.
}

// StoreEraRead reports that a response of the store names a higher era than those before: the store has
// come back from an older copy of its data.
type StoreEraRead struct{ Era uint64 }

// VersionRecordRead delivers the record of the versions of streams, which is empty if there is none.
type VersionRecordRead struct {
	Record      VersionRecord
	IsMalformed bool // There is one that could not be decoded.
}

// VersionRecordWritten reports that a WriteVersionRecord effect has succeeded.
type VersionRecordWritten struct{ Part RecordPart }

// VersionRecordFailed reports that the record could not be read or written.
type VersionRecordFailed struct {
	IsWrite bool
	Part    RecordPart // That could not be written.
	Detail  string
}

// StoreFailed reports that a call to the store failed.
type StoreFailed struct {
	Call   string // Name of the call.
	Detail string // Error text for the log.
}

// PeerMessageReceived delivers a message from another router.
type PeerMessageReceived struct {
	From    string // Name of the sender, or its IP address while it has not named itself.
	Message PeerMessage
}

// PeerMessageUnreadable reports a message from another router that could not be decoded.
type PeerMessageUnreadable struct {
	From     string // As in PeerMessageReceived.
	Kind     string
	Detail   string
	IsClosed bool // The connection was closed, as the next message could not be told from this one.
}

// RolloutsListed delivers all orders to roll out a version that the store has.
type RolloutsListed struct {
	Orders   []dtrollout.Order
	Statuses []RolloutStatus // Those that the store has, if they have been read.
	Begun    []RolloutBegin  // Those that the store has, if they have been read.
}

// RolloutStatusStored reports the status that the store has after a write: the one that was to be written, or a final one
// that was there before.
type RolloutStatusStored struct {
	Order dtrollout.Order
	State dtrollout.State
}

// RolloutStatusFailed reports that the status of a roll-out could not be written.
type RolloutStatusFailed struct {
	Order  dtrollout.Order
	Detail string
}

// SettingsChanged reports that the settings of this router have been reloaded.
type SettingsChanged struct {
	Regions map[string]string // Regions by failure domain.
	Bounds  Bounds
}

// TimerFired reports that the time of the last SetTimer effect has been reached.
type TimerFired struct{}

// Paused reports that the process or its host has stood still, for Gap since the last event.
type Paused struct {
	Gap       time.Duration
	Uncounted time.Duration // Part of Gap that the steady clock has not counted, as the host was suspended.
}

// StopRequested starts a graceful shutdown.
type StopRequested struct{}

func (RequestArrived) isEvent()            {}
func (ResponseStarted) isEvent()           {}
func (AttemptEnded) isEvent()              {}
func (CallerLeft) isEvent()                {}
func (TunnelRequested) isEvent()           {}
func (TunnelDialed) isEvent()              {}
func (AttemptSilent) isEvent()             {}
func (ResponseClosed) isEvent()            {}
func (ServerChecked) isEvent()             {}
func (ConfigReceived) isEvent()            {}
func (ConfigUnreadable) isEvent()          {}
func (ServersListed) isEvent()             {}
func (RoutersListed) isEvent()             {}
func (RouterRegistered) isEvent()          {}
func (ListServersFailed) isEvent()         {}
func (DomainsOutOfServiceListed) isEvent() {}
func (OperatorKeysRead) isEvent()          {}
func (OperatorKeysFailed) isEvent()        {}
func (StoreEraRead) isEvent()              {}
func (VersionRecordRead) isEvent()         {}
func (VersionRecordWritten) isEvent()      {}
func (VersionRecordFailed) isEvent()       {}
func (StoreFailed) isEvent()               {}
func (PeerMessageReceived) isEvent()       {}
func (PeerMessageUnreadable) isEvent()     {}
func (RolloutsListed) isEvent()            {}
func (RolloutStatusStored) isEvent()       {}
func (RolloutStatusFailed) isEvent()       {}
func (SettingsChanged) isEvent()           {}
func (TimerFired) isEvent()                {}
func (Paused) isEvent()                    {}
func (StopRequested) isEvent()             {}
