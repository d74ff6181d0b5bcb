package dtsocket

import (
	"net"
	"time"
)

// Keep-alive of connections to backend servers.
const (
	serverKeepAliveInterval = time.Second // Idle time before, and interval between, probes.
	serverKeepAliveProbes   = 3
)

// ServerDialer returns the dialer of connections to backend servers.
func ServerDialer() net.Dialer {
	return net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: serverKeepAliveInterval, Interval: serverKeepAliveInterval, Count: serverKeepAliveProbes,
	}}
}
