package dtproxy

import (
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// Mode selects the fault that a proxy injects.
type Mode string

// Modes of a proxy. A connection that has lost data stays blackholed until it is closed, in the directions that lost it:
// TCP delivers nothing after a gap.
const (
	ModePass          Mode = "pass"    // Forward all data.
	ModeBlackholeAll  Mode = "drop"    // Blackhole all connections, open and new.
	ModeBlackholeOpen Mode = "silent"  // Blackhole the connections that are open when the mode is set.
	ModeReset         Mode = "reset"   // Reset all connections, open and new.
	ModeOneWay        Mode = "one_way" // Discard data from the target.
)

// Proxy forwards TCP connections to a target.
type Proxy struct {
	Address         string
	Target          string
	mu              sync.Mutex
	listener        net.Listener
	mode            Mode
	delay           time.Duration  // Added before each write.
	blockedPrefixes []string       // Prefixes of the blocked source addresses.
	cuts            map[string]Cut // By prefix of the source address.
	cutsChanged     chan struct{}  // Closed and replaced when a cut begins or ends.
	conns           map[*proxiedConn]struct{}
	wg              sync.WaitGroup
	closed          chan struct{}
}

// Cut states in which directions a proxy does not forward the data of connections, whose ends it hides, too.
type Cut struct {
	ToTarget, FromTarget bool
	Holds                bool // The data are forwarded after the cut, as if they had been sent again; otherwise they are lost.
}

func (c Cut) includes(fromTarget bool) bool {
	return fromTarget && c.FromTarget || !fromTarget && c.ToTarget
}

// proxiedConn is a connection from a client (downstream) through the proxy to the target
// (upstream).
type proxiedConn struct {
	downstream, upstream net.Conn // Upstream is nil if the connection was blackholed from the start.
	mu                   sync.Mutex
	blackholed           bool
}

// New returns a proxy to target that listens on address but does not accept connections yet.
func New(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		Address: listener.Addr().String(), Target: target, listener: listener, mode: ModePass,
		cuts: map[string]Cut{}, cutsChanged: make(chan struct{}), conns: map[*proxiedConn]struct{}{}, closed: make(chan struct{}),
	}
	return p, nil
}

// Start accepts connections in the background until Stop.
func (p *Proxy) Start() {
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		p.acceptLoop()
	}()
}

// Stop closes the listener, resets all connections and waits for the proxy's background goroutines.
func (p *Proxy) Stop() {
	close(p.closed)
	_ = p.listener.Close()
	p.mu.Lock()
	for c := range p.conns {
		c.reset()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// SetMode sets the mode, and the delay before each chunk of data is forwarded.
func (p *Proxy) SetMode(mode Mode, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	p.delay = delay
	for c := range p.conns {
		switch mode {
		case ModeReset:
			c.reset()
		case ModeBlackholeOpen, ModeBlackholeAll:
			c.blackhole()
		case ModePass, ModeOneWay:
		}
	}
}

// BlockSources blackholes all connections, open and new, from source addresses that begin
// with one of the prefixes, which replace those of earlier calls.
func (p *Proxy) BlockSources(prefixes []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blockedPrefixes = prefixes
	for c := range p.conns {
		if p.isBlocked(c.downstream) {
			c.blackhole()
		}
	}
}

// ResetSources resets the open connections from source addresses that begin with one of the prefixes.
func (p *Proxy) ResetSources(prefixes []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if hasPrefix(c.downstream, prefixes) {
			c.reset()
		}
	}
}

// CutSource cuts off all connections, open and new, from source addresses that begin with prefix. The zero Cut ends that of the
// same prefix; connections that have lost data by it stay blackholed in that direction.
func (p *Proxy) CutSource(prefix string, cut Cut) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cut == (Cut{}) {
		delete(p.cuts, prefix)
	} else {
		p.cuts[prefix] = cut
	}
	close(p.cutsChanged)
	p.cutsChanged = make(chan struct{})
}

