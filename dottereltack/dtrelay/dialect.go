package dtrelay

import (
	"net/http"
	"time"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// Ask is what a caller's head says in the product's terms.
type Ask struct {
	ID        string
	Key       string
	Parts     []dtdispatch.PromptPart
	Patient   time.Duration
	LastEvent string // The event after which a stream is to go on, or "".
}

// Reply is what the head of a server's answer says in the product's terms.
type Reply struct {
	ID     string
	Signed bool // The server vouches for the answer.
	NotRun bool // The server says that it did not run the request.
	Report *dtdispatch.LoadReport
	Idle   time.Duration // How long the server keeps an idle connection; zero if it does not say.
}

// Dialect knows the header fields that callers and servers use.
type Dialect interface {
	// Ask reads the head of a caller's request.
	Ask(h *Head) Ask
	// Forward returns the fields that go to a server in place of the caller's.
	Forward(h *Head, send *dtdispatch.SendRequest, left time.Duration, lastEvent string) []Field
	// Reply reads the head of a server's answer.
	Reply(h http.Header) Reply
	// Refusal returns the fields of a refusal of the request id.
	Refusal(id string, after time.Duration) []Field
}

// control takes events for the reducer.
type control interface {
	Offer(ev dtdispatch.Event) bool
	Post(ev dtdispatch.Event)
}
