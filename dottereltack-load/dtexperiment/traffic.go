package dtexperiment

import (
	"fmt"
	"math"
	"time"

	"github.com/dottereltack/dottereltack/core/dtconfig"
	"github.com/dottereltack/dottereltack/core/dtstate"
	"github.com/dottereltack/dottereltack/dottereltack-load/dtmodel"
	"github.com/dottereltack/dottereltack/dottereltack-stand/dtengine"
)

// Sizes of the modelled site: four failure domains, eight routers, twelve engines.
const (
	domains      = 4
	perDomain    = 2
	engines      = 3
	slots        = 16
	tokenTime    = 20 * time.Millisecond
	answerTokens = 60
	systemTokens = 400
	turnTokens   = 60
	accounts     = 10
	utilization  = 0.6
	sampleEvery  = 100 * time.Millisecond
	skewFloor    = 4.0 // Mean requests in flight from which skew is judged.
)

// settings returns the modelled site under a policy.
func settings(seed uint64, policy string) dtmodel.Settings {
	return dtmodel.Settings{
		Seed: seed, Region: "pl-south", Domains: domains, Routers: perDomain, Engines: engines, Services: 1, Accounts: accounts,
		Near: 100 * time.Microsecond, Far: 1500 * time.Microsecond, HostsLag: time.Second,
		Server: dtmodel.ServerSettings{
			Slots: slots, ColdCap: 2, Token: tokenTime, Prefill: 300 * time.Microsecond, CacheTokens: 200_000,
			Call: 5 * time.Millisecond, Restart: 2 * time.Second,
		},
		Site: dtconfig.Site{Limits: dtconfig.Limits{
			LoadBound: dtconfig.DefaultLoadBound, RetryRatio: dtconfig.DefaultRetryRatio, FirstByteTimeoutMs: dtconfig.DefaultFirstByteTimeoutMs,
			OrderWindowSeconds: dtconfig.DefaultOrderWindowSeconds, RampMs: dtconfig.DefaultRampMs, MaxHomeWaitMs: dtconfig.DefaultMaxHomeWaitMs, MaxQueuedPerAccount: dtconfig.DefaultMaxQueuedPerAccount,
			MaxQueuedPerShard: dtconfig.DefaultMaxQueuedPerShard, MaxRequestsInFlight: dtconfig.DefaultMaxRequestsInFlight, Policy: policy,
		}},
	}
}

// Traffic is returning chats that arrive at random over all routers.
type Traffic struct {
	World     *dtmodel.World
	Perfect   *dtengine.Cache
	Rate      float64 // Turns a second.
	Chats     int
	Weight    func(account int) float64
	turns     map[int]int
	busy      map[int]bool
	Calls     []*dtmodel.Call
	PerfectIn int // Prompt tokens that perfect placement would have found cached.
	stopped   bool
}

// newTraffic returns traffic that uses the given part of what the engines bear.
func newTraffic(w *dtmodel.World, part float64) *Traffic {
	service := (answerTokens + 1) * tokenTime.Seconds()
	rate := part * domains * engines * slots / service
	return &Traffic{
		World: w, Perfect: dtengine.NewCache(math.MaxInt), Rate: rate, Chats: 1200,
		turns: map[int]int{}, busy: map[int]bool{}, Weight: func(int) float64 { return 1 },
	}
}

// Start sends turns from now on until Stop.
func (t *Traffic) Start() { t.next() }

// Stop sends no more turns.
func (t *Traffic) Stop() { t.stopped = true }

func (t *Traffic) next() {
	if t.stopped {
		return
	}
	w := t.World
	wait := w.Random.ExpFloat64() / t.Rate
	w.After(time.Duration(wait*float64(time.Second)), func() {
		t.send()
		t.next()
	})
}

// send sends the next turn of some chat that is not waiting for an answer.
func (t *Traffic) send() {
	w := t.World
	chat := w.Random.IntN(t.Chats)
	if t.busy[chat] || t.stopped {
		return
	}
	t.Turn(chat, chat%accounts)
}

// Turn sends the next turn of a chat for an account.
func (t *Traffic) Turn(chat, account int) *dtmodel.Call {
	w := t.World
	const longest = 12
	if t.turns[chat] >= longest {
		t.turns[chat] = 0
	}
	t.turns[chat]++
	c := &dtmodel.Call{Tokens: answerTokens, Prefixes: prefixes(chat, t.turns[chat])}
	t.busy[chat] = true
	t.PerfectIn += t.Perfect.Lookup(c.Prefixes)
	c.Done = func(c *dtmodel.Call) {
		t.busy[chat] = false
		if c.Completed {
			t.Perfect.Add(c.Prefixes)
		}
	}
	n := t.router()
	if n == nil {
		return nil
	}
	w.Chat(n, dtmodel.Account(account), dtmodel.Group(0), dtstate.HashString(fmt.Sprint("chat", chat)), c)
	t.Calls = append(t.Calls, c)
	return c
}

// router draws a router that serves, as the platform's balancer would.
func (t *Traffic) router() *dtmodel.Node {
	w := t.World
	for range 64 {
		n := w.Nodes[w.Random.IntN(len(w.Nodes))]
		if n.Alive && !n.State.Stopping && n.State.Config.Site != nil && len(n.State.Fleet.Servers) > 0 {
			return n
		}
	}
	return nil
}

// prefixes returns the message boundaries of a chat's turn: a system prompt that many
// chats share, then the chat's own messages.
func prefixes(chat, turn int) []dtengine.Prefix {
	const layouts = 8
	h := dtstate.HashString("system", fmt.Sprint(chat%layouts))
	out := []dtengine.Prefix{{Hash: h, Tokens: systemTokens}}
	for i := range turn {
		h = dtstate.HashString("turn", fmt.Sprint(h, chat, i))
		out = append(out, dtengine.Prefix{Hash: h, Tokens: turnTokens})
	}
	return out
}

// Skew samples the load of the engines.
type Skew struct {
	Ratios []float64 // Most loaded over mean.
	Over   float64   // Most by which a server stayed above bound times mean plus one that was above it when it last got work.
	Fallen float64   // The same of servers that got their last work below it: the mean fell since.
}

// watch samples every 100 ms until done returns true.
func (k *Skew) watch(w *dtmodel.World, counts func(s *dtmodel.Server) bool, done func() bool) {
	w.After(sampleEvery, func() {
		if done() {
			return
		}
		k.sample(w, counts)
		k.watch(w, counts, done)
	})
}

func (k *Skew) sample(w *dtmodel.World, counts func(s *dtmodel.Server) bool) {
	var engines []*dtmodel.Server
	total, most := 0, 0
	for _, s := range w.All {
		if s.Kind != dtconfig.KindEngine || !counts(s) {
			continue
		}
		engines = append(engines, s)
		total += len(s.Running)
		most = max(most, len(s.Running))
	}
	mean := float64(total) / float64(max(len(engines), 1))
	if mean < skewFloor {
		return
	}
	k.Ratios = append(k.Ratios, float64(most)/mean)
	for _, s := range engines {
		over := float64(len(s.Running)) - (dtconfig.DefaultLoadBound*mean + 1)
		if s.GivenOver > 0 {
			k.Over = max(k.Over, over)
			continue
		}
		k.Fallen = max(k.Fallen, over)
	}
}
