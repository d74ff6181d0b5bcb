package dtmesh

import (
	"bytes"
	"cmp"
	"net"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// unknownKind is the kind of messages that this build does not know, and of frames that hold no message.
const unknownKind = "unknown"

// meter counts what was received and could not be read.
type meter interface {
	CountUnreadableMessage(kind string)
}

// WithMeter has the mesh count the messages that it can't read with mt.
func WithMeter(mt meter) Option { return func(m *Mesh) { m.meter = mt } }

// reportUnreadable counts a message of a peer that could not be read, and posts it as an event.
func (m *Mesh) reportUnreadable(ev dtdispatch.PeerMessageUnreadable) {
	if m.meter != nil {
		m.meter.CountUnreadableMessage(ev.Kind)
	}
	m.events.Post(ev)
}

// inspect returns the kind of message in a frame body that can't be decoded, and whether the body is one map with names as its
// keys, so that the next frame can be read.
func inspect(body []byte) (kind string, isIntact bool) {
	r := bytes.NewReader(body)
	d := msgpack.NewDecoder(r)
	n, err := d.DecodeMapLen()
	if err != nil {
		return unknownKind, false
	}
	for range n {
		key, err := d.DecodeString()
		if err != nil {
			return cmp.Or(kind, unknownKind), false
		}
		kind = cmp.Or(kind, kindName(key))
		if d.Skip() != nil {
			return cmp.Or(kind, unknownKind), false
		}
	}
	return cmp.Or(kind, unknownKind), r.Len() == 0
}

// kindName returns the kind of message that is sent under a key of the envelope, or "".
func kindName(key string) string {
	switch key {
	case "d":
		return "status"
	case "q":
		return "sync_request"
	case "s":
		return "config_reply"
	case "r":
		return "server_list"
	case "c":
		return "server_list_change"
	case "l":
		return "router_loads"
	case "dl":
		return "domain_loads"
	case "fl":
		return "fleet_loads"
	case "sn":
		return "version_news"
	case "nn":
		return "notice_news"
	case "tr":
		return "tunnel_request"
	}
	return ""
}

// senderOf returns the name of the router that has sent a message if the message names it.
func senderOf(message dtdispatch.PeerMessage) string {
	switch message := message.(type) {
	case *dtdispatch.PeerStatus:
		return message.From
	case *dtdispatch.SyncRequest:
		return message.From
	case *dtdispatch.RouterLoads:
		return message.From
	case *dtdispatch.FleetLoadSummary:
		return message.From
	}
	return ""
}

// hostOf returns the IP address of the other end of a connection.
func hostOf(c net.Conn) string {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return c.RemoteAddr().String()
	}
	return host
}
