package dtgate

import (
	"bufio"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"

	"github.com/dottereltack/dottereltack/core/dtapi"
	"github.com/dottereltack/dottereltack/core/dtstate"
)

// Parameters for estimating the work of a request in tokens.
const (
	bytesPerToken     = 4
	defaultMaxTokens  = 16
	serviceCallTokens = 1
)

// headerResumeToken carries the token with which a caller can resume a response at
// another router.
const headerResumeToken = "X-Resume-Token"

// headerResumable requests that the response is retained for a while if the caller
// disconnects.
const headerResumable = "X-Resumable"

// authenticate returns the client account of the caller's API key. Only digests are
// compared, so the response time reveals nothing about a key.
func (g *Gateway) authenticate(c fiber.Ctx) (string, bool) {
	keys := g.accountsByKeyDigest.Load()
	key, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if keys == nil || !ok {
		return "", false
	}
	sum := sha256.Sum256([]byte(key))
	digest := hex.EncodeToString(sum[:])
	name, ok := (*keys)[digest]
	return name, ok
}

// beginExchange registers a request and authenticates its caller. A reason other than
// ReasonNone means that the request is to be refused.
func (g *Gateway) beginExchange(c fiber.Ctx) (*exchange, string, dtstate.Reason) {
	x := g.newExchange("", "", bodyOf(c))
	if conn, ok := c.RequestCtx().Conn().(*callerConn); ok {
		x.holder, x.caller = conn.holder, conn.Conn
	}
	if g.site.Load() == nil {
		return x, "", dtstate.ReasonNoConfig
	}
	account, ok := g.authenticate(c)
	if !ok {
		return x, "", dtstate.ReasonUnauthorized
	}
	return x, account, dtstate.ReasonNone
}

// submit offers a request to the reducer, or refuses it if the event queue is full.
func (g *Gateway) submit(ev dtstate.RequestArrived, x *exchange) {
	if !g.events.Offer(ev) {
		g.post(dtstate.RefusalReported{Request: x.id, Account: ev.Account, Reason: dtstate.ReasonOverload})
	}
}

func (g *Gateway) handleChat(c fiber.Ctx) error {
	x, account, reason := g.beginExchange(c)
	if reason != dtstate.ReasonNone {
		return g.refuseLocally(c, x, account, reason)
	}
	var req dtapi.ChatRequest
	if json.Unmarshal(x.body, &req) != nil || req.Model == "" || len(req.Messages) == 0 {
		return g.refuseLocally(c, x, account, dtstate.ReasonBadRequest)
	}
	x.group = req.Model
	x.path = dtapi.PathChat
	now := time.Now()
	ev := dtstate.RequestArrived{
		Request: x.id, Account: dtstate.ClientAccount(account), Group: req.Model,
		Chat: chatHash(c.Get(dtapi.HeaderChatID), &req, account), Digest: xxhash.Sum64(x.body), PromptParts: promptParts(req.Messages),
		Class: g.requestClass(c, account), Work: estimateTokens(&req, len(x.body)), Deadline: g.firstByteDeadline(c, now),
		KeepStream: c.Get(headerResumable) != "",
	}
	x.priority = [...]string{"order", "interactive", "batch"}[ev.Class]
	x.watchCaller()
	g.submit(ev, x)
	if req.Stream {
		return g.sendStream(c, x, account)
	}
	return g.sendCollected(c, x, req.Model)
}

func (g *Gateway) requestClass(c fiber.Ctx, account string) dtstate.Class {
	if c.Get(dtapi.HeaderPriority) == "batch" || g.site.Load().Accounts[account].Batch {
		return dtstate.ClassBatch
	}
	return dtstate.ClassInteractive
}

// chatHash returns the hash that determines the placement of a chat: of the chat ID in the
// header, the metadata or the user field, or else of the first message.
func chatHash(header string, req *dtapi.ChatRequest, account string) uint64 {
	id := header
	if id == "" {
		id = req.Metadata["chat_id"]
	}
	if id == "" {
		id = req.User
	}
	if id == "" {
		id = string(req.Messages[0].Content)
	}
	return dtstate.HashString("chat", account, id)
}

// maxPromptParts is the number of messages that promptParts returns hashes of.
const maxPromptParts = 4

// promptParts returns the hashes of the first message and of the latest ones but the last, which is
// unique to the request.
func promptParts(messages []dtapi.ChatMessage) []uint64 {
	var parts []uint64
	for i := range len(messages) - 1 {
		if i > 0 && i < len(messages)-maxPromptParts {
			continue
		}
		part := dtstate.HashString("message", messages[i].Role, string(messages[i].Content))
		if !slices.Contains(parts, part) {
			parts = append(parts, part)
		}
	}
	return parts
}

