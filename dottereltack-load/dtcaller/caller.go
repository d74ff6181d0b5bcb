package dtcaller

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/dottereltack/dottereltack/core/dtapi"
	"github.com/dottereltack/dottereltack/dottereltack/dthead"
)

// requestTimeout bounds a request and its complete response.
const requestTimeout = 60 * time.Second

// errTokenSequence reports a stream chunk that is malformed or out of sequence.
var errTokenSequence = errors.New("token missing or duplicated")

// Caller sends requests with the key of one client account.
type Caller struct {
	Key    string
	client *fasthttp.Client
}

// New returns a caller that authenticates with key and never retries.
func New(key string) *Caller {
	return &Caller{Key: key, client: &fasthttp.Client{
		Dial:                      dthead.Dial, // The library alone is more lenient than other clients.
		StreamResponseBody:        true,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		ReadTimeout:               requestTimeout,
		MaxConnsPerHost:           4096,
	}}
}

// Result is the outcome of a request as its caller observed it.
type Result struct {
	Status          int
	Text            string // Text of a streamed answer.
	Tokens          uint32 // Tokens received, including those before a resume.
	Completed       bool
	Body            []byte // Body of a response that is not a stream.
	Replayed        bool   // Answered from the stored outcome of an earlier request.
	Server          string
	Router          string
	RequestID       string
	ResumeToken     string
	Refusal         *dtapi.ErrorDetail
	TimeToFirstByte time.Duration
	Elapsed         time.Duration
	Err             error
}

// Turn is one request of a chat with all its messages so far.
type Turn struct {
	ChatID          string
	Model           string
	Messages        []dtapi.ChatMessage
	MaxTokens       int
	Batch           bool // Low priority.
	Timeout         time.Duration
	DisconnectAfter uint32 // Tokens after which the caller disconnects; zero reads to the end.
	Resumable       bool   // Requests that the answer be kept for Resume after a disconnect.
}

// Message returns a chat message with text as its content.
func Message(role, text string) dtapi.ChatMessage {
	content, _ := json.Marshal(text)
	return dtapi.ChatMessage{Role: role, Content: content}
}

// Chat sends a turn to the router at address and reads the streamed answer.
func (c *Caller) Chat(address string, t *Turn) Result {
	body, err := json.Marshal(dtapi.ChatRequest{Model: t.Model, Messages: t.Messages, Stream: true, MaxTokens: t.MaxTokens})
	if err != nil {
		return Result{Err: err}
	}
	req := c.newRequest(fasthttp.MethodPost, address, dtapi.PathChat, body)
	defer fasthttp.ReleaseRequest(req)
	req.Header.Set(dtapi.HeaderChatID, t.ChatID)
	if t.Batch {
		req.Header.Set(dtapi.HeaderPriority, "batch")
	}
	if t.Resumable {
		req.Header.Set("X-Resumable", "1")
	}
	if t.Timeout > 0 {
		req.Header.Set(dtapi.HeaderDeadline, strconv.FormatInt(t.Timeout.Milliseconds(), 10))
	}
	return c.do(req, 0, t.DisconnectAfter)
}

// Resume requests the rest of an interrupted answer from the router at address.
func (c *Caller) Resume(address string, previous *Result, model string) Result {
	query := "?request_id=" + previous.RequestID + "&server=" + previous.Server + "&offset=" + strconv.FormatUint(uint64(previous.Tokens), 10) +
		"&token=" + previous.ResumeToken + "&model=" + model
	req := c.newRequest(fasthttp.MethodGet, address, dtapi.PathResume+query, nil)
	defer fasthttp.ReleaseRequest(req)
	return c.do(req, previous.Tokens, 0)
}

// NewIdempotencyKey returns a new Idempotency-Key that carries the current time.
func NewIdempotencyKey() string { return uuid.Must(uuid.NewV7()).String() }

// CallService calls a plain service; a non-empty key makes the call an order.
func (c *Caller) CallService(address, service, call, key string, body []byte) Result {
	req := c.newRequest(fasthttp.MethodPost, address, dtapi.PathServices+"/"+service+"/"+call, body)
	defer fasthttp.ReleaseRequest(req)
	if key != "" {
		req.Header.Set(dtapi.HeaderIdempotencyKey, key)
	}
	return c.do(req, 0, 0)
}

