package dtdispatch

import (
	"time"

	"github.com/dottereltack/dottereltack/core/dtrollout"
)

// Effect is an action that the reducer requests from its environment.
type Effect interface{ isEffect() }

// SendRequest sends a request to a backend server.
type SendRequest struct {
	Number            RequestNumber
	Attempt           int
	Server            ServerID
	Start             int64  // Of the server's incarnation, in Unix milliseconds.
	StatusPath        string // Where to ask the server for its start over a connection on which it has not named it, before the request is sent; "" for not at all.
	Address           string
	Account           string // Name of the client account, or "".
	CacheSource       string // Address of a server to copy the cached prompt from, or "".
	StripAPIKey       bool   // Remove the caller's API key, which must not be forwarded to servers.
	Priority          int    // Zero is the most urgent.
	Streaming         bool
	Resumable         bool          // An interrupted stream may be resumed on another server.
	HoldStream        bool          // Once the first event has arrived, forward nothing until ForwardStream; EndAttempt may come instead.
	AtMostOnce        bool          // The request must not be sent again once it may have been executed.
	Deadline          time.Time     // Deadline of the request over all attempts.
	HeaderDeadline    time.Time     // Time by which the response header is due; see AttemptSilent.
	StreamIdleTimeout time.Duration // Pause within a stream after which the next event is due, as above; zero for no limit.
	ConnectTimeout    time.Duration
	MaxIdleConns      int   // Idle connections to keep to the server.
	Via               []Via // Routers to ask in turn for a tunnel to the server; empty for a direct connection.
}

// Via is a router that opens tunnels to servers for others.
type Via struct {
	Router  string
	Address string // Where other routers reach it.
}

// OpenTunnel connects the router that has sent a TunnelRequested to a server.
type OpenTunnel struct {
	Number         TunnelNumber
	Address        string // Of the server.
	ConnectTimeout time.Duration
}

// RefuseTunnel declines a TunnelRequested; nothing has been sent to the server.
type RefuseTunnel struct {
	Number TunnelNumber
	Detail string // Reason for the log of the other router.
}

// KeepWaiting has the relay wait on for a silent server, and report its silence again at Until.
type KeepWaiting struct {
	Number RequestNumber
	Until  time.Time
}

// EndAttempt has the relay end the attempt at a silent server with OutcomeTimedOut, or one whose stream it holds or whose
// response has ended with its connection with OutcomeUnconfirmed.
type EndAttempt struct {
	Number     RequestNumber
	ServerGone bool // The connection has ended with its server: OutcomeConnectionLost.
}

// CancelAttempt closes the connection of the current attempt; AttemptEnded follows.
type CancelAttempt struct{ Number RequestNumber }

// CompleteResponse has the relay take a response that has ended with its connection for complete.
type CompleteResponse struct{ Number RequestNumber }

// ForwardStream has the relay forward a stream that it holds because of SendRequest.HoldStream.
type ForwardStream struct{ Number RequestNumber }

// Refuse sends the caller an error response of this router.
type Refuse struct {
	Number     RequestNumber
	Status     int
	Reason     Reason
	RetryAfter time.Duration
	MayHaveRun bool // A server may have executed the request.
}

// ForwardFailure sends the caller the error response of a server, which the relay has kept since
// the attempt that ended with it.
type ForwardFailure struct{ Number RequestNumber }

// AbortResponse closes a response that has started and can't be completed.
type AbortResponse struct{ Number RequestNumber }

// CheckServer checks whether a server accepts connections and, with a StatusPath, whether the process of that incarnation answers a
// request that is sent after the check has begun; ServerChecked follows.
type CheckServer struct {
	Server       ServerID
	Start        int64         // Of its incarnation, in Unix milliseconds; zero if that is not known.
	Number       RequestNumber // Whose response has ended with its connection; zero if the check is not for a ResponseClosed.
	Address      string
	Via          []Via     // As in SendRequest.
	StatusPath   string    // As in Service; "" for a check that asks for nothing.
	KnownSince   time.Time // A connection that was opened no later than this belongs to the process of that incarnation.
	Deadline     time.Time // By which the answer must have arrived.
	MaxIdleConns int       // As in SendRequest.
}

