package dtserver

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"

	"github.com/dottereltack/dottereltack/core/dtapi"
	"github.com/dottereltack/dottereltack/core/dtstate"
	"github.com/dottereltack/dottereltack/dottereltack/dtbudget"
	"github.com/dottereltack/dottereltack/dottereltack/dthead"
	"github.com/dottereltack/dottereltack/dottereltack/dtlink"
)

// Limits of what is taken for a response.
const (
	maxInterimResponses = 8
	maxHeadBytes        = 8 << 10
)

// Timeouts of requests and responses.
const (
	probeTimeout      = 700 * time.Millisecond
	commandTimeout    = time.Second      // For the response to a cancellation or a command to load a model.
	streamIdleTimeout = 5 * time.Second  // Maximum pause within a streamed response.
	responseTimeout   = 12 * time.Second // For the response head, and for ReadBody.
)

// meter counts the bytes of control requests to backend servers.
type meter interface {
	CountControlMessage(kind, direction string, bytes int)
}

// Errors of requests and responses.
var (
	errSendDeadline   = errors.New("send deadline exceeded")
	errOtherRequest   = errors.New("response to another request")
	errInvalidStatus  = errors.New("status out of range, or too many interim responses")
	errStatus         = errors.New("unexpected status")
	errMalformedChunk = errors.New("malformed chunked encoding")
	errDropped        = errors.New("connection ended without a response")
)

// Client sends requests to backend servers and reuses idle connections.
type Client struct {
	pool         idlePool
	dialer       net.Dialer
	buffers      *dtbudget.ReceiveBuffers // Of the connections; nil if they are not shared.
	meter        meter
	commandCount atomic.Uint64 // Of status requests and commands, whose IDs follow from it.
}

// Option configures a Client.
type Option func(*Client)

// WithReceiveBuffers sets what the receive buffers of the connections are taken from.
func WithReceiveBuffers(b *dtbudget.ReceiveBuffers) Option {
	return func(c *Client) { c.buffers = b }
}

// New returns a client whose connections originate from the IP address of ownAddress,
// the address that the host listens on.
func New(ownAddress string, m meter, options ...Option) *Client {
	c := &Client{meter: m, dialer: net.Dialer{Timeout: dialTimeout, LocalAddr: dtlink.LocalAddr(ownAddress)}}
	for _, option := range options {
		option(c)
	}
	return c
}

// Close closes the idle connections.
func (c *Client) Close() { c.pool.close() }

// Request describes a POST request to a backend server.
type Request struct {
	Address        string
	Path           string
	ID             dtstate.RequestID
	IdempotencyKey string
	Priority       string
	Body           []byte
	AtMostOnce     bool      // Use a new connection, which Response.Release closes.
	SendBefore     time.Time // The request is not sent after this time.
}

// Do sends a request and reads the head of the response; the response is non-nil only if the
// outcome is OutcomeCompleted, and its body is still unread. The connection is closed if ctx is done before the response is released.
func (c *Client) Do(ctx context.Context, req *Request) (*Response, dtstate.Outcome, error) {
	if time.Now().After(req.SendBefore) {
		return nil, dtstate.OutcomeNotSent, wrapError(errSendDeadline, "send", req.Address)
	}
	cn, err := c.connect(ctx, req)
	if err != nil {
		return nil, dtstate.OutcomeNotSent, wrapError(err, "dial", req.Address)
	}
	cn.stop = context.AfterFunc(ctx, cn.abandon)
	if time.Now().After(req.SendBefore) {
		_ = cn.Close()
		return nil, dtstate.OutcomeNotSent, wrapError(errSendDeadline, "send", req.Address)
	}
	httpReq := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(httpReq)
	req.fillHTTPRequest(httpReq)
	if err := cn.writeRequest(httpReq); err != nil {
		_ = cn.Close()
		return nil, dtstate.OutcomeCut, wrapError(err, "send", req.Address)
	}
	return c.readResponseHead(req, cn)
}