// OrderStatus requests the state of the order with an idempotency key.
func (c *Caller) OrderStatus(address, key string) (dtapi.OrderStatus, Result) {
	req := c.newRequest(fasthttp.MethodGet, address, dtapi.PathOrders+"/"+key, nil)
	defer fasthttp.ReleaseRequest(req)
	r := c.do(req, 0, 0)
	var status dtapi.OrderStatus
	_ = json.Unmarshal(r.Body, &status)
	return status, r
}

// Post sends an arbitrary body to a path, for tests of invalid requests.
func (c *Caller) Post(address, path string, body []byte) Result {
	req := c.newRequest(fasthttp.MethodPost, address, path, body)
	defer fasthttp.ReleaseRequest(req)
	return c.do(req, 0, 0)
}

func (c *Caller) newRequest(method, address, path string, body []byte) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.SetContentType("application/json")
	req.SetBody(body)
	return req
}

// do sends the request and reads the response; offset is the number of tokens that the
// caller already has.
func (c *Caller) do(req *fasthttp.Request, offset, disconnectAfter uint32) Result {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	start := time.Now()
	r := Result{Tokens: offset}
	if err := c.client.DoTimeout(req, resp, requestTimeout); err != nil {
		r.Err = err
		r.Elapsed = time.Since(start)
		return r
	}
	r.Status = resp.StatusCode()
	r.Server = string(resp.Header.Peek(dtapi.HeaderBackendServer))
	r.Router = string(resp.Header.Peek(dtapi.HeaderRouter))
	r.RequestID = string(resp.Header.Peek(dtapi.HeaderRequestID))
	r.ResumeToken = string(resp.Header.Peek("X-Resume-Token"))
	r.Replayed = len(resp.Header.Peek(dtapi.HeaderOrderReplayed)) > 0
	if strings.HasPrefix(string(resp.Header.ContentType()), "text/event-stream") {
		r.readStream(resp, start, disconnectAfter)
	} else {
		r.readBody(resp)
	}
	r.Elapsed = time.Since(start)
	return r
}

func (r *Result) readBody(resp *fasthttp.Response) {
	body := resp.Body()
	r.Body = append([]byte(nil), body...)
	r.Completed = r.Status < fasthttp.StatusBadRequest
	var e dtapi.ErrorBody
	if r.Status >= fasthttp.StatusBadRequest && json.Unmarshal(r.Body, &e) == nil && e.Error.Code != "" {
		r.Refusal = &e.Error
	}
}

// readStream reads a stream of events, which is complete only if it ends with the done
// marker after the announced number of tokens.
func (r *Result) readStream(resp *fasthttp.Response, start time.Time, disconnectAfter uint32) {
	lines := bufio.NewReader(resp.BodyStream())
	defer func() { _ = resp.CloseBodyStream() }()
	total := uint32(0)
	var text strings.Builder
	text.WriteString(r.Text)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			r.Text = text.String()
			r.Err = err
			return
		}
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == dtapi.StreamDoneData {
			r.Text = text.String()
			r.Completed = r.Tokens == total
			return
		}
		if bytes.HasPrefix(data, []byte(`{"error"`)) {
			var e dtapi.ErrorBody
			if json.Unmarshal(data, &e) == nil {
				r.Refusal = &e.Error
			}
			r.Text = text.String()
			return
		}
		var chunk dtapi.ChatChunk
		if err := json.Unmarshal(data, &chunk); err != nil || len(chunk.Choices) == 0 || chunk.TokenIndex != r.Tokens {
			r.Err = errors.Join(errTokenSequence, err)
			r.Text = text.String()
			return
		}
		if r.TimeToFirstByte == 0 {
			r.TimeToFirstByte = time.Since(start)
		}
		r.Tokens++
		total = chunk.TokenTotal
		text.WriteString(chunk.Choices[0].Delta.Content)
		if disconnectAfter > 0 && r.Tokens >= disconnectAfter {
			r.Text = text.String()
			return
		}
	}
}

// Close closes idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }
