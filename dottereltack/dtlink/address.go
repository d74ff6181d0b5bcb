package dtlink

import (
	"net"
	"net/netip"
)

// LocalAddr returns the local address for outbound connections of a host that listens on
// address, so that peers see the host's own IP address; it is nil, which leaves the choice to
// the system, if address has no specific IP address.
func LocalAddr(address string) net.Addr {
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Addr().IsUnspecified() {
		return nil
	}
	return &net.TCPAddr{IP: a.Addr().AsSlice()}
}