// PublishConfig activates a configuration in the parts of the router outside the reducer.
type PublishConfig struct{ Config *Config }

// SetReady sets whether the router reports itself as ready for new callers.
type SetReady struct{ Ready bool }

// CloseIdleConns closes the callers' connections that have no request in progress.
type CloseIdleConns struct{}

// SendToPeers sends a message to one peer, or to all peers if To is "".
type SendToPeers struct {
	To      string
	Message PeerMessage
}

// DecodeConfig requests that the text of a configuration be decoded; ConfigReceived or ConfigUnreadable follows.
type DecodeConfig struct {
	Source []byte
	From   string // Router that has sent it.
}

// ListServers requests the server list from the store, at once if Wait is zero, otherwise when
// it changes or Wait has elapsed; ServersListed or ListServersFailed follows.
type ListServers struct{ Wait time.Duration }

// ListRouters requests the list of routers from the store; RoutersListed or StoreFailed
// follows.
type ListRouters struct{}

// ReadOperatorKeys reads the operators' keys from the store, or waits up to Wait for a change of what
// has been read before; ConfigReceived and DomainsOutOfServiceListed follow with what is new, then
// OperatorKeysRead, or OperatorKeysFailed.
type ReadOperatorKeys struct{ Wait time.Duration }

// ReadVersionRecord reads the record of the versions of streams from the store; VersionRecordRead or
// VersionRecordFailed follows.
type ReadVersionRecord struct{}

// WriteVersionRecord writes a part of the record to the store; VersionRecordWritten or VersionRecordFailed follows.
type WriteVersionRecord struct {
	Part   RecordPart
	Record VersionRecord
}

// WriteRolloutStatus writes the status of a roll-out to the store, unless the order has been withdrawn or replaced or the
// status is final; RolloutStatusStored or RolloutStatusFailed follows.
type WriteRolloutStatus struct {
	Order dtrollout.Order
	State dtrollout.State

	BegunAt time.Time // When the first router has learned of the order.
}

// RestartWatch restarts the watch of the operators' keys, which may be waiting on a dead
// connection after an outage of the store.
type RestartWatch struct{}

// SetPeerLinks replaces the set of links to other routers, given as addresses by router name.
type SetPeerLinks struct {
	Addresses map[string]string
	Onward    map[string]string // Further links, for messages to one router only.
}

// LogRecord writes a record to the log; fields that do not apply are zero.
type LogRecord struct {
	Event         string // Name of what happened, such as "attempt" or "server_left".
	RequestID     string
	Subject       string // Server, service, failure domain, router or store call that the record is about.
	Via           string // Router by way of which the request was sent to the server.
	Outcome       string
	Detail        string
	Stream        string // ID of the request that began the stream that this one goes on with.
	Version       string // Software version of the server that the record is about.
	Status        int    // HTTP status.
	Attempt       int
	Elapsed       time.Duration // Time since the request arrived.
	Waited        time.Duration // For the result of a check of the server, or for a turn.
	Priority      int           // Of a request that has waited for a turn.
	IsReturned    bool          // Its caller has returned at the time that a refusal had named.
	Kind          string        // Kind of the route: "once", "repeatable" or "stream"; or of a message between routers.
	Route         string
	Account       string
	Placement     Placement
	ConfigVersion int64         // Version of the configuration used for the decision.
	RosterAge     time.Duration // Age of the server list used for the decision.
	RouterCount   int           // Number of routers that share the fleet's budgets.
	Sharing       int           // Number of routers with this router's list of servers, itself included, if none has another.
	Retries       RetryUsage    // Of the service that the record is about.
	RouterAge     time.Duration // Time since this router started.
	StreamAge     time.Duration // Time since the stream began, by the time that decides on its version.
	Progress      Progress      // How far the response had come.
	Framing       Framing       // Of the response of the server.
	LastEvent     string        // ID of the last event that has reached the caller.
	PromptParts   []PromptPart  // Parts of the request's prompt.
	RateLimit     RateLimit     // Named by the server that the record is about.
	Brittleness   Brittleness   // Named by the server that the record is about.
	Backoff       time.Duration // Pause that the server of the record has asked for.
	Era           uint64        // Era of the store.
	Revision      Revision      // Revision of the list of servers in use.
	Crashes       int           // Known crashes of servers that the record's request was running on.
}

