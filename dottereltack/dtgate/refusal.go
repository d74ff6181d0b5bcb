package dtgate

import (
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/dottereltack/dottereltack/core/dtapi"
	"github.com/dottereltack/dottereltack/core/dtstate"
)

const (
	statusOK          = fiber.StatusOK
	statusBadRequest  = fiber.StatusBadRequest
	statusServerError = fiber.StatusInternalServerError
	msPerSecond       = 1000
)

func refusalStatus(r dtstate.Reason) int {
	switch r {
	case dtstate.ReasonBadRequest, dtstate.ReasonKeyInvalid, dtstate.ReasonKeyExpired:
		return fiber.StatusBadRequest
	case dtstate.ReasonUnauthorized:
		return fiber.StatusUnauthorized
	case dtstate.ReasonUnknownGroup:
		return fiber.StatusNotFound
	case dtstate.ReasonTooLarge:
		return fiber.StatusRequestEntityTooLarge
	case dtstate.ReasonInProgress, dtstate.ReasonKeyReused, dtstate.ReasonOutcomeUnknown:
		return fiber.StatusConflict
	case dtstate.ReasonPoison:
		return fiber.StatusUnprocessableEntity
	case dtstate.ReasonQueueFull, dtstate.ReasonOverload:
		return fiber.StatusTooManyRequests
	case dtstate.ReasonAnswerCut, dtstate.ReasonRetryBudget:
		return fiber.StatusBadGateway
	default:
		return fiber.StatusServiceUnavailable
	}
}

func refusalMessage(r dtstate.Reason) string {
	messages := map[dtstate.Reason]string{
		dtstate.ReasonStopping:            "this router is stopping; send the request again",
		dtstate.ReasonNoConfig:            "this router has no configuration yet",
		dtstate.ReasonOverload:            "too many requests in flight",
		dtstate.ReasonQueueFull:           "too many requests of this account wait already",
		dtstate.ReasonDeadline:            "no answer could begin within the deadline",
		dtstate.ReasonNoServer:            "no backend server is in service for this",
		dtstate.ReasonUnknownGroup:        "unknown model or service",
		dtstate.ReasonPoison:              "backend servers died while they ran this request",
		dtstate.ReasonRetryBudget:         "the attempt failed and the retry budget is spent",
		dtstate.ReasonOutcomeUnknown:      "it is unknown whether this ran; it will not be run again",
		dtstate.ReasonInProgress:          "a request with this key is in progress",
		dtstate.ReasonKeyInvalid:          "a UUIDv7 of the present time is needed as Idempotency-Key",
		dtstate.ReasonKeyExpired:          "the Idempotency-Key is too old",
		dtstate.ReasonKeyReused:           "the Idempotency-Key was used with another body",
		dtstate.ReasonPlatformUnavailable: "the platform is not available; the order was not run",
		dtstate.ReasonBadRequest:          "the request can't be understood",
		dtstate.ReasonUnauthorized:        "unknown key",
		dtstate.ReasonTooLarge:            "the body is too large",
		dtstate.ReasonAnswerCut:           "the answer is incomplete and can't be continued",
	}
	return messages[r]
}

func errorBody(r *dtstate.Refusal) []byte {
	body, err := json.Marshal(dtapi.ErrorBody{Error: dtapi.ErrorDetail{
		Code: r.Reason.String(), Message: refusalMessage(r.Reason), Ran: r.Ran.String(),
		RequestID: string(r.Request), RefusalID: r.ID(), RetryAfterMs: r.RetryMs,
	}})
	if err != nil {
		return nil
	}
	return body
}

// sendFailure sends a refusal, or closes the connection of an abandoned request, of which the caller is told
// nothing since no refusal of it is recorded.
func (g *Gateway) sendFailure(c fiber.Ctx, x *exchange, r *dtstate.Refusal) error {
	if r == nil {
		g.endExchange(x, x.outcomeWithoutResponse())
		return c.RequestCtx().Conn().Close()
	}
	g.endExchange(x, "refused")
	c.Set(dtapi.HeaderRequestID, string(x.id))
	c.Set(dtapi.HeaderRouter, g.settings.Router)
	if retry := retryAfterSeconds(r); retry > 0 {
		c.Set(dtapi.HeaderRetryAfter, strconv.Itoa(retry))
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(refusalStatus(r.Reason)).Send(errorBody(r))
}

// retryAfterSeconds returns the value of the Retry-After header in seconds, or 0 for
// none.
func retryAfterSeconds(r *dtstate.Refusal) int {
	switch r.Reason {
	case dtstate.ReasonOverload, dtstate.ReasonQueueFull, dtstate.ReasonDeadline, dtstate.ReasonPlatformUnavailable,
		dtstate.ReasonNoServer, dtstate.ReasonStopping, dtstate.ReasonNoConfig, dtstate.ReasonInProgress:
		return max(int(r.RetryMs+msPerSecond-1)/msPerSecond, 1)
	default:
		return 0
	}
}

// refuseLocally sends a refusal decided by the gateway itself, which the reducer numbers and
// records.
func (g *Gateway) refuseLocally(c fiber.Ctx, x *exchange, account string, reason dtstate.Reason) error {
	g.post(dtstate.RefusalReported{Request: x.id, Account: dtstate.ClientAccount(account), Reason: reason})
	return g.sendFailure(c, x, x.nextPart().refusal)
}

// handleError responds to requests that the HTTP library rejected.
func (g *Gateway) handleError(c fiber.Ctx, err error) error {
	reason := dtstate.ReasonBadRequest
	status := statusBadRequest
	var fiberErr *fiber.Error
	if errors.As(err, &fiberErr) {
		status = fiberErr.Code
	}
	switch status {
	case fiber.StatusRequestEntityTooLarge:
		reason = dtstate.ReasonTooLarge
	case fiber.StatusNotFound, fiber.StatusMethodNotAllowed:
		reason = dtstate.ReasonUnknownGroup
	}
	x := g.newExchange("", "", nil)
	return g.refuseLocally(c, x, "", reason)
}

// firstByteDeadline returns the time by which the first byte of a response must be sent. A
// caller can only shorten the configured timeout.
func (g *Gateway) firstByteDeadline(c fiber.Ctx, now time.Time) time.Time {
	site := g.site.Load()
	timeout := time.Duration(site.Limits.FirstByteTimeoutMs) * time.Millisecond
	ms, err := strconv.ParseUint(c.Get(dtapi.HeaderDeadline), 10, 31)
	if err == nil && ms > 0 {
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	return now.Add(timeout)
}
