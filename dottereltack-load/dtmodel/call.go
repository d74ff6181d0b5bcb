package dtmodel

import (
	"fmt"
	"sort"
	"time"

	"github.com/dottereltack/dottereltack/core/dtstate"
	"github.com/dottereltack/dottereltack/dottereltack-stand/dtengine"
)

// Call is one request of a caller in the model, and all that became of it.
type Call struct {
	Request   dtstate.RequestID
	Node      *Node
	Life      int // The router's incarnation that took the request.
	Account   dtstate.ClientAccount
	Key       string
	Tokens    uint32
	Prefixes  []dtengine.Prefix
	Poison    bool
	Sent      time.Time
	FirstAt   time.Time
	EndedAt   time.Time
	Server    dtstate.ServerID
	Attempts  int // Attempts that reached a server.
	Ran       int // Runs of an order under this request.
	Answers   int
	Completed bool
	Replayed  bool
	Refusal   *dtstate.Refusal
	Done      func(c *Call)
}

// First notes the first byte.
func (c *Call) First(now time.Time) {
	if c.FirstAt.IsZero() {
		c.FirstAt = now
	}
}

// Ended says whether the caller has heard how the request ended.
func (c *Call) Ended() bool { return c.Completed || c.Refusal != nil }

// Send lets a caller send a request to a router.
func (w *World) Send(n *Node, c *Call, ev dtstate.RequestArrived) *Call {
	w.count++
	c.Request = dtstate.RequestID(fmt.Sprintf("%s.%d.%d", n.ID, n.life, w.count))
	c.Node = n
	c.Life = n.life
	c.Sent = w.Now
	c.Account = ev.Account
	ev.Request = c.Request
	if ev.Order != nil {
		c.Key = ev.Order.Key
	}
	w.Calls[c.Request] = c
	n.Deliver(ev)
	return c
}

// Order sends an order under a key to a router.
func (w *World) Order(n *Node, a dtstate.ClientAccount, key string, made time.Time, body uint64) *Call {
	return w.Send(n, &Call{}, dtstate.RequestArrived{
		Account: a, Group: ServiceGroup, Chat: dtstate.HashString(key), Class: dtstate.ClassOrder, Work: 1,
		Deadline: w.Now.Add(5 * time.Second), Order: &dtstate.OrderKey{Key: key, Time: made, BodyHash: body},
	})
}

// Chat sends a turn of a chat to a router.
func (w *World) Chat(n *Node, a dtstate.ClientAccount, group string, chat uint64, c *Call) *Call {
	prompt := 0
	digest := chat
	for _, p := range c.Prefixes {
		prompt += p.Tokens
		digest = p.Hash
	}
	return w.Send(n, c, dtstate.RequestArrived{
		Account: a, Group: group, Chat: chat, Digest: digest, Class: dtstate.ClassInteractive,
		Work: uint32(prompt) + c.Tokens, Deadline: w.Now.Add(10 * time.Second),
	})
}

// ran notes that an order has run under a request.
func (w *World) ran(c *Call) { c.Ran++ }

// completed tells the caller that the answer is whole.
func (w *World) completed(c *Call, _ dtstate.AttemptEnded) {
	c.Answers++
	c.Completed = true
	w.ended(c)
}

// answered tells the caller a stored answer.
func (w *World) answered(e dtstate.Answer) {
	if c := w.Calls[e.Request]; c != nil {
		c.Answers++
		c.Completed = true
		c.Replayed = true
		w.ended(c)
	}
}

// refused tells the caller of a refusal.
func (w *World) refused(r dtstate.Refusal) {
	if c := w.Calls[r.Request]; c != nil {
		c.Answers++
		c.Refusal = &r
		w.ended(c)
	}
}

func (w *World) ended(c *Call) {
	c.EndedAt = w.Now
	if c.Done != nil {
		c.Done(c)
	}
}

// Accounted returns the requests whose refusals the platform or a live router holds; a
// page that only counts stands for every request that its numbers cover.
func (w *World) Accounted() map[dtstate.RequestID]bool {
	held := map[dtstate.RequestID]bool{}
	var pages []dtstate.RefusalPage
	for _, key := range w.Platform.keys("refusals/") {
		if batch := w.Platform.read(key).Value.Refusals; batch != nil {
			pages = append(pages, batch.Pages...)
		}
	}
	for _, n := range w.Nodes {
		if n.Alive {
			pages = append(pages, n.State.Ledger.Pages()...)
		}
	}
	for _, c := range w.Calls {
		for i := range pages {
			p := &pages[i]
			if r := c.Refusal; r != nil && p.Router == r.Router && p.Start == r.Start && p.From <= r.Number && r.Number <= p.Through {
				held[c.Request] = true
			}
		}
	}
	return held
}

// sortedKeys returns the keys of m in order.
func sortedKeys[V any](m map[dtstate.RequestID]V) []dtstate.RequestID {
	keys := make([]dtstate.RequestID, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}