// connect returns an idle connection if there is one and the request may use it, or else
// a new one.
func (c *Client) connect(ctx context.Context, req *Request) (*serverConn, error) {
	if !req.AtMostOnce {
		if cn := c.pool.get(req.Address, time.Now()); cn != nil {
			return cn, nil
		}
	}
	return dial(ctx, &c.dialer, c.buffers, req.Address)
}

func (req *Request) fillHTTPRequest(httpReq *fasthttp.Request) {
	httpReq.Header.SetMethod(fasthttp.MethodPost)
	httpReq.SetRequestURI("http://" + req.Address + req.Path)
	httpReq.Header.SetContentType("application/json")
	httpReq.Header.Set(dtapi.HeaderRequestID, string(req.ID))
	if req.IdempotencyKey != "" {
		httpReq.Header.Set(dtapi.HeaderIdempotencyKey, req.IdempotencyKey)
	}
	if req.Priority != "" {
		httpReq.Header.Set(dtapi.HeaderPriority, req.Priority)
	}
	if req.AtMostOnce {
		httpReq.SetConnectionClose()
	}
	httpReq.SetBodyRaw(req.Body)
}

// readResponseHead reads the status line and the headers and derives the outcome.
func (c *Client) readResponseHead(req *Request, cn *serverConn) (*Response, dtstate.Outcome, error) {
	_ = cn.SetReadDeadline(time.Now().Add(responseTimeout))
	head, err := readFinalHead(cn.reader)
	if err != nil {
		_ = cn.Close()
		return nil, dtstate.OutcomeCut, wrapError(err, "read_head", req.Address)
	}
	id := dtstate.RequestID(head.Header.Get(dtapi.HeaderRequestID))
	if id != "" && id != req.ID {
		_ = cn.Close()
		return nil, dtstate.OutcomeCut, wrapError(errOtherRequest, "read_head", req.Address)
	}
	// Without its ID a late response could not be told from that to the next request.
	resp := newResponse(c, req.Address, cn, head)
	resp.reusable = id != "" && !req.AtMostOnce && !head.ClosesConnection()
	switch resp.Status {
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		resp.Abort()
		return nil, dtstate.OutcomeOverloaded, nil
	case fasthttp.StatusGone:
		resp.Abort()
		return nil, dtstate.OutcomeAnswerLost, nil
	}
	return resp, dtstate.OutcomeCompleted, nil
}

// readFinalHead reads the head of a response and skips interim responses before it.
func readFinalHead(r *bufio.Reader) (*dthead.Head, error) {
	for range maxInterimResponses + 1 {
		head, err := dthead.Read(r, maxHeadBytes)
		if err != nil {
			return nil, err
		}
		if dthead.IsFinal(head.Status) {
			return head, nil
		}
		if !dthead.IsInterim(head.Status) {
			break
		}
	}
	return nil, errInvalidStatus
}

// Probe requests the status report of a backend server; the result distinguishes a refused
// connection, and a new one that was dropped, from a server that does not respond.
func (c *Client) Probe(e dtstate.Probe) dtstate.ProbeCompleted {
	ev := dtstate.ProbeCompleted{Server: e.Server, Result: dtstate.ProbeUnanswered}
	body, err := c.roundTrip(e.Address, fasthttp.MethodGet, dtapi.PathReport, nil, probeTimeout, e.NewConnection)
	if err != nil {
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			ev.Result = dtstate.ProbeRefused
		case e.NewConnection && errors.Is(err, errDropped):
			ev.Result = dtstate.ProbeDropped
		}
		return ev
	}
	var r dtapi.ServerReport
	if json.Unmarshal(body, &r) != nil {
		return ev
	}
	ev.Result = dtstate.ProbeAnswered
	ev.Report = dtstate.ServerReport{Start: r.Start, Running: r.Running, Waiting: r.Waiting, Cold: r.Cold, Model: r.Model}
	return ev
}

