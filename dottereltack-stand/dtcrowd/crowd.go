package dtcrowd

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// dialTimeout limits how long a client waits for a connection.
const dialTimeout = time.Second

// Target is where a crowd sends its requests.
type Target struct {
	Address    string
	BodyBytes  int                         // Largest body that it accepts.
	Head       func(id string) string      // Of a request with a body, but for the fields of its framing and the blank line.
	StreamHead func(id string) string      // The same of a request for a stream of many events; nil if there is none.
	Responded  func(id string, status int) // Called with the status of each response to a request; may be nil.
}

// Group is a number of clients of one form.
type Group struct {
	Size int
	Form Form
}

// Crowd is a number of clients that send at once and hold their connections.
type Crowd struct {
	Connections atomic.Int64 // Opened so far.
	Closed      atomic.Int64 // Closed by the target so far.
	target      Target
	rounds      int
	blocks      *blocks
	over        chan struct{} // Closed once the clients are to leave.
	group       sync.WaitGroup
	sending     sync.WaitGroup
}

// Start starts the clients. Each opens a connection, sends, and holds it until it is closed; and this in as many rounds.
func Start(t Target, rounds int, groups ...Group) *Crowd {
	c := &Crowd{target: t, rounds: rounds, blocks: newBlocks(), over: make(chan struct{})}
	for i, group := range groups {
		for n := range group.Size {
			c.sending.Add(1)
			c.group.Go(func() {
				c.runClient(group.Form, Client{Target: &c.target, Group: i, Index: n, blocks: c.blocks, over: c.over})
			})
		}
	}
	return c
}

// AwaitSent waits until each client has sent what it was to send once, or has had its rounds, at most for timeout.
func (c *Crowd) AwaitSent(timeout time.Duration) {
	done := make(chan struct{})
	go func() {
		c.sending.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(timeout):
	}
}

// Leave closes all connections and waits until no client is left.
func (c *Crowd) Leave() {
	close(c.over)
	c.group.Wait()
}

func (c *Crowd) runClient(form Form, client Client) {
	sent := sync.OnceFunc(c.sending.Done)
	defer sent()
	for round := range c.rounds {
		next := client
		next.Round = round
		c.playRound(form, &next, sent)
		if c.isOver() {
			return
		}
	}
}

// playRound opens a connection, sends, and holds the connection until it is closed or the crowd leaves.
func (c *Crowd) playRound(form Form, client *Client, sent func()) {
	conn, err := net.DialTimeout("tcp", c.target.Address, dialTimeout)
	if err != nil {
		return
	}
	client.Conn = conn
	c.Connections.Add(1)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-c.over:
		case <-stop:
		}
		_ = conn.Close()
	}()
	if form(client) == nil {
		sent()
	}
	client.readStatus()
	_, _ = io.Copy(io.Discard, conn)
	if !c.isOver() {
		c.Closed.Add(1)
	}
}

func (c *Crowd) isOver() bool {
	select {
	case <-c.over:
		return true
	default:
		return false
	}
}
