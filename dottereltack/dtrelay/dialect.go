package dtrelay

import (
	"net/http"
	"time"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// RequestInfo contains the values of a caller's header fields that matter for routing.
type RequestInfo struct {
	ID          string
	APIKey      string
	PromptParts []dtdispatch.PromptPart
	Timeout     time.Duration // How long the caller waits for the response; zero if unspecified.
	LastEventID string        // ID of the event after which a stream is to resume, or "".
	ResumesID   string        // ID of the request whose response brought the first event of that stream, or "".
}

// ResponseInfo contains the values of a backend server's header fields that matter for
// routing.
type ResponseInfo struct {
	ID          string
	Signed      bool                   // The response has a signature of the server.
	NotRun      bool                   // The server reports that it did not run the request.
	Load        *dtdispatch.LoadReport // Nil if the server reports none.
	RateLimit   dtdispatch.RateLimit
	Brittleness dtdispatch.Brittleness
	Leaving     bool          // The server is leaving.
	RetryAfter  time.Duration // Pause that the server asks for in a refusal; zero if unspecified.
	IdleTimeout time.Duration // How long the server keeps an idle connection; zero if unspecified.
}

// ServerIdentity is what the answer to a status request states about the process that has sent it.
type ServerIdentity struct {
	Server dtdispatch.ServerID // Or "" if it names none.
	Start  int64               // Of its incarnation, in Unix milliseconds; zero if it names none.
}

// Dialect translates between header fields and their meaning for routing.
type Dialect interface {
	// ParseRequest reads the head of a caller's request.
	ParseRequest(h *RequestHead) RequestInfo
	// RequestFields returns the header fields to send to a server in place of the
	// caller's; remaining is the time left for the request.
	RequestFields(h *RequestHead, send *dtdispatch.SendRequest, remaining time.Duration, lastEventID string) []HeaderField
	// ParseResponse reads the header of a server's response.
	ParseResponse(h http.Header) ResponseInfo
	// StatusFields returns the header fields of a status request to a server, which any other server declines.
	StatusFields(id dtdispatch.ServerID) []HeaderField
	// ParseStatus reads the identity of a server from its answer to a status request.
	ParseStatus(h http.Header, body []byte) ServerIdentity
	// RefusalFields returns the header fields of a refusal of the request with that ID.
	RefusalFields(id string, retryAfter time.Duration) []HeaderField
}

// eventQueue passes events to the reducer. Offer returns false if the queue is full.
type eventQueue interface {
	Offer(ev dtdispatch.Event) bool
	Post(ev dtdispatch.Event)
}
