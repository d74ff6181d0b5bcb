package dtwire

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

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
	kindGossipSummary
	kindGossipIndex
	kindPingRequest
	kindPingAck
	kindLoads
	kindSlotRequest
	kindSlotQueued
	kindSlotGrant
	kindSlotDenial
	kindSlotStarted
	kindSlotReleased
	kindServerVerdict
	kindSlotRenewal
	kindClaimRequest
	kindClaimReply
	kindRefusalReplica
	kindRefusalStored
	kindJoinRequest
	kindModelMismatch
)

// Errors returned by Encode and Decode.
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
		return kindGossipSummary
	case *dtstate.GossipIndex:
		return kindGossipIndex
	case *dtstate.PingRequest:
		return kindPingRequest
	case *dtstate.PingAck:
		return kindPingAck
	case *dtstate.Loads:
		return kindLoads
	case *dtstate.SlotRequest:
		return kindSlotRequest
	case *dtstate.SlotQueued:
		return kindSlotQueued
	case *dtstate.SlotGrant:
		return kindSlotGrant
	}
	return kindOfOther(m)
}

// kindOfOther returns the kind of the message types that kindOf does not handle. The
// switch is split to keep each function short.
func kindOfOther(m dtstate.Message) Kind {
	switch m.(type) {
	case *dtstate.SlotDenial:
		return kindSlotDenial
	case *dtstate.SlotStarted:
		return kindSlotStarted
	case *dtstate.SlotReleased:
		return kindSlotReleased
	case *dtstate.ServerVerdict:
		return kindServerVerdict
	case *dtstate.SlotRenewal:
		return kindSlotRenewal
	case *dtstate.ClaimRequest:
		return kindClaimRequest
	case *dtstate.ClaimReply:
		return kindClaimReply
	case *dtstate.RefusalReplica:
		return kindRefusalReplica
	case *dtstate.RefusalStored:
		return kindRefusalStored
	case *dtstate.JoinRequest:
		return kindJoinRequest
	case *dtstate.ModelMismatch:
		return kindModelMismatch
	}
	return 0
}

// String returns the name of the type of the kind's messages, or "unknown".
func (k Kind) String() string {
	m := k.newMessage()
	if m == nil {
		return "unknown"
	}
	return strings.TrimPrefix(fmt.Sprintf("%T", m), "*dtstate.")
}

// newMessage returns an empty message of the kind, or nil if the kind is unknown.
func (k Kind) newMessage() dtstate.Message {
	constructors := [...]func() dtstate.Message{
		kindHeartbeat:      func() dtstate.Message { return &dtstate.Heartbeat{} },
		kindGossip:         func() dtstate.Message { return &dtstate.Gossip{} },
		kindGossipSummary:  func() dtstate.Message { return &dtstate.GossipSummary{} },
		kindGossipIndex:    func() dtstate.Message { return &dtstate.GossipIndex{} },
		kindPingRequest:    func() dtstate.Message { return &dtstate.PingRequest{} },
		kindPingAck:        func() dtstate.Message { return &dtstate.PingAck{} },
		kindLoads:          func() dtstate.Message { return &dtstate.Loads{} },
		kindSlotRequest:    func() dtstate.Message { return &dtstate.SlotRequest{} },
		kindSlotQueued:     func() dtstate.Message { return &dtstate.SlotQueued{} },
		kindSlotGrant:      func() dtstate.Message { return &dtstate.SlotGrant{} },
		kindSlotDenial:     func() dtstate.Message { return &dtstate.SlotDenial{} },
		kindSlotStarted:    func() dtstate.Message { return &dtstate.SlotStarted{} },
		kindSlotReleased:   func() dtstate.Message { return &dtstate.SlotReleased{} },
		kindServerVerdict:  func() dtstate.Message { return &dtstate.ServerVerdict{} },
		kindSlotRenewal:    func() dtstate.Message { return &dtstate.SlotRenewal{} },
		kindClaimRequest:   func() dtstate.Message { return &dtstate.ClaimRequest{} },
		kindClaimReply:     func() dtstate.Message { return &dtstate.ClaimReply{} },
		kindRefusalReplica: func() dtstate.Message { return &dtstate.RefusalReplica{} },
		kindRefusalStored:  func() dtstate.Message { return &dtstate.RefusalStored{} },
		kindModelMismatch:  func() dtstate.Message { return &dtstate.ModelMismatch{} },
		kindJoinRequest:    func() dtstate.Message { return &dtstate.JoinRequest{} },
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

// Decode returns the message in a frame body, or an error for malformed input, including input
// that makes the msgpack decoder panic.
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

// TrafficClass returns the value of the kind label of the control traffic metrics for m.
func TrafficClass(m dtstate.Message) string {
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
