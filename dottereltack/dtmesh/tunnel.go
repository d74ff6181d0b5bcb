package dtmesh

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
	"github.com/dottereltack/dottereltack/core/dtwire"
	"github.com/dottereltack/dottereltack/dottereltack/dtsocket"
)

// Timeouts of a connection that becomes a tunnel, at the router that asks for it.
const (
	tunnelDialTimeout       = 150 * time.Millisecond  // A router that is itself out of reach leaves time for the next one.
	tunnelUnackedTimeout    = 2500 * time.Millisecond // As of direct connections to servers.
	tunnelKeepAliveInterval = time.Second
	tunnelKeepAliveProbes   = 3
)

// TunnelRequest asks a router to connect the sender to a server. The sender sends nothing more on the connection before
// the reply.
type TunnelRequest struct {
	From    string              `msgpack:"f"` // Name of the sender.
	Server  dtdispatch.ServerID `msgpack:"s"`
	Start   int64               `msgpack:"b"` // Of the incarnation that the sender has listed, in Unix milliseconds.
	Timeout time.Duration       `msgpack:"t"` // How long the sender waits for the reply.
}

// tunnelServer replies to a request for a tunnel and serves the tunnel until it has ended or ctx is done.
type tunnelServer interface {
	ServeTunnel(ctx context.Context, c net.Conn, r *TunnelRequest)
}

// RequestTunnel connects to the mesh of another router and asks for a tunnel; the reply is the next thing to read. The
// connection has a receive buffer of receiveBytes, or that of the system if it is zero.
func RequestTunnel(ctx context.Context, address string, receiveBytes int64, r *TunnelRequest) (net.Conn, error) {
	d := net.Dialer{Timeout: tunnelDialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: tunnelKeepAliveInterval, Interval: tunnelKeepAliveInterval, Count: tunnelKeepAliveProbes,
	}}
	if receiveBytes > 0 {
		d = dtsocket.WithReceiveBuffer(d, receiveBytes)
	}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := sendTunnelRequest(c, r); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

func sendTunnelRequest(c net.Conn, r *TunnelRequest) error {
	if err := dtsocket.SetUserTimeout(c, tunnelUnackedTimeout); err != nil {
		return err
	}
	body, err := msgpack.Marshal(&envelope{TunnelRequest: r})
	if err != nil {
		return err
	}
	_ = c.SetWriteDeadline(time.Now().Add(r.Timeout))
	w := bufio.NewWriter(c)
	if err := dtwire.WriteFrame(w, body); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return c.SetWriteDeadline(time.Time{})
}

// serveTunnel hands a connection over to the tunnel server, unless more than the request has arrived on it.
func (m *Mesh) serveTunnel(c net.Conn, r *bufio.Reader, request *TunnelRequest) {
	if m.tunnels == nil || r.Buffered() > 0 {
		return
	}
	_ = c.SetReadDeadline(time.Time{})
	m.tunnels.ServeTunnel(m.ctx, c, request)
}