// awaitPassage waits until no cut holds the data of a connection, and reports whether one loses them.
func (p *Proxy) awaitPassage(conn net.Conn, fromTarget bool) (isLost bool) {
	for {
		isHeld := false
		p.mu.Lock()
		for prefix, cut := range p.cuts {
			if cut.includes(fromTarget) && hasPrefix(conn, []string{prefix}) {
				isHeld, isLost = isHeld || cut.Holds, isLost || !cut.Holds
			}
		}
		changed := p.cutsChanged
		p.mu.Unlock()
		if isLost || !isHeld {
			return isLost
		}
		select {
		case <-changed:
		case <-p.closed:
			return true
		}
	}
}

// isBlocked reports whether the source address of conn is blocked. The caller must hold p.mu.
func (p *Proxy) isBlocked(conn net.Conn) bool {
	return hasPrefix(conn, p.blockedPrefixes)
}

func hasPrefix(conn net.Conn, prefixes []string) bool {
	for _, prefix := range prefixes {
		if strings.HasPrefix(conn.RemoteAddr().String(), prefix) {
			return true
		}
	}
	return false
}

func (p *Proxy) modeAndDelay() (Mode, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.delay
}

func (p *Proxy) acceptLoop() {
	for {
		downstream, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		p.handleConn(downstream)
	}
}

// handleConn dials the target and forwards the connection in the background, unless the mode
// or its source address requires that it is reset or blackholed.
func (p *Proxy) handleConn(downstream net.Conn) {
	mode, _ := p.modeAndDelay()
	if mode == ModeReset {
		resetConn(downstream)
		return
	}
	p.mu.Lock()
	blackholed := mode == ModeBlackholeAll || p.isBlocked(downstream)
	p.mu.Unlock()
	c := &proxiedConn{downstream: downstream, blackholed: blackholed}
	if !blackholed {
		upstream, err := net.Dial("tcp", p.Target)
		if err != nil {
			resetConn(downstream)
			return
		}
		c.upstream = upstream
	}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		p.forward(c)
	}()
}

// forward copies data in both directions until the connection ends, then resets both ends.
func (p *Proxy) forward(c *proxiedConn) {
	defer func() {
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
		c.reset()
	}()
	if c.upstream == nil {
		_, _ = io.Copy(io.Discard, c.downstream)
		return
	}
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		p.copyBytes(c, c.downstream, c.upstream, true)
	}()
	p.copyBytes(c, c.upstream, c.downstream, false)
	wg.Wait()
}

// copyBytes copies data from src to dst, and delays or discards it according to the mode. At
// the end of src it closes both ends, except of a blackholed connection, whose end dst must not see.
func (p *Proxy) copyBytes(c *proxiedConn, dst, src net.Conn, fromTarget bool) {
	const bufferSize = 32 << 10
	buf, hasGap := make([]byte, bufferSize), false
	for {
		n, err := src.Read(buf)
		mode, delay := p.modeAndDelay()
		if delay > 0 {
			time.Sleep(delay)
		}
		hasGap = p.awaitPassage(c.downstream, fromTarget) || hasGap || c.isBlackholed() || fromTarget && mode == ModeOneWay
		if n > 0 && !hasGap {
			if _, writeErr := dst.Write(buf[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err == nil {
			continue
		}
		if !hasGap {
			c.close()
		}
		return
	}
}

// blackhole discards all further data of the connection, which stays open.
func (c *proxiedConn) blackhole() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blackholed = true
}

func (c *proxiedConn) isBlackholed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.blackholed
}

func (c *proxiedConn) close() {
	_ = c.downstream.Close()
	if c.upstream != nil {
		_ = c.upstream.Close()
	}
}

func (c *proxiedConn) reset() {
	resetConn(c.downstream)
	if c.upstream != nil {
		resetConn(c.upstream)
	}
}

// resetConn closes a connection with a TCP reset.
func resetConn(conn net.Conn) {
	if tcpConn, ok := conn.(*net.TCPConn); ok {
		_ = tcpConn.SetLinger(0)
	}
	_ = conn.Close()
}
