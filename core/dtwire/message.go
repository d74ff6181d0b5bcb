package dtwire

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/dottereltack/dottereltack/core/dtstate"
)

// Kind identifies the type of a message; it is the first byte of the frame body.
type Kind uint8

// Kinds of messages. The values are part of the protocol, so new kinds are added at
// the end.
const (
	kindHeartbeat Kind = iota + 1
	kindGossip
	kindNewsSummary
	kindNewsIndex
	kindPingRequest
	kindPingAnswer
	kindLoads
	kindAsk
	kindQueued
	kindGrant
	kindDecline
	kindStarted
	kindEnded
	kindVerdict
	kindRenew
	kindClaim
	kindClaimed
	kindRefusalCopy
	kindRefusalStored
	kindGreeting
	kindModelSeen
)

// Errors of Encode and Decode.
var (
	ErrUnknownKind   = errors.New("unknown message kind")
	ErrTrailingBytes = errors.New("trailing bytes after the message")
	ErrMalformed     = errors.New("malformed message")
)

// kindOf returns the kind of a message, or zero if it has none.
func kindOf(m dtstate.Message) Kind {
	switch m.(type) {
	case *dtstate.Heartbeat:
		return kindHeartbeat
	case *dtstate.Gossip:
		return kindGossip
	case *dtstate.GossipSummary:
		return kindNewsSummary
	case *dtstate.GossipIndex:
		return kindNewsIndex
	case *dtstate.PingRequest:
		return kindPingRequest
	case *dtstate.PingAck:
		return kindPingAnswer
	case *dtstate.Loads:
		return kindLoads
	case *dtstate.SlotRequest:
		return kindAsk
	case *dtstate.SlotQueued:
		return kindQueued
	case *dtstate.SlotGrant:
		return kindGrant
	}
	return kindOfOther(m)
}

// kindOfOther handles the types that kindOf leaves over; the switch is split to keep each
// function short.
func kindOfOther(m dtstate.Message) Kind {
	switch m.(type) {
	case *dtstate.SlotDenial:
		return kindDecline
	case *dtstate.SlotStarted:
		return kindStarted
	case *dtstate.SlotReleased:
		return kindEnded
	case *dtstate.ServerVerdict:
		return kindVerdict
	case *dtstate.SlotRenewal:
		return kindRenew
	case *dtstate.ClaimRequest:
		return kindClaim
	case *dtstate.ClaimReply:
		return kindClaimed
	case *dtstate.RefusalReplica:
		return kindRefusalCopy
	case *dtstate.RefusalStored:
		return kindRefusalStored
	case *dtstate.JoinRequest:
		return kindGreeting
	case *dtstate.ModelMismatch:
		return kindModelSeen
	}
	return 0
}

// newMessage returns an empty message of the kind, or nil if the kind is unknown.
func (k Kind) newMessage() dtstate.Message {
	constructors := [...]func() dtstate.Message{
		kindHeartbeat:     func() dtstate.Message { return &dtstate.Heartbeat{} },
		kindGossip:        func() dtstate.Message { return &dtstate.Gossip{} },
		kindNewsSummary:   func() dtstate.Message { return &dtstate.GossipSummary{} },
		kindNewsIndex:     func() dtstate.Message { return &dtstate.GossipIndex{} },
		kindPingRequest:   func() dtstate.Message { return &dtstate.PingRequest{} },
		kindPingAnswer:    func() dtstate.Message { return &dtstate.PingAck{} },
		kindLoads:         func() dtstate.Message { return &dtstate.Loads{} },
		kindAsk:           func() dtstate.Message { return &dtstate.SlotRequest{} },
		kindQueued:        func() dtstate.Message { return &dtstate.SlotQueued{} },
		kindGrant:         func() dtstate.Message { return &dtstate.SlotGrant{} },
		kindDecline:       func() dtstate.Message { return &dtstate.SlotDenial{} },
		kindStarted:       func() dtstate.Message { return &dtstate.SlotStarted{} },
		kindEnded:         func() dtstate.Message { return &dtstate.SlotReleased{} },
		kindVerdict:       func() dtstate.Message { return &dtstate.ServerVerdict{} },
		kindRenew:         func() dtstate.Message { return &dtstate.SlotRenewal{} },
		kindClaim:         func() dtstate.Message { return &dtstate.ClaimRequest{} },
		kindClaimed:       func() dtstate.Message { return &dtstate.ClaimReply{} },
		kindRefusalCopy:   func() dtstate.Message { return &dtstate.RefusalReplica{} },
		kindRefusalStored: func() dtstate.Message { return &dtstate.RefusalStored{} },
		kindModelSeen:     func() dtstate.Message { return &dtstate.ModelMismatch{} },
		kindGreeting:      func() dtstate.Message { return &dtstate.JoinRequest{} },
	}
	if int(k) >= len(constructors) || constructors[k] == nil {
		return nil
	}
	return constructors[k]()
}

// Encode returns the frame body for m.
func Encode(m dtstate.Message) ([]byte, error) {
	kind := kindOf(m)
	if kind == 0 {
		return nil, ErrUnknownKind
	}
	var buf bytes.Buffer
	buf.WriteByte(byte(kind))
	enc := msgpack.NewEncoder(&buf)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(m); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// Decode returns the message in a frame body. Malformed input, also one that makes
// the msgpack decoder panic, is reported as an error.
func Decode(body []byte) (m dtstate.Message, err error) {
	if len(body) == 0 {
		return nil, ErrMalformed
	}
	m = Kind(body[0]).newMessage()
	if m == nil {
		return nil, ErrUnknownKind
	}
	defer func() {
		if p := recover(); p != nil {
			m, err = nil, fmt.Errorf("%w: %v", ErrMalformed, p)
		}
	}()
	r := bytes.NewReader(body[1:])
	if err := msgpack.NewDecoder(r).Decode(m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if r.Len() > 0 {
		return nil, ErrTrailingBytes
	}
	return m, nil
}

// MetricKind returns the kind under which the control traffic metrics count a message.
func MetricKind(m dtstate.Message) string {
	switch m := m.(type) {
	case *dtstate.Heartbeat, *dtstate.PingRequest, *dtstate.PingAck:
		return "heartbeat"
	case *dtstate.GossipSummary, *dtstate.GossipIndex, *dtstate.JoinRequest:
		return "digest"
	case *dtstate.Gossip:
		if len(m.Announcements) > 0 && m.Announcements[0].Config != nil {
			return "config"
		}
		return "digest"
	case *dtstate.Loads, *dtstate.ModelMismatch:
		return "load"
	case *dtstate.RefusalReplica, *dtstate.RefusalStored:
		return "refusal"
	case *dtstate.ClaimRequest, *dtstate.ClaimReply:
		return "order"
	}
	return "dispatch"
}