// Cancel notifies an engine that the response to a request is no longer needed.
func (c *Client) Cancel(e dtstate.Cancel) error {
	body, err := json.Marshal(dtapi.StreamRequest{RequestID: string(e.Request)})
	if err != nil {
		return err
	}
	_, err = c.roundTrip(e.Address, fasthttp.MethodPost, dtapi.PathEngineCancel, body, commandTimeout, false)
	return err
}

// LoadModel asks an engine to serve a model; it fails once SendBefore has passed, when the
// leader's lease may have expired.
func (c *Client) LoadModel(e dtstate.LoadModel, now time.Time) error {
	if now.After(e.SendBefore) {
		return wrapError(errSendDeadline, "order", e.Address)
	}
	body, err := json.Marshal(dtapi.LoadModelRequest{Model: e.Model, FencingNumber: e.FencingNumber})
	if err != nil {
		return err
	}
	_, err = c.roundTrip(e.Address, fasthttp.MethodPost, dtapi.PathEngineLoadModel, body, commandTimeout, true)
	return err
}

// roundTrip sends a short request and returns the body of the response.
func (c *Client) roundTrip(address, method, path string, body []byte, timeout time.Duration, newConn bool) ([]byte, error) {
	cn, err := c.connect(context.Background(), &Request{Address: address, AtMostOnce: newConn})
	if err != nil {
		return nil, wrapError(err, "dial", address)
	}
	httpReq := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(httpReq)
	id := "c" + strconv.FormatUint(c.commandCount.Add(1), 10)
	httpReq.Header.SetMethod(method)
	httpReq.Header.Set(dtapi.HeaderRequestID, id)
	httpReq.SetRequestURI("http://" + address + path)
	httpReq.SetBodyRaw(body)
	if err := cn.writeRequest(httpReq); err != nil {
		_ = cn.Close()
		return nil, wrapError(asDropped(err), "send", address)
	}
	_ = cn.SetReadDeadline(time.Now().Add(timeout))
	if _, err := cn.reader.Peek(1); err != nil {
		_ = cn.Close()
		return nil, wrapError(asDropped(err), "read", address)
	}
	resp, responseBody, err := c.readShortResponse(address, cn)
	if err != nil {
		_ = cn.Close()
		return nil, wrapError(err, "read", address)
	}
	c.meter.CountControlMessage("probe", "out", len(path)+len(body)+len(httpReq.Header.Header()))
	c.meter.CountControlMessage("probe", "in", len(responseBody)+resp.head.Size)
	responseID := resp.head.Header.Get(dtapi.HeaderRequestID)
	resp.reusable = responseID == id && !resp.head.ClosesConnection()
	resp.Release()
	switch {
	case responseID != "" && responseID != id:
		return nil, wrapError(errOtherRequest, "read", address)
	case resp.Status != fasthttp.StatusOK:
		return nil, merry.Wrap(wrapError(errStatus, "read", address), merry.AppendMessagef("status %d", resp.Status))
	}
	return responseBody, nil
}

// readShortResponse reads a response to a probe or command with its body.
func (c *Client) readShortResponse(address string, cn *serverConn) (*Response, []byte, error) {
	head, err := readFinalHead(cn.reader)
	if err != nil {
		return nil, nil, err
	}
	resp := newResponse(c, address, cn, head)
	body, err := resp.readAll(maxReportBytes, func(int64) bool { return true })
	return resp, body, err
}

// wrapError adds the failed step and the server's address to an error.
func wrapError(err error, step, address string) error {
	return merry.Wrap(err, merry.WithValue("step", "server_"+step), merry.WithValue("peer", address))
}

// ResumeBody returns the body of a request to resume a stream at a token offset.
func ResumeBody(id dtstate.RequestID, offset uint32) []byte {
	return []byte(`{"request_id":` + strconv.Quote(string(id)) + `,"offset":` + strconv.FormatUint(uint64(offset), 10) + `}`)
}

// asDropped returns errDropped with err unless that is a timeout.
func asDropped(err error) error {
	if isTimeout(err) {
		return err
	}
	return fmt.Errorf("%w (%w)", errDropped, err)
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
