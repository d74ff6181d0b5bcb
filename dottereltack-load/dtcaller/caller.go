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
)

// answerWithin bounds a whole exchange.
const answerWithin = 60 * time.Second

// errGap says that a token is missing or doubled.
var errGap = errors.New("token missing or doubled")

// Caller sends requests with one client account's key.
type Caller struct {
	Key string
	web *fasthttp.Client
}

// New returns a caller with a key.
func New(key string) *Caller {
	return &Caller{Key: key, web: &fasthttp.Client{
		StreamResponseBody:        true,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		ReadTimeout:               answerWithin,
		MaxConnsPerHost:           4096,
	}}
}

// Result is how a request ended, as its caller saw it.
type Result struct {
	Status    int
	Text      string
	Tokens    uint32
	Whole     bool
	Body      []byte
	Replayed  bool
	Server    string
	Router    string
	Request   string
	Token     string
	Refusal   *dtapi.ErrorDetail
	FirstByte time.Duration
	Took      time.Duration
	Err       error
}

// Turn is one request of a chat.
type Turn struct {
	Chat      string
	Model     string
	Messages  []dtapi.ChatMessage
	MaxTokens int
	Batch     bool
	Deadline  time.Duration
	StopAfter uint32 // Hang up after so many tokens; zero reads to the end.
	Keep      bool
}

// Message returns a chat message with text as its content.
func Message(role, text string) dtapi.ChatMessage {
	content, _ := json.Marshal(text)
	return dtapi.ChatMessage{Role: role, Content: content}
}

// Chat sends a turn to the router at address and reads its streamed answer.
func (c *Caller) Chat(address string, t *Turn) Result {
	body, err := json.Marshal(dtapi.ChatRequest{Model: t.Model, Messages: t.Messages, Stream: true, MaxTokens: t.MaxTokens})
	if err != nil {
		return Result{Err: err}
	}
	req := c.request(fasthttp.MethodPost, address, dtapi.PathChat, body)
	defer fasthttp.ReleaseRequest(req)
	req.Header.Set(dtapi.HeaderChatID, t.Chat)
	if t.Batch {
		req.Header.Set(dtapi.HeaderPriority, "batch")
	}
	if t.Keep {
		req.Header.Set("X-Resumable", "1")
	}
	if t.Deadline > 0 {
		req.Header.Set(dtapi.HeaderDeadline, strconv.FormatInt(t.Deadline.Milliseconds(), 10))
	}
	return c.read(req, 0, t.StopAfter)
}

// Resume goes on with an earlier result's answer at another router.
func (c *Caller) Resume(address string, earlier *Result, model string) Result {
	q := "?request_id=" + earlier.Request + "&server=" + earlier.Server + "&offset=" + strconv.FormatUint(uint64(earlier.Tokens), 10) +
		"&token=" + earlier.Token + "&model=" + model
	req := c.request(fasthttp.MethodGet, address, dtapi.PathResume+q, nil)
	defer fasthttp.ReleaseRequest(req)
	return c.read(req, earlier.Tokens, 0)
}

// NewKey returns an Idempotency-Key of the present time.
func NewKey() string { return uuid.Must(uuid.NewV7()).String() }

// Call makes a call of a plain service; a key makes it an order.
func (c *Caller) Call(address, service, call, key string, body []byte) Result {
	req := c.request(fasthttp.MethodPost, address, dtapi.PathServices+"/"+service+"/"+call, body)
	defer fasthttp.ReleaseRequest(req)
	if key != "" {
		req.Header.Set(dtapi.HeaderIdempotencyKey, key)
	}
	return c.read(req, 0, 0)
}

// OrderStatus asks what became of an order key.
func (c *Caller) OrderStatus(address, key string) (dtapi.OrderStatus, Result) {
	req := c.request(fasthttp.MethodGet, address, dtapi.PathOrders+"/"+key, nil)
	defer fasthttp.ReleaseRequest(req)
	r := c.read(req, 0, 0)
	var st dtapi.OrderStatus
	_ = json.Unmarshal(r.Body, &st)
	return st, r
}

// Post sends any body to a path, as a mistaken caller might.
func (c *Caller) Post(address, path string, body []byte) Result {
	req := c.request(fasthttp.MethodPost, address, path, body)
	defer fasthttp.ReleaseRequest(req)
	return c.read(req, 0, 0)
}

func (c *Caller) request(method, address, path string, body []byte) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.SetContentType("application/json")
	req.SetBody(body)
	return req
}

// read makes the exchange and judges what comes.
func (c *Caller) read(req *fasthttp.Request, from, stopAfter uint32) Result {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	start := time.Now()
	r := Result{Tokens: from}
	if err := c.web.DoTimeout(req, resp, answerWithin); err != nil {
		r.Err = err
		r.Took = time.Since(start)
		return r
	}
	r.Status = resp.StatusCode()
	r.Server = string(resp.Header.Peek(dtapi.HeaderBackendServer))
	r.Router = string(resp.Header.Peek(dtapi.HeaderRouter))
	r.Request = string(resp.Header.Peek(dtapi.HeaderRequestID))
	r.Token = string(resp.Header.Peek("X-Resume-Token"))
	r.Replayed = len(resp.Header.Peek(dtapi.HeaderOrderReplayed)) > 0
	if strings.HasPrefix(string(resp.Header.ContentType()), "text/event-stream") {
		r.readEvents(resp, start, stopAfter)
	} else {
		r.readBody(resp)
	}
	r.Took = time.Since(start)
	return r
}

// readBody reads an answer that is not a stream.
func (r *Result) readBody(resp *fasthttp.Response) {
	body := resp.Body()
	r.Body = append([]byte(nil), body...)
	r.Whole = r.Status < fasthttp.StatusBadRequest
	var e dtapi.ErrorBody
	if r.Status >= fasthttp.StatusBadRequest && json.Unmarshal(r.Body, &e) == nil && e.Error.Code != "" {
		r.Refusal = &e.Error
	}
}

// readEvents reads a stream; it is whole only with its end mark and its total.
func (r *Result) readEvents(resp *fasthttp.Response, start time.Time, stopAfter uint32) {
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
			r.Whole = r.Tokens == total
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
			r.Err = errors.Join(errGap, err)
			r.Text = text.String()
			return
		}
		if r.FirstByte == 0 {
			r.FirstByte = time.Since(start)
		}
		r.Tokens++
		total = chunk.TokenTotal
		text.WriteString(chunk.Choices[0].Delta.Content)
		if stopAfter > 0 && r.Tokens >= stopAfter {
			r.Text = text.String()
			return
		}
	}
}

// Close drops idle connections.
func (c *Caller) Close() { c.web.CloseIdleConnections() }
