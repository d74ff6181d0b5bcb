package dttunnel

import (
	"bufio"
	"net"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/dottereltack/dottereltack/core/dtwire"
)

// Result is how a request for a tunnel ended.
type Result uint8

// Results of a request for a tunnel.
const (
	ResultOpened      Result = iota
	ResultRefused            // The router has not tried to connect to the server, or could not for reasons of its own.
	ResultUnreachable        // The router has got no connection to the server in time.
	ResultNoListener         // The server's host has refused the connection.
)

// String returns the name of the result in logs and metrics.
func (r Result) String() string {
	if r > ResultNoListener {
		return "unknown"
	}
	return [...]string{"opened", "refused", "unreachable", "no_listener"}[r]
}

// reply answers a request for a tunnel.
type reply struct {
	Result Result `msgpack:"r"`
	Detail string `msgpack:"d,omitempty"`
}

// writeReply sends a reply as one frame.
func writeReply(c net.Conn, r reply) error {
	body, err := msgpack.Marshal(&r)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(c)
	if err := dtwire.WriteFrame(w, body); err != nil {
		return err
	}
	return w.Flush()
}

// readReply reads a reply.
func readReply(r *bufio.Reader) (reply, error) {
	answer := reply{}
	body, err := dtwire.ReadFrame(r)
	if err != nil {
		return answer, err
	}
	return answer, msgpack.Unmarshal(body, &answer)
}
