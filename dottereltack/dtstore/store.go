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
	"github.com/dottereltack/dottereltack/dottereltack/dtlink"
)

// Times of platform calls.
const (
	callWithin  = 1500 * time.Millisecond
	watchWithin = 25 * time.Second
	maxConns    = 64
)

// errRefused says that the platform did not carry out a call.
var errRefused = errors.New("platform refused the call")

// meter counts the calls and their bytes.
type meter interface {
	Platform(call, end string)
	Control(kind, direction string, bytes int)
}

// Client calls the platform.
type Client struct {
	web    *fasthttp.HostClient
	meter  meter
	dialer net.Dialer
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// New returns a client for the platform at address; its connections come from the IP
// number of the host's own address.
func New(address, own string, m meter) *Client {
	c := &Client{meter: m, conns: map[net.Conn]struct{}{}}
	c.dialer = net.Dialer{Timeout: callWithin, LocalAddr: dtlink.LocalAddr(own)}
	c.web = &fasthttp.HostClient{
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

// dial opens a connection that Close can end.
func (c *Client) dial(address string) (net.Conn, error) {
	cn, err := c.dialer.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = cn.Close()
		return nil, net.ErrClosed
	}
	held := &heldConn{Conn: cn, client: c}
	c.conns[held] = struct{}{}
	return held, nil
}

// heldConn leaves the client's list when it is closed.
type heldConn struct {
	net.Conn
	client *Client
}

// Close implements net.Conn.
func (h *heldConn) Close() error {
	h.client.mu.Lock()
	delete(h.client.conns, h)
	h.client.mu.Unlock()
	return h.Conn.Close()
}

// Close ends every call that is under way.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	open := make([]net.Conn, 0, len(c.conns))
	for cn := range c.conns {
		open = append(open, cn)
	}
	c.mu.Unlock()
	for _, cn := range open {
		_ = cn.Close()
	}
}

// neverRetry turns off the library's own repetition of calls.
func neverRetry(*fasthttp.Request, int, error) (bool, bool) { return false, false }

// Call performs one call and returns the event that answers it; err says why a call
// was lost.
func (c *Client) Call(e dtstate.PlatformCall) (dtstate.PlatformAnswered, error) {
	ev := dtstate.PlatformAnswered{Call: e.Call, Status: dtstate.PlatformOutcomeUnknown}
	var err error
	switch e.Op {
	case dtstate.PlatformGet:
		err = c.get(dtapi.PathKeys+"?key="+url.QueryEscape(e.Key), callWithin, &ev)
	case dtstate.PlatformWatch:
		at := "&revision=" + strconv.FormatUint(e.Rev, 10)
		err = c.get(dtapi.PathWatch+"?key="+url.QueryEscape(e.Key)+at, watchWithin, &ev)
	case dtstate.PlatformPut:
		err = c.put(e, &ev)
	case dtstate.PlatformHosts:
		err = c.hosts(&ev)
	}
	c.count(e.Op, ev.Status)
	return ev, err
}

func (c *Client) count(op dtstate.PlatformOp, status dtstate.PlatformStatus) {
	names := [...]string{"get", "put", "watch", "hosts"}
	ends := [...]string{"ok", "conflict", "lost"}
	c.meter.Platform(names[op], ends[status])
}

// get reads a key into ev.
func (c *Client) get(uri string, within time.Duration, ev *dtstate.PlatformAnswered) error {
	var kv dtapi.KeyValue
	if _, err := c.do(fasthttp.MethodGet, uri, nil, within, &kv); err != nil {
		return err
	}
	return take(&kv, ev)
}

// take turns a key's value into the typed value of an event.
func take(kv *dtapi.KeyValue, ev *dtstate.PlatformAnswered) error {
	ev.Rev = kv.Revision
	if len(kv.Value) > 0 {
		if err := json.Unmarshal(kv.Value, &ev.Value); err != nil {
			return merry.Wrap(err, merry.WithValue("step", "decode_value"), merry.WithValue("peer", kv.Key))
		}
	}
	ev.Status = dtstate.PlatformOK
	return nil
}

// put writes a key if its revision is still the expected one.
func (c *Client) put(e dtstate.PlatformCall, ev *dtstate.PlatformAnswered) error {
	value, err := json.Marshal(&e.Value)
	if err != nil {
		return err
	}
	req := dtapi.PutRequest{Key: e.Key, Revision: e.Rev, Value: value, TTLMs: e.TTL.Milliseconds()}
	body, err := json.Marshal(&req)
	if err != nil {
		return err
	}
	var kv dtapi.KeyValue
	status, err := c.do(fasthttp.MethodPut, dtapi.PathKeys, body, callWithin, &kv)
	if err != nil {
		return err
	}
	if err := take(&kv, ev); err != nil {
		return err
	}
	if status == fasthttp.StatusConflict {
		ev.Status = dtstate.PlatformConflict
	}
	return nil
}

// hosts reads the lagging list of hosts.
func (c *Client) hosts(ev *dtstate.PlatformAnswered) error {
	var list []dtapi.HostEntry
	if _, err := c.do(fasthttp.MethodGet, dtapi.PathHosts, nil, callWithin, &list); err != nil {
		return err
	}
	for _, h := range list {
		ev.Hosts = append(ev.Hosts, dtstate.Host{
			ID: h.ID, Kind: h.Kind, Address: h.Address, Domain: dtstate.FailureDomain(h.FailureDomain),
			Region: dtstate.Region(h.Region), Group: h.Group, Leaving: h.Leaving, Gone: h.Gone, Rev: h.Revision,
		})
	}
	ev.Status = dtstate.PlatformOK
	return nil
}

// List returns the keys under a prefix, for operators.
func (c *Client) List(prefix string) ([]dtapi.KeyValue, error) {
	var list []dtapi.KeyValue
	_, err := c.do(fasthttp.MethodGet, dtapi.PathList+"?key="+url.QueryEscape(prefix), nil, callWithin, &list)
	return list, err
}

// do makes one HTTP call and decodes its answer; it is made once only.
func (c *Client) do(method, uri string, body []byte, within time.Duration, out any) (int, error) {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.web.Addr + uri)
	req.SetBody(body)
	if err := c.web.DoTimeout(req, resp, within); err != nil {
		return 0, c.wrap(err, method)
	}
	c.meter.Control("platform", "out", len(uri)+len(body))
	c.meter.Control("platform", "in", len(resp.Body()))
	status := resp.StatusCode()
	if status != fasthttp.StatusOK && status != fasthttp.StatusConflict {
		return status, c.wrap(errRefused, method)
	}
	return status, c.wrap(json.Unmarshal(resp.Body(), out), method)
}

func (c *Client) wrap(err error, step string) error {
	if err == nil {
		return nil
	}
	return merry.Wrap(err, merry.WithValue("step", "platform_"+step), merry.WithValue("peer", c.web.Addr))
}
