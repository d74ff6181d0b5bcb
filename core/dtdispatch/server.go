package dtdispatch

import (
	"fmt"
	"net/netip"
	"time"
)

// ServerID identifies a backend server; entries with the same ID and different start times are
// different incarnations of it.
type ServerID string

// Server is a backend server as listed in the store.
type Server struct {
	_msgpack      struct{} `msgpack:",as_array"` //nolint:unused // Encoded without field names because lists are long.
	ID            ServerID
	Service       string
	Address       string
	Domain        string
	Slots         int
	Draining      bool
	Start         int64         // Start time of the server in Unix milliseconds; zero if unknown.
	Seq           int64         // Sequence number of the entry within the incarnation.
	ColdFor       time.Duration // Remaining cold period when listed; a cold server has started recently and handles only Service.ColdRate requests per second.
	Version       string        // Version of the server's software; empty if it names none.
	LacksVersion  bool          `msgpack:"-"` // Version is unknown: a peer has listed the server whose build knows no versions.
	ColdUntil     time.Time     `msgpack:"-"` // Derived from ColdFor, which is what peers get, because the clocks of hosts differ.
	FirstListedAt time.Time     `msgpack:"-"` // Time when this router first listed the server; zero for a server of its first list that was not cold.
	UnlistedUntil time.Time     `msgpack:"-"` // Time as of which the list was last known not to have this incarnation; zero for servers of the first list.
	UpSince       time.Time     `msgpack:"-"` // Connections that were opened since lead to this incarnation.
	IDHash        uint64        `msgpack:"-"`
}

// ServerRef is a 32-bit hash of a ServerID, which replaces the longer ID in messages that are
// sent several times a second.
type ServerRef uint32

// Ref returns the short reference of the server.
func (s *Server) Ref() ServerRef { return ServerRef(s.IDHash) }

// hash returns a hash of the properties that placement depends on.
func (s *Server) hash() uint64 { return s.hashAs(s.placeName() + " " + s.Version) }

// hashWithoutVersion returns the hash as builds that know no versions have it.
func (s *Server) hashWithoutVersion() uint64 { return s.hashAs(s.placeName()) }

// placeName returns what tells a server from others.
func (s *Server) placeName() string {
	return string(s.ID) + " " + s.Address + " " + s.Service + " " + s.Domain
}

// hashAs returns the hash of a server with a text that tells it from others.
func (s *Server) hashAs(name string) uint64 {
	flags := uint64(s.Start)
	if s.Draining {
		flags++
	}
	if s.ColdFor > 0 {
		flags += 2
	}
	return Mix(HashString(name), flags)
}

// forPeer returns a copy for a peer in which ColdFor is relative to now.
func (s *Server) forPeer(now time.Time) Server {
	c := *s
	c.ColdFor = max(s.ColdUntil.Sub(now), 0)
	return c
}

// Limits of the entries that others write.
const (
	maxNameBytes  = 200
	maxSlots      = 1 << 16
	maxColdPeriod = time.Hour
	maxCores      = 1 << 10
)

// InvalidEntryError is returned for an entry that does not describe a server or a router.
type InvalidEntryError struct{ Field string }

// Error implements error.
func (e *InvalidEntryError) Error() string { return fmt.Sprintf("invalid %s in entry", e.Field) }

// Validate returns an InvalidEntryError for the first field that no server can have; other programs
// may write among the servers' entries.
func (s *Server) Validate() error {
	switch {
	case !isName(string(s.ID)):
		return &InvalidEntryError{Field: "server ID"}
	case !isName(s.Service):
		return &InvalidEntryError{Field: "service"}
	case !isName(s.Domain):
		return &InvalidEntryError{Field: "failure domain"}
	case !isHostAddress(s.Address):
		return &InvalidEntryError{Field: "address"}
	case s.Slots < 1 || s.Slots > maxSlots:
		return &InvalidEntryError{Field: "slots"}
	case s.ColdFor < 0 || s.ColdFor > maxColdPeriod:
		return &InvalidEntryError{Field: "cold period"}
	case s.Version != "" && !isName(s.Version):
		return &InvalidEntryError{Field: "software version"}
	case s.Start < 0:
		return &InvalidEntryError{Field: "start time"}
	}
	return nil
}

// isName reports whether a name can be part of a key and of a header field: printable ASCII without
// spaces and slashes.
func isName(name string) bool {
	for i := range len(name) {
		if c := name[i]; c <= ' ' || c >= 0x7f || c == '/' {
			return false
		}
	}
	return name != "" && len(name) <= maxNameBytes
}

// isHostAddress reports whether an address is the IP address and port of one host.
func isHostAddress(address string) bool {
	if len(address) > maxNameBytes {
		return false
	}
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Port() != 0 && !parsed.Addr().IsUnspecified() && !parsed.Addr().IsMulticast()
}
