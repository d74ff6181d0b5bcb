package dtlisten

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dottereltack/dottereltack/core/dtapi"
)

// Server is an HTTP server that can crash and restart at the same address.
type Server struct {
	Address  string
	handler  fasthttp.RequestHandler
	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{} // Open connections.
	isDown   bool                  // Between Crash and Restart.
	wg       sync.WaitGroup
}

// New returns a server that listens on address but does not serve yet.
func New(address string, handler fasthttp.RequestHandler) (*Server, error) {
	s := &Server{handler: echoRequestID(handler), conns: map[net.Conn]struct{}{}}
	if err := s.listen(address); err != nil {
		return nil, err
	}
	s.Address = s.listener.Addr().String()
	return s, nil
}

// echoRequestID returns a handler whose responses carry the ID of the request, if it has one.
func echoRequestID(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if id := ctx.Request.Header.Peek(dtapi.HeaderRequestID); len(id) > 0 {
			ctx.Response.Header.SetBytesV(dtapi.HeaderRequestID, id)
		}
		handler(ctx)
	}
}

func (s *Server) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.listener = listener
	return nil
}

// Start serves requests in the background until Crash or Stop.
func (s *Server) Start() {
	s.mu.Lock()
	listener := s.listener
	s.mu.Unlock()
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		httpServer := &fasthttp.Server{
			Handler:               s.handler,
			NoDefaultServerHeader: true,
			Logger:                discardLogger{},
			MaxRequestBodySize:    16 << 20,
			IdleTimeout:           time.Minute,
		}
		_ = httpServer.Serve(&trackingListener{Listener: listener, server: s})
	}()
}

// Crash closes the listener and resets all connections.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = true
	_ = s.listener.Close()
	for c := range s.conns {
		resetConn(c)
	}
	s.conns = map[net.Conn]struct{}{}
}

// resetConn closes a connection with a TCP reset.
func resetConn(c net.Conn) {
	if tcpConn, ok := c.(*net.TCPConn); ok {
		_ = tcpConn.SetLinger(0)
	}
	_ = c.Close()
}

// Restart listens on the same address again after Crash and serves requests in the background.
func (s *Server) Restart() error {
	s.mu.Lock()
	err := s.listen(s.Address)
	s.isDown = err != nil
	s.mu.Unlock()
	if err != nil {
		return err
	}
	s.Start()
	return nil
}

// Stop closes the listener, resets all connections and waits for the server's background goroutines.
func (s *Server) Stop() {
	s.Crash()
	s.wg.Wait()
}

// trackingListener records the connections that it accepts in Server.conns.
type trackingListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s := l.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown { // Accepted just before the listener was closed.
		resetConn(c)
		return c, nil
	}
	s.conns[c] = struct{}{}
	return &trackedConn{Conn: c, server: s}, nil
}

// trackedConn removes itself from Server.conns when it is closed.
type trackedConn struct {
	net.Conn
	server *Server
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.server.mu.Lock()
	delete(c.server.conns, c.Conn)
	c.server.mu.Unlock()
	return c.Conn.Close()
}

type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
