package dtintake

// Memory that is counted for a connection, and sizes below which a request counts as small.
const (
	ConnBytes  = 32 << 10 // Of each connection: its read buffer, the stacks of two goroutines and what describes it.
	SmallBytes = 64 << 10 // A head and body of up to this size have room that larger ones can't take.
	TinyBytes  = 20 << 10 // The same, beyond that of small ones: a head, and the first buffer of a body.
)

// What a process may hold where its settings do not name its memory.
const defaultBytes = 256 << 20

// Parts of the memory and the descriptors of a process.
const (
	runtimePercent       = 70       // Of the memory, for the Go runtime. A process with little memory has less, as the program itself takes its part.
	receivePercent       = 20       // Of the memory, for receive buffers.
	programBytes         = 16 << 20 // Of the resident set, beside what the runtime counts.
	minRuntimePercent    = 25       // Of the memory.
	percent              = 100
	budgetPart           = 2  // One in so many bytes of the runtime's part is for callers. The rest is for state and garbage.
	largeBodyEighths     = 5  // Of the budget, for connections and bodies of any size.
	smallBodyEighths     = 6  // Of the budget, for those and small bodies.
	tinyBodyEighths      = 7  // Of the budget, for those and tiny bodies. The rest is for responses.
	largeReplySixteenths = 15 // Of the budget, for all of these and large responses.
	sixteenths           = 16
	connEighths          = 4 // Of the budget, for connections that hold nothing else.
	eighths              = 8
	fileDescriptors      = 200 // Reserved for files.
	callerDescriptors    = 4   // One in so many of the rest is for callers; a request needs one more to a server.
	minConns             = 16
	maxConns             = 64 << 10
	tunnelEighths        = 2        // Of the budget, for tunnels of other routers.
	tunnelBytes          = 32 << 10 // Of each tunnel: two buffers and the stacks of two goroutines.
	tunnelDescriptors    = 16       // One in so many of the descriptors is the number of tunnels, which hold two each.
	maxTunnels           = 1000
	peerEighths          = 1        // Of the budget, for connections of other routers.
	peerBytes            = 16 << 10 // Of each of these.
	peerDescriptors      = 16       // One in so many of the descriptors.
	idleDescriptors      = 12       // One in so many of the descriptors is for idle connections to servers.
	maxPeers             = 4096
	auxConnDescriptors   = 32 // One in so many of the descriptors may be used by callers of the readiness or the metrics port.
	maxAuxConns          = 256
	callerReceiveEighths = 3 // Of the receive buffers, for connections of callers.
	serverReceiveEighths = 3 // For connections to servers.
	tunnelReceiveEighths = 1 // For tunnels of other routers.
	peerReceiveEighths   = 1 // For connections of other routers, and to the other ports.
)

// Limits are the bounds of one process.
type Limits struct {
	Bytes              int64 // That connections, bodies and responses may hold together.
	RuntimeBytes       int64 // That the Go runtime may use before it collects garbage more often; zero for no limit.
	MaxConns           int   // Connections of callers.
	MaxPeers           int   // Connections of other routers, without tunnels.
	MaxTunnels         int   // Tunnels opened for other routers.
	MaxAuxConns        int   // Connections to the readiness port, and to the metrics port.
	MaxIdleServerConns int   // Idle connections to servers.

	// Receive buffers of the kernel, by the kind of their connections.
	CallerReceiveBytes int64
	ServerReceiveBytes int64
	TunnelReceiveBytes int64
	PeerReceiveBytes   int64
}

// LimitsFor returns the limits of a process that may use memoryBytes and that many descriptors; zero stands for unknown.
func LimitsFor(memoryBytes int64, descriptors int) Limits {
	l := Limits{Bytes: defaultBytes, MaxPeers: maxPeers, MaxTunnels: maxTunnels, MaxAuxConns: maxAuxConns, MaxIdleServerConns: maxConns}
	receive := int64(defaultBytes)
	if memoryBytes > 0 {
		receive = memoryBytes / percent * receivePercent
		l.RuntimeBytes = min(memoryBytes/percent*runtimePercent, max(memoryBytes-receive-programBytes, memoryBytes/percent*minRuntimePercent))
		l.Bytes = l.RuntimeBytes / budgetPart
	}
	receive = max(receive, minConns*eighths*NarrowReceiveBytes)
	l.CallerReceiveBytes, l.ServerReceiveBytes = receive/eighths*callerReceiveEighths, receive/eighths*serverReceiveEighths
	l.TunnelReceiveBytes, l.PeerReceiveBytes = receive/eighths*tunnelReceiveEighths, receive/eighths*peerReceiveEighths
	l.MaxConns = int(min(l.part(connEighths)/ConnBytes, maxConns))
	l.MaxTunnels = min(l.MaxTunnels, int(l.part(tunnelEighths)/tunnelBytes))
	l.MaxPeers = min(l.MaxPeers, int(l.part(peerEighths)/peerBytes))
	if descriptors > 0 {
		usable := max(descriptors-fileDescriptors, 0)
		l.MaxConns = min(l.MaxConns, usable/callerDescriptors)
		l.MaxTunnels = min(l.MaxTunnels, usable/tunnelDescriptors)
		l.MaxPeers = min(l.MaxPeers, usable/peerDescriptors)
		l.MaxIdleServerConns = max(min(l.MaxIdleServerConns, usable/idleDescriptors), 1)
		l.MaxAuxConns = min(l.MaxAuxConns, usable/auxConnDescriptors)
	}
	l.MaxConns, l.MaxPeers = max(l.MaxConns, minConns), max(l.MaxPeers, minConns)
	l.MaxTunnels, l.MaxAuxConns = max(l.MaxTunnels, 1), max(l.MaxAuxConns, 1)
	return l
}

// part returns n eighths of the budget.
func (l *Limits) part(n int64) int64 { return l.Bytes / eighths * n }

// replyLimit returns how much of the budget may be used once a response with that many bytes has what it asks for.
func (l *Limits) replyLimit(bytes int64) int64 {
	if bytes <= SmallBytes {
		return l.Bytes
	}
	return l.Bytes / sixteenths * largeReplySixteenths
}

// bodyLimit returns how much of the budget may be used once a request with that many bytes has what it asks for.
func (l *Limits) bodyLimit(bytes int64) int64 {
	switch {
	case bytes <= TinyBytes:
		return l.part(tinyBodyEighths)
	case bytes <= SmallBytes:
		return l.part(smallBodyEighths)
	}
	return l.part(largeBodyEighths)
}
