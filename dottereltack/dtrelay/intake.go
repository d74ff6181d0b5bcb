package dtrelay

import (
	"net"
	"net/http"
	"time"

	"github.com/dottereltack/dottereltack/core/dtintake"
)

// Answers to callers for whom there is no room.
const (
	noRoomRetryAfter   = time.Second
	noRoomDiscardTime  = 2 * time.Second       // For the rest of a refused body, which is dropped as it arrives.
	refuseWriteTimeout = 50 * time.Millisecond // Of a few bytes on a new connection, which has an empty buffer.
)

// reject responds to a request that can't be read, h being its head if it has one, and ends the connection. A request for
// which there is no room has not been sent to a server.
func (r *Relay) reject(c *callerConn, h *RequestHead, status int) {
	if status != statusOverloaded || h == nil {
		c.reject(status, nil)
		return
	}
	now := time.Now()
	c.holder.SetStage(dtintake.StageIdle, now) // What has arrived of the body is dropped.
	c.holder.SetStage(dtintake.StageBody, now)
	c.reject(status, r.dialect.RefusalFields(r.dialect.ParseRequest(h).ID, noRoomRetryAfter))
	c.holder.Discard(c.Conn, noRoomDiscardTime, r.limits.Load().MaxBodyBytes) // A caller within the limits is to read the refusal.
}

// refuseConn refuses a connection for which there is no place, without reading from it.
func (r *Relay) refuseConn(c net.Conn) {
	caller := &callerConn{Conn: c}
	caller.startHead(http.StatusServiceUnavailable, r.dialect.RefusalFields("", noRoomRetryAfter))
	caller.addField("Connection", "close")
	caller.addField("Content-Length", "0")
	caller.out.WriteString("\r\n")
	_ = c.SetWriteDeadline(time.Now().Add(refuseWriteTimeout))
	_, _ = c.Write(caller.out.Bytes())
	_ = c.Close()
}
