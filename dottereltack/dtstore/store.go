package dtstore

import (
	"encoding/json"
	"errors"
	"net"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"

	"github.com/dottereltack/dottereltack/core/dtapi"
	"github.com/dottereltack/dottereltack/core/dtstate"
	"github.com/dottereltack/dottereltack/dottereltack/dthead"
	"github.com/dottereltack/dottereltack/dottereltack/dtlink"
)

// Timeouts and the connection limit of calls to the platform. A watch is a long poll and
// has a longer timeout.
const (
	callTimeout  = 1500 * time.Millisecond
	watchTimeout = 25 * time.Second
	maxConns     = 64
)

// errRejected is returned when the platform responds to a call with an error status.
var errRejected = errors.New("the platform rejected the call")

// meter counts calls and their bytes.
type meter interface {
	CountPlatformCall(call, outcome string)
	CountControlMessage(kind, direction string, bytes int)
}

// Client is an HTTP client of the platform that never retries a call.
type Client struct {
	http   *fasthttp.HostClient
	meter  meter
	dialer net.Dialer
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// New returns a client for the platform at address; its connections originate from the IP
// address in localAddress, if that has a specific one.
func New(address, localAddress string, m meter) *Client {
	c := &Client{meter: m, conns: map[net.Conn]struct{}{}}
	c.dialer = net.Dialer{Timeout: callTimeout, LocalAddr: dtlink.LocalAddr(localAddress)}
	c.http = &fasthttp.HostClient{
		Addr:                          address,
		Dial:                          c.dial,
		MaxConns:                      maxConns,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    neverRetry,
		MaxIdleConnDuration:           5 * time.Second,
		DisableHeaderNamesNormalizing: true,
	}
	return c
}

// dial opens a connection and tracks it, so that Close can close it.
func (c *Client) dial(address string) (net.Conn, error) {
	conn, err := c.dialer.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	tracked := &trackedConn{Conn: dthead.NewConn(conn), client: c}
	c.conns[tracked] = struct{}{}
	return tracked, nil
}

// trackedConn is a connection that removes itself from its client's set of open
// connections when it is closed.
type trackedConn struct {
	net.Conn
	client *Client
}

// Close implements net.Conn.
func (t *trackedConn) Close() error {
	t.client.mu.Lock()
	delete(t.client.conns, t)
	t.client.mu.Unlock()
	return t.Conn.Close()
}

// Close closes all connections, which makes the calls in progress fail.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	open := make([]net.Conn, 0, len(c.conns))
	for conn := range c.conns {
		open = append(open, conn)
	}
	c.mu.Unlock()
	for _, conn := range open {
		_ = conn.Close()
	}
}

// neverRetry disables fasthttp's own retries.
func neverRetry(*fasthttp.Request, int, error) (bool, bool) { return false, false }

// Call makes one call and returns its result as an event for the reducer; the error is non-nil
// only if the event's status is PlatformOutcomeUnknown.
func (c *Client) Call(e dtstate.PlatformCall) (dtstate.PlatformCallCompleted, error) {
	ev := dtstate.PlatformCallCompleted{CallID: e.CallID, Status: dtstate.PlatformOutcomeUnknown}
	var err error
	switch e.Op {
	case dtstate.PlatformGet:
		err = c.get(dtapi.PathKey+"?key="+url.QueryEscape(e.Key), callTimeout, &ev)
	case dtstate.PlatformWatch:
		revision := "&revision=" + strconv.FormatUint(e.Revision, 10)
		err = c.get(dtapi.PathWatch+"?key="+url.QueryEscape(e.Key)+revision, watchTimeout, &ev)
	case dtstate.PlatformPut:
		err = c.put(e, &ev)
	case dtstate.PlatformListHosts:
		err = c.listHosts(&ev)
	}
	c.count(e.Op, ev.Status)
	return ev, err
}