func estimateTokens(req *dtapi.ChatRequest, bodyBytes int) uint32 {
	tokens := req.MaxTokens
	if tokens <= 0 {
		tokens = defaultMaxTokens
	}
	return uint32(min(tokens, 1<<20) + bodyBytes/bytesPerToken)
}

// sendStream sends the response as server-sent events.
func (g *Gateway) sendStream(c fiber.Ctx, x *exchange, account string) error {
	p := x.nextPart()
	if p.failed() {
		return g.sendFailure(c, x, p.refusal)
	}
	if p.body != nil {
		return g.sendBody(c, x, p)
	}
	g.setRoutingHeaders(c, x)
	c.Set(headerResumeToken, g.resumeToken(x.engineID, x.server, account))
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	return c.SendStreamWriter(func(w *bufio.Writer) { g.writeStream(w, x, p) })
}

func (g *Gateway) setRoutingHeaders(c fiber.Ctx, x *exchange) {
	c.Set(dtapi.HeaderRequestID, string(x.engineID))
	c.Set(dtapi.HeaderRouter, g.settings.Router)
	c.Set(dtapi.HeaderBackendServer, string(x.server))
}

// writeStream writes the events of a response. Only a complete response gets an end
// marker.
func (g *Gateway) writeStream(w *bufio.Writer, x *exchange, p responsePart) {
	for p.event != nil {
		_, _ = w.WriteString("data: ")
		_, _ = w.Write(p.event)
		_, _ = w.WriteString("\n\n")
		if w.Flush() != nil {
			x.cancelAttempt()
			g.endExchange(x, outcomeCallerGone)
			return
		}
		p = x.nextPart()
	}
	outcome := "cut"
	if x.isLeft {
		outcome = outcomeCallerGone
	}
	if p.complete {
		outcome = "completed"
		_, _ = w.WriteString("data: " + dtapi.StreamDoneData + "\n\n")
	}
	if p.refusal != nil {
		_, _ = w.WriteString("event: error\ndata: ")
		_, _ = w.Write(errorBody(p.refusal))
		_, _ = w.WriteString("\n\n")
	}
	_ = w.Flush()
	g.endExchange(x, outcome)
}

// sendCollected collects a streamed response and sends it as one JSON body.
func (g *Gateway) sendCollected(c fiber.Ctx, x *exchange, model string) error {
	text, p := x.collectText()
	if p.failed() {
		return g.sendFailure(c, x, p.refusal)
	}
	if p.body != nil {
		return g.sendBody(c, x, p)
	}
	g.setRoutingHeaders(c, x)
	g.endExchange(x, "completed")
	return c.JSON(dtapi.ChatResponse{
		ID: "chatcmpl-" + string(x.id), Object: "chat.completion", Created: x.arrivedAt.Unix(), Model: model,
		Choices: []dtapi.ResponseChoice{{
			Message: dtapi.ResponseMessage{Role: "assistant", Content: text}, FinishReason: "stop",
		}},
		Usage: dtapi.Usage{CompletionTokens: int(x.nextToken), TotalTokens: int(x.nextToken)},
	})
}

// deltaContent returns the text of one event of a streamed chat completion.
func deltaContent(event []byte) string {
	var chunk dtapi.ChatChunk
	if json.Unmarshal(event, &chunk) != nil || len(chunk.Choices) == 0 {
		return ""
	}
	return chunk.Choices[0].Delta.Content
}

// sendBody sends a complete body: a response that the server did not stream, or the
// stored response of an order.
func (g *Gateway) sendBody(c fiber.Ctx, x *exchange, p responsePart) error {
	g.setRoutingHeaders(c, x)
	outcome := "completed"
	if p.replayed {
		c.Set(dtapi.HeaderOrderReplayed, "true")
		outcome = "replayed"
	}
	g.endExchange(x, outcome)
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(max(p.status, statusOK)).Send(p.body)
}

