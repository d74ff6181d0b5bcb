package dttunnel

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
	"github.com/dottereltack/dottereltack/dottereltack/dtmesh"
)

// replyMargin is how much longer a reply is waited for than a router has to connect.
const replyMargin = 100 * time.Millisecond

// Dialer connects to servers by way of other routers.
type Dialer struct {
	From         string // Name of this router.
	ReceiveBytes int64  // Size of the receive buffer of a tunnel; zero for that of the system.
}

// Target is the server to connect to.
type Target struct {
	Server dtdispatch.ServerID
	Start  int64 // Of its incarnation, in Unix milliseconds.
}

// OpenError reports why no tunnel was opened. Nothing has been sent to the server.
type OpenError struct {
	Via       string   // Router that has not been able to connect to the server, or "".
	Refused   bool     // The server's host has refused that router's connection.
	FailedVia []string // Routers that have not opened a tunnel for another reason than the server.
	Detail    string
}

// Error implements error.
func (e *OpenError) Error() string { return "no tunnel: " + e.Detail }

// Dial asks the routers of via in turn, and gives each timeout to connect, until one has connected to the server or reports that
// it can't. It returns the names of the routers that have failed before, and else an *OpenError.
func (d *Dialer) Dial(ctx context.Context, via []dtdispatch.Via, target Target, timeout time.Duration) (*Conn, []string, error) {
	result := &OpenError{Detail: "no router to ask"}
	for i := range via {
		c, answer, err := d.ask(ctx, via[i], target, timeout)
		switch {
		case err != nil:
			result.Detail = via[i].Router + ": " + err.Error()
		case answer.Result == ResultOpened:
			return c, result.FailedVia, nil
		case answer.Result == ResultUnreachable || answer.Result == ResultNoListener:
			result.Via, result.Refused = via[i].Router, answer.Result == ResultNoListener
			result.Detail = fmt.Sprintf("%s: %s: %s", via[i].Router, answer.Result, answer.Detail)
			return nil, nil, result
		default:
			result.Detail = fmt.Sprintf("%s: %s: %s", via[i].Router, answer.Result, answer.Detail)
		}
		if ctx.Err() != nil { // Says nothing of the router.
			break
		}
		result.FailedVia = append(result.FailedVia, via[i].Router)
	}
	return nil, nil, result
}

// ask asks one router for a tunnel and waits for its reply.
func (d *Dialer) ask(ctx context.Context, via dtdispatch.Via, target Target, timeout time.Duration) (*Conn, reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout+replyMargin)
	defer cancel()
	request := &dtmesh.TunnelRequest{From: d.From, Server: target.Server, Start: target.Start, Timeout: timeout}
	c, err := dtmesh.RequestTunnel(ctx, via.Address, d.ReceiveBytes, request)
	if err != nil {
		return nil, reply{}, err
	}
	r := bufio.NewReaderSize(c, readBufferBytes)
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	answer, err := readReply(r)
	switch {
	case !stop():
		err = errors.Join(ctx.Err(), err)
	case err == nil && answer.Result == ResultOpened:
		return newConn(c, r, via.Router), answer, nil
	}
	_ = c.Close()
	return nil, answer, err
}

// Via returns the name of the router by way of which c is connected, or "" for a direct connection.
func Via(c net.Conn) string {
	if tunnel, ok := c.(*Conn); ok {
		return tunnel.Via
	}
	return ""
}
