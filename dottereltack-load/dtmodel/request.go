package dtmodel

import (
	"fmt"
	"sort"
	"time"

	"github.com/dottereltack/dottereltack/core/dtstate"
	"github.com/dottereltack/dottereltack/dottereltack-stand/dtengine"
)

// Request is a simulated request of a caller and its outcome.
type Request struct {
	ID          dtstate.RequestID
	Router      *Router
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
	OnEnd       func(request *Request)
}

// RecordFirstByte sets FirstByteAt unless it is already set.
func (r *Request) RecordFirstByte(now time.Time) {
	if r.FirstByteAt.IsZero() {
		r.FirstByteAt = now
	}
}

// Ended reports whether the caller has received an answer or a refusal.
func (r *Request) Ended() bool { return r.Completed || r.Refusal != nil }

// Send assigns a request its ID, delivers it to a router as ev and returns it.
func (sim *Simulation) Send(router *Router, request *Request, ev dtstate.RequestArrived) *Request {
	sim.sequence++
	request.ID = dtstate.RequestID(fmt.Sprintf("%s.%d.%d", router.ID, router.incarnation, sim.sequence))
	request.Router = router
	request.Incarnation = router.incarnation
	request.SentAt = sim.Now
	request.Account = ev.Account
	ev.Request = request.ID
	if ev.Order != nil {
		request.Key = ev.Order.Key
	}
	sim.Requests[request.ID] = request
	router.Deliver(ev)
	return request
}

// SendOrder sends an order with an idempotency key to a router.
func (sim *Simulation) SendOrder(router *Router, a dtstate.ClientAccount, key string, createdAt time.Time, bodyHash uint64) *Request {
	return sim.Send(router, &Request{}, dtstate.RequestArrived{
		Account: a, Group: ServiceGroup, Chat: dtstate.HashString(key), Class: dtstate.ClassOrder, Work: 1,
		Deadline: sim.Now.Add(5 * time.Second), Order: &dtstate.OrderKey{Key: key, CreatedAt: createdAt, BodyHash: bodyHash},
	})
}

// maxPromptParts is the number of prompt parts that a request lists.
const maxPromptParts = 4

// SendTurn sends a turn of a chat to a router.
func (sim *Simulation) SendTurn(router *Router, a dtstate.ClientAccount, group string, chat uint64, request *Request) *Request {
	prompt := 0
	digest := chat
	var parts []uint64
	for i, p := range request.Prefixes {
		prompt += p.Tokens
		digest = p.Hash
		if i < len(request.Prefixes)-1 && len(parts) < maxPromptParts {
			parts = append(parts, p.Hash)
		}
	}
	return sim.Send(router, request, dtstate.RequestArrived{
		Account: a, Group: group, Chat: chat, Digest: digest, PromptParts: parts, Class: dtstate.ClassInteractive,
		Work: uint32(prompt) + request.Tokens, Deadline: sim.Now.Add(10 * time.Second),
	})
}

func (sim *Simulation) recordExecution(request *Request) { request.Executions++ }

func (sim *Simulation) completeRequest(request *Request, _ dtstate.AttemptEnded) {
	request.Answers++
	request.Completed = true
	sim.endRequest(request)
}

func (sim *Simulation) replayAnswer(e dtstate.AnswerOrder) {
	if request := sim.Requests[e.Request]; request != nil {
		request.Answers++
		request.Completed = true
		request.Replayed = true
		sim.endRequest(request)
	}
}

func (sim *Simulation) refuseRequest(r dtstate.Refusal) {
	if request := sim.Requests[r.Request]; request != nil {
		request.Answers++
		request.Refusal = &r
		sim.endRequest(request)
	}
}

func (sim *Simulation) endRequest(request *Request) {
	request.EndedAt = sim.Now
	if request.OnEnd != nil {
		request.OnEnd(request)
	}
}

// AccountedRefusals returns the requests whose refusals are in the ledger, at the
// platform or at a live router; a page accounts for every refusal in its range of
// numbers, even without items.
func (sim *Simulation) AccountedRefusals() map[dtstate.RequestID]bool {
	accounted := map[dtstate.RequestID]bool{}
	var pages []dtstate.RefusalPage
	for _, key := range sim.Platform.keys("refusals/") {
		if batch := sim.Platform.read(key).Value.Refusals; batch != nil {
			pages = append(pages, batch.Pages...)
		}
	}
	for _, router := range sim.Routers {
		if router.Alive {
			pages = append(pages, router.State.Ledger.Pages()...)
		}
	}
	for _, request := range sim.Requests {
		for i := range pages {
			p := &pages[i]
			if r := request.Refusal; r != nil && p.Router == r.Router && p.Start == r.Start && p.From <= r.Number && r.Number <= p.Through {
				accounted[request.ID] = true
			}
		}
	}
	return accounted
}

func sortedKeys[V any](m map[dtstate.RequestID]V) []dtstate.RequestID {
	keys := make([]dtstate.RequestID, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}