func (c *Client) count(op dtstate.PlatformOp, status dtstate.PlatformStatus) {
	calls := [...]string{"get", "put", "watch", "hosts"}
	outcomes := [...]string{"ok", "conflict", "lost"}
	c.meter.CountPlatformCall(calls[op], outcomes[status])
}

// get reads one key into ev; uri selects it.
func (c *Client) get(uri string, timeout time.Duration, ev *dtstate.PlatformCallCompleted) error {
	var kv dtapi.KeyValue
	if _, err := c.do(fasthttp.MethodGet, uri, nil, timeout, &kv); err != nil {
		return err
	}
	return decodeValue(&kv, ev)
}

func decodeValue(kv *dtapi.KeyValue, ev *dtstate.PlatformCallCompleted) error {
	ev.Revision = kv.Revision
	if len(kv.Value) > 0 {
		if err := json.Unmarshal(kv.Value, &ev.Value); err != nil {
			return merry.Wrap(err, merry.WithValue("step", "decode_value"), merry.WithValue("peer", kv.Key))
		}
	}
	ev.Status = dtstate.PlatformOK
	return nil
}

// put writes a key if its revision is still e.Revision.
func (c *Client) put(e dtstate.PlatformCall, ev *dtstate.PlatformCallCompleted) error {
	value, err := json.Marshal(&e.Value)
	if err != nil {
		return err
	}
	req := dtapi.PutRequest{Key: e.Key, Revision: e.Revision, Value: value, TTLMs: e.TTL.Milliseconds()}
	body, err := json.Marshal(&req)
	if err != nil {
		return err
	}
	var kv dtapi.KeyValue
	status, err := c.do(fasthttp.MethodPut, dtapi.PathKey, body, callTimeout, &kv)
	if err != nil {
		return err
	}
	if err := decodeValue(&kv, ev); err != nil {
		return err
	}
	if status == fasthttp.StatusConflict {
		ev.Status = dtstate.PlatformConflict
	}
	return nil
}

// listHosts reads the list of hosts, which may lag behind changes.
func (c *Client) listHosts(ev *dtstate.PlatformCallCompleted) error {
	var list []dtapi.HostEntry
	if _, err := c.do(fasthttp.MethodGet, dtapi.PathHosts, nil, callTimeout, &list); err != nil {
		return err
	}
	for _, h := range list {
		ev.Hosts = append(ev.Hosts, dtstate.Host{
			ID: h.ID, Kind: h.Kind, Address: h.Address, Domain: dtstate.FailureDomain(h.FailureDomain),
			Region: dtstate.Region(h.Region), Group: h.Group, Draining: h.Draining, Gone: h.Gone, Revision: h.Revision,
		})
	}
	ev.Status = dtstate.PlatformOK
	return nil
}

// List returns all keys with a prefix; only operator commands use it.
func (c *Client) List(prefix string) ([]dtapi.KeyValue, error) {
	var list []dtapi.KeyValue
	_, err := c.do(fasthttp.MethodGet, dtapi.PathList+"?key="+url.QueryEscape(prefix), nil, callTimeout, &list)
	return list, err
}

// do makes one HTTP request and decodes the response into out.
func (c *Client) do(method, uri string, body []byte, timeout time.Duration, out any) (int, error) {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.http.Addr + uri)
	req.SetBody(body)
	if err := c.http.DoTimeout(req, resp, timeout); err != nil {
		return 0, c.wrapError(err, method)
	}
	c.meter.CountControlMessage("platform", "out", len(uri)+len(body))
	c.meter.CountControlMessage("platform", "in", len(resp.Body()))
	status := resp.StatusCode()
	if status != fasthttp.StatusOK && status != fasthttp.StatusConflict {
		return status, c.wrapError(errRejected, method)
	}
	return status, c.wrapError(json.Unmarshal(resp.Body(), out), method)
}

// wrapError adds the call's step and the platform's address to an error, if there is one.
func (c *Client) wrapError(err error, method string) error {
	if err == nil {
		return nil
	}
	return merry.Wrap(err, merry.WithValue("step", "platform_"+method), merry.WithValue("peer", c.http.Addr))
}