// handleServiceCall serves calls of services other than chat completion.
func (g *Gateway) handleServiceCall(c fiber.Ctx) error {
	service, name := strings.Clone(c.Params("service")), strings.Clone(c.Params("call"))
	x, account, reason := g.beginExchange(c)
	if reason != dtstate.ReasonNone {
		return g.refuseLocally(c, x, account, reason)
	}
	call, ok := g.site.Load().Groups[service].Calls[name]
	if !ok {
		return g.refuseLocally(c, x, account, dtstate.ReasonUnknownGroup)
	}
	x.group = service
	x.path = dtapi.PathCalls + "/" + name
	x.idempotencyKey = strings.Clone(c.Get(dtapi.HeaderIdempotencyKey))
	x.atMostOnce = !call.Idempotent
	ev := dtstate.RequestArrived{
		Request: x.id, Account: dtstate.ClientAccount(account), Group: service, Chat: xxhash.Sum64String(string(x.id)),
		Class: dtstate.ClassInteractive, Work: serviceCallTokens, Deadline: g.firstByteDeadline(c, time.Now()),
	}
	if chat := c.Get(dtapi.HeaderChatID); chat != "" {
		ev.Chat = dtstate.HashString("chat", account, chat)
	}
	if !call.Idempotent {
		ev.Class = dtstate.ClassOrder
		ev.Order = parseOrderKey(x.idempotencyKey, xxhash.Sum64(append([]byte(service+"/"+name+"\x00"), x.body...)))
	} else {
		x.watchCaller() // An order runs to its end, which its caller may ask for later.
	}
	g.submit(ev, x)
	p := x.nextPart()
	if p.failed() {
		return g.sendFailure(c, x, p.refusal)
	}
	return g.sendBody(c, x, p)
}

// parseOrderKey parses an idempotency key, which must be a UUIDv7, and extracts its
// timestamp. The result is empty for any other key.
func parseOrderKey(key string, bodyHash uint64) *dtstate.OrderKey {
	const version, timeBytes, byteBits = 7, 6, 8
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != version {
		return &dtstate.OrderKey{}
	}
	var ms int64
	for _, b := range id[:timeBytes] {
		ms = ms<<byteBits | int64(b)
	}
	return &dtstate.OrderKey{Key: id.String(), CreatedAt: time.UnixMilli(ms), BodyHash: bodyHash}
}

func (g *Gateway) handleOrderStatus(c fiber.Ctx) error {
	x, account, reason := g.beginExchange(c)
	if reason != dtstate.ReasonNone {
		return g.refuseLocally(c, x, account, reason)
	}
	key := parseOrderKey(strings.Clone(c.Params("key")), 0)
	if key.Key == "" {
		return g.refuseLocally(c, x, account, dtstate.ReasonKeyInvalid)
	}
	g.post(dtstate.OrderQueried{Request: x.id, Account: dtstate.ClientAccount(account), Order: *key})
	p := x.nextPart()
	if p.failed() {
		return g.sendFailure(c, x, p.refusal)
	}
	g.endExchange(x, "completed")
	return c.JSON(dtapi.OrderStatus{Key: key.Key, State: p.orderState.String(), Status: p.status})
}

// resumeToken returns the signature that authorizes an account to resume a response.
func (g *Gateway) resumeToken(id dtstate.RequestID, server dtstate.ServerID, account string) string {
	mac := hmac.New(sha256.New, []byte(g.settings.ResumeTokenKey))
	mac.Write([]byte(string(id) + "\x00" + string(server) + "\x00" + account))
	return hex.EncodeToString(mac.Sum(nil))
}

// handleResume resumes a response that the caller began to read, possibly at another
// router.
func (g *Gateway) handleResume(c fiber.Ctx) error {
	x, account, reason := g.beginExchange(c)
	if reason != dtstate.ReasonNone {
		return g.refuseLocally(c, x, account, reason)
	}
	id := dtstate.RequestID(strings.Clone(c.Query("request_id")))
	server := dtstate.ServerID(strings.Clone(c.Query("server")))
	offset, err := strconv.ParseUint(c.Query("offset"), 10, 31)
	want := g.resumeToken(id, server, account)
	if err != nil || subtle.ConstantTimeCompare([]byte(want), []byte(c.Query("token"))) != 1 {
		return g.refuseLocally(c, x, account, dtstate.ReasonBadRequest)
	}
	x.engineID = id
	x.group = strings.Clone(c.Query("model"))
	x.path = dtapi.PathChat
	x.watchCaller()
	g.submit(dtstate.RequestArrived{
		Request: x.id, Account: dtstate.ClientAccount(account), Group: x.group,
		Class: dtstate.ClassInteractive, Work: defaultMaxTokens, Deadline: g.firstByteDeadline(c, time.Now()),
		Resume: &dtstate.ResumePoint{Server: server, Offset: uint32(offset)}, KeepStream: true,
	}, x)
	return g.sendStream(c, x, account)
}
