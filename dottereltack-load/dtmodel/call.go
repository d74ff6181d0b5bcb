package dtmodel

import (
	"fmt"
	"sort"
	"time"

	"github.com/dottereltack/dottereltack/core/dtstate"
	"github.com/dottereltack/dottereltack/dottereltack-stand/dtengine"
)

// Call is one simulated request of a caller and its outcome.
type Call struct {
	Request     dtstate.RequestID
	Node        *Node
	Incarnation int // Incarnation of the router that accepted the request.
	Account     dtstate.ClientAccount
	Key         string
	Tokens      uint32
	Prefixes    []dtengine.Prefix
	Poison      bool // Crashes the server that runs it.
	SentAt      time.Time
	FirstByteAt time.Time
	EndedAt     time.Time
	Server      dtstate.ServerID
	Attempts    int // Attempts that reached a server.
	Executions  int // Executions of the order by this request.
	Answers     int // Answers and refusals that the caller received.
	Completed   bool
	Replayed    bool // Answered from a stored outcome.
	Refusal     *dtstate.Refusal
	OnEnd       func(c *Call)
}

// RecordFirstByte sets the time of the first byte, once.
func (c *Call) RecordFirstByte(now time.Time) {
	if c.FirstByteAt.IsZero() {
		c.FirstByteAt = now
	}
}

// Ended reports whether the caller has received an answer or a refusal.
func (c *Call) Ended() bool { return c.Completed || c.Refusal != nil }

// Send delivers a caller's request to a router.
func (sim *Simulation) Send(n *Node, c *Call, ev dtstate.RequestArrived) *Call {
	sim.sequence++
	c.Request = dtstate.RequestID(fmt.Sprintf("%s.%d.%d", n.ID, n.incarnation, sim.sequence))
	c.Node = n
	c.Incarnation = n.incarnation
	c.SentAt = sim.Now
	c.Account = ev.Account
	ev.Request = c.Request
	if ev.Order != nil {
		c.Key = ev.Order.Key
	}
	sim.Calls[c.Request] = c
	n.Deliver(ev)
	return c
}

// SendOrder sends an order with an idempotency key to a router.
func (sim *Simulation) SendOrder(n *Node, a dtstate.ClientAccount, key string, createdAt time.Time, body uint64) *Call {
	return sim.Send(n, &Call{}, dtstate.RequestArrived{
		Account: a, Group: ServiceGroup, Chat: dtstate.HashString(key), Class: dtstate.ClassOrder, Work: 1,
		Deadline: sim.Now.Add(5 * time.Second), Order: &dtstate.OrderKey{Key: key, CreatedAt: createdAt, BodyHash: body},
	})
}

// SendTurn sends a turn of a chat to a router.
func (sim *Simulation) SendTurn(n *Node, a dtstate.ClientAccount, group string, chat uint64, c *Call) *Call {
	prompt := 0
	digest := chat
	for _, p := range c.Prefixes {
		prompt += p.Tokens
		digest = p.Hash
	}
	return sim.Send(n, c, dtstate.RequestArrived{
		Account: a, Group: group, Chat: chat, Digest: digest, Class: dtstate.ClassInteractive,
		Work: uint32(prompt) + c.Tokens, Deadline: sim.Now.Add(10 * time.Second),
	})
}

// recordExecution counts an execution of the call's order.
func (sim *Simulation) recordExecution(c *Call) { c.Executions++ }

// completeCall delivers the complete answer to the caller.
func (sim *Simulation) completeCall(c *Call, _ dtstate.AttemptEnded) {
	c.Answers++
	c.Completed = true
	sim.endCall(c)
}

// replayAnswer delivers a stored answer to the caller.
func (sim *Simulation) replayAnswer(e dtstate.AnswerOrder) {
	if c := sim.Calls[e.Request]; c != nil {
		c.Answers++
		c.Completed = true
		c.Replayed = true
		sim.endCall(c)
	}
}

// refuseCall delivers a refusal to the caller.
func (sim *Simulation) refuseCall(r dtstate.Refusal) {
	if c := sim.Calls[r.Request]; c != nil {
		c.Answers++
		c.Refusal = &r
		sim.endCall(c)
	}
}

func (sim *Simulation) endCall(c *Call) {
	c.EndedAt = sim.Now
	if c.OnEnd != nil {
		c.OnEnd(c)
	}
}

// AccountedRefusals returns the requests whose refusals are in the ledger, at the
// platform or at a live router. A page without items accounts for all refusals in its
// range of numbers.
func (sim *Simulation) AccountedRefusals() map[dtstate.RequestID]bool {
	accounted := map[dtstate.RequestID]bool{}
	var pages []dtstate.RefusalPage
	for _, key := range sim.Platform.keys("refusals/") {
		if batch := sim.Platform.read(key).Value.Refusals; batch != nil {
			pages = append(pages, batch.Pages...)
		}
	}
	for _, n := range sim.Nodes {
		if n.Alive {
			pages = append(pages, n.State.Ledger.Pages()...)
		}
	}
	for _, c := range sim.Calls {
		for i := range pages {
			p := &pages[i]
			if r := c.Refusal; r != nil && p.Router == r.Router && p.Start == r.Start && p.From <= r.Number && r.Number <= p.Through {
				accounted[c.Request] = true
			}
		}
	}
	return accounted
}

// sortedKeys returns the keys of m in ascending order.
func sortedKeys[V any](m map[dtstate.RequestID]V) []dtstate.RequestID {
	keys := make([]dtstate.RequestID, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}