// RetryUsage is what a router has counted in the retry window of a service, and what it allows.
type RetryUsage struct {
	Requests int
	Retries  int
	Limit    float64 // Highest number of retries.
	Slack    float64 // Part of Limit that does not depend on the number of requests.
}

// SetTimer requests a TimerFired event at At, replacing any earlier timer.
type SetTimer struct{ At time.Time }

// Exit requests that the process exit, because the shutdown is complete.
type Exit struct{ Abandoned int }

func (SendRequest) isEffect()        {}
func (OpenTunnel) isEffect()         {}
func (RefuseTunnel) isEffect()       {}
func (KeepWaiting) isEffect()        {}
func (EndAttempt) isEffect()         {}
func (CancelAttempt) isEffect()      {}
func (CompleteResponse) isEffect()   {}
func (ForwardStream) isEffect()      {}
func (Refuse) isEffect()             {}
func (ForwardFailure) isEffect()     {}
func (AbortResponse) isEffect()      {}
func (CheckServer) isEffect()        {}
func (PublishConfig) isEffect()      {}
func (SetReady) isEffect()           {}
func (CloseIdleConns) isEffect()     {}
func (SendToPeers) isEffect()        {}
func (DecodeConfig) isEffect()       {}
func (ListServers) isEffect()        {}
func (ListRouters) isEffect()        {}
func (ReadOperatorKeys) isEffect()   {}
func (ReadVersionRecord) isEffect()  {}
func (WriteVersionRecord) isEffect() {}
func (WriteRolloutStatus) isEffect() {}
func (RestartWatch) isEffect()       {}
func (SetPeerLinks) isEffect()       {}
func (LogRecord) isEffect()          {}
func (SetTimer) isEffect()           {}
func (Exit) isEffect()               {}

// Reason states why a request was refused.
type Reason uint8

// Reasons for refusing a request.
const (
	ReasonNoConfig       Reason = iota // No configuration is known yet.
	ReasonNoRoute                      // No route matches the request.
	ReasonUnauthorized                 // The API key is missing or unknown.
	ReasonNoServer                     // No server of the service may take the request.
	ReasonBusy                         // The servers tried did not execute the request.
	ReasonRetryBudget                  // A retry would exceed the retry budget.
	ReasonPoison                       // The request has crashed the servers that ran it.
	ReasonStopping                     // The router is shutting down.
	ReasonDeadline                     // The request's deadline has passed.
	ReasonServerLost                   // The connection to the server was lost and the request may have been executed.
	ReasonCallerGone                   // The caller closed its connection.
	ReasonServerLimit                  // The servers accept no more requests per second.
	ReasonServerBackoff                // The servers have asked this router for a pause.
	ReasonColdServers                  // The servers are cold and have been sent what they bear.
	ReasonResuming                     // The router has still to hear what it has missed in a pause.
	ReasonStreamVersion                // No server is known that may go on with the stream.
	ReasonBrittleServers               // The servers are brittle and may have no room.
	ReasonWaitTooLong                  // The servers have no room and will have none for the request before its deadline.
	ReasonQueueFull                    // Too many requests wait for room, most of them of this client account.
	ReasonWaitExpired                  // The request has waited for room until it could not be answered in time any more.
	ReasonLateStart                    // The request would start after its deadline at each server.
)

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string {
	return [...]string{
		"no_site", "no_route", "unknown_key", "no_server", "busy", "retry_budget",
		"crashes_servers", "stopping", "expired", "server_lost", "caller_left",
		"server_limit", "server_backoff", "cold_servers", "resuming", "stream_version", "brittle_servers",
		"wait_too_long", "queue_full", "wait_expired",
		"late_start",
	}[r]
}

// HTTP status codes.
const (
	statusUnauthorized   = 401
	statusNotFound       = 404
	minServerErrorStatus = 500 // Lowest status that denotes a server error.
	statusBadGateway     = 502
	statusUnavailable    = 503
	statusTimeout        = 504
)
