package dtmodel

import (
	"fmt"
	"time"

	"github.com/dottereltack/dottereltack/core/dtconfig"
	"github.com/dottereltack/dottereltack/core/dtstate"
	"github.com/dottereltack/dottereltack/dottereltack-stand/dtengine"
)

// ServerSettings is how a modelled engine behaves.
type ServerSettings struct {
	Slots       int
	ColdCap     int
	Cold        time.Duration // How long a fresh engine is cold; zero for never.
	Token       time.Duration // Time of one token.
	Prefill     time.Duration // Time of one prompt token that is not cached.
	CacheTokens int
	Call        time.Duration // Time of one call of a plain service.
	Restart     time.Duration
}

// Server is one modelled backend server.
type Server struct {
	ID        dtstate.ServerID
	Domain    string
	Group     string
	Kind      string
	Start     uint64
	Alive     bool
	Silent    bool // Connections that are open now stay silent.
	Cache     *dtengine.Cache
	Running   map[dtstate.RequestID]*attempt
	Runs      map[string]int // Runs by order key.
	Hit, Sent int            // Prompt tokens that were cached, and all of them.
	ColdMost  int            // Most requests that were given while it was cold.
	Kills     int
	LateWork  time.Duration // How long after it was listed as leaving it last got work.
	GivenOver float64       // By how much it was above its bound when it last got work; negative below.
	leftAt    time.Time
	coldUntil time.Time
	world     *World
}

// attempt is one request in flight at a server.
type attempt struct {
	node   *Node
	life   int
	call   *Call
	number uint32
	offset uint32
	done   bool
}

// addServers makes the backend servers and lists them.
func (w *World) addServers() {
	for d := range w.Settings.Domains {
		for i := range w.Settings.Engines {
			g := i % max(w.Settings.Groups, 1)
			w.addServer(fmt.Sprintf("engine-%d-%d", d, i), dtconfig.KindEngine, Group(g), d)
		}
		for i := range w.Settings.Services {
			w.addServer(fmt.Sprintf("service-%d-%d", d, i), dtconfig.KindService, ServiceGroup, d)
		}
	}
}

func (w *World) addServer(id, kind, group string, domain int) {
	s := &Server{ID: dtstate.ServerID(id), Domain: Domain(domain), Group: group, Kind: kind, world: w, Runs: map[string]int{}}
	s.begin()
	w.Servers[s.ID] = s
	w.All = append(w.All, s)
	w.Platform.hostRev++
	w.Platform.hosts = append(w.Platform.hosts, s.host(w.Platform.hostRev))
}

// host returns the server's entry in the list of hosts.
func (s *Server) host(rev uint64) dtstate.Host {
	var d int
	_, _ = fmt.Sscanf(s.Domain, "dom-%d", &d)
	return dtstate.Host{
		ID: string(s.ID), Kind: s.Kind, Address: string(s.ID), Domain: dtstate.FailureDomain(s.Domain),
		Region: dtstate.Region(s.world.region(d)), Group: s.Group, Rev: rev,
	}
}

// SetListed lists the server as leaving, as gone or as live again.
func (s *Server) SetListed(leaving, gone bool) {
	h := s.host(0)
	h.Leaving, h.Gone = leaving, gone
	s.leftAt = time.Time{}
	if leaving {
		s.leftAt = s.world.Now
	}
	s.world.Platform.List(h)
}

// begin starts an incarnation.
func (s *Server) begin() {
	s.Start = uint64(s.world.Now.UnixMilli())
	s.Alive = true
	s.Running = map[dtstate.RequestID]*attempt{}
	s.Chill(s.world.Settings.Server.Cold)
}

// Chill empties the cache and makes the server cold for d.
func (s *Server) Chill(d time.Duration) {
	s.Cache = dtengine.NewCache(max(s.world.Settings.Server.CacheTokens, 1))
	s.coldUntil = s.world.Now.Add(d)
}

// Crash loses everything in flight; the server is back after its restart time.
func (s *Server) Crash() {
	if !s.Alive {
		return
	}
	s.Alive = false
	s.Kills++
	lost := s.Running
	s.Running = map[dtstate.RequestID]*attempt{}
	for _, id := range sortedKeys(lost) {
		lost[id].cut()
	}
	s.world.After(s.world.Settings.Server.Restart, s.begin)
}

// cut tells the router that the connection was lost.
func (a *attempt) cut() {
	if a.done {
		return
	}
	a.done = true
	a.end(dtstate.OutcomeCut)
}

// end reports how the attempt ended.
func (a *attempt) end(outcome dtstate.Outcome) {
	ev := dtstate.AttemptEnded{Request: a.call.Request, Attempt: a.number, Outcome: outcome, Offset: a.offset, Status: 200}
	if a.call.Key != "" {
		ev.Answer = []byte(a.call.Key)
	}
	w := a.node.world
	life := a.life
	w.After(w.jitter(w.Settings.Near), func() {
		if outcome == dtstate.OutcomeCompleted && a.node.life == life && a.node.Alive {
			w.completed(a.call, ev)
		}
		a.node.onLife(life, ev)
	})
}

// dispatch sends an attempt to its server.
func (w *World) dispatch(n *Node, e dtstate.Dispatch) {
	c := w.Calls[e.Request]
	if c == nil {
		return
	}
	a := &attempt{node: n, life: n.life, call: c, number: e.Attempt, offset: e.Offset}
	s := w.Servers[e.Server]
	if w.Now.After(e.SendBefore) || s == nil || !s.Alive || w.Cut(n.Domain, s.Domain) {
		a.done = true
		a.end(dtstate.OutcomeNotSent)
		return
	}
	w.After(w.way(n.Domain, s.Domain), func() { s.begun(a) })
}

// begun runs an attempt that has reached its server.
func (s *Server) begun(a *attempt) {
	w := s.world
	if !s.Alive {
		a.cut()
		return
	}
	s.Running[a.call.Request] = a
	a.call.Attempts++
	a.call.Server = s.ID
	w.judge(s)
	if !s.leftAt.IsZero() {
		s.LateWork = max(s.LateWork, w.Now.Sub(s.leftAt))
	}
	if w.Now.Before(s.coldUntil) {
		s.ColdMost = max(s.ColdMost, len(s.Running))
	}
	if a.call.Poison {
		w.After(w.Settings.Server.Token, s.Crash)
		return
	}
	if s.Kind == dtconfig.KindService {
		s.runCall(a)
		return
	}
	s.generate(a)
}

// judge notes by how much a server that was just given work is above the set multiple
// of the true mean of its group plus one request.
func (w *World) judge(s *Server) {
	total, n := 0, 0
	for _, other := range w.All {
		if other.Group == s.Group && other.Alive {
			total += len(other.Running)
			n++
		}
	}
	limit := w.Settings.Site.Limits.LoadBound*float64(total)/float64(max(n, 1)) + 1
	s.GivenOver = float64(len(s.Running)) - limit
	w.GivenOver = max(w.GivenOver, s.GivenOver)
}

// runCall runs a call of a plain service.
func (s *Server) runCall(a *attempt) {
	if a.call.Key != "" {
		s.Runs[a.call.Key]++
		s.world.ran(a.call)
	}
	s.world.After(s.world.jitter(s.world.Settings.Server.Call), func() { s.finish(a) })
}

// generate runs a chat: prefill, then tokens; cold servers and full batches are slower.
func (s *Server) generate(a *attempt) {
	w := s.world
	hit := s.Cache.Lookup(a.call.Prefixes)
	prompt := 0
	for _, p := range a.call.Prefixes {
		prompt += p.Tokens
	}
	s.Hit += hit
	s.Sent += prompt
	first := time.Duration(prompt-hit)*w.Settings.Server.Prefill + w.Settings.Server.Token
	const coldFactor = 10
	if w.Now.Before(s.coldUntil) {
		first *= coldFactor
	}
	if over := len(s.Running) - w.Settings.Server.Slots; over > 0 {
		first += time.Duration(over*int(a.call.Tokens)/max(w.Settings.Server.Slots, 1)) * w.Settings.Server.Token
	}
	w.After(first, func() {
		if a.done {
			return
		}
		a.call.First(w.Now)
		a.node.onLife(a.life, dtstate.FirstByte{Request: a.call.Request, Attempt: a.number, Wait: first})
		left := max(int(a.call.Tokens)-int(a.offset), 1)
		w.After(time.Duration(left)*w.Settings.Server.Token, func() {
			s.Cache.Add(a.call.Prefixes)
			a.offset = a.call.Tokens
			s.finish(a)
		})
	})
}

// finish ends an attempt whole, unless it was lost before.
func (s *Server) finish(a *attempt) {
	if a.done {
		return
	}
	a.done = true
	delete(s.Running, a.call.Request)
	a.end(dtstate.OutcomeCompleted)
}

// probe asks a server for its report.
func (w *World) probe(n *Node, e dtstate.Probe) {
	const patience = 700 * time.Millisecond
	life := n.life
	s := w.Servers[e.Server]
	ev := dtstate.ServerReported{Server: e.Server, Probe: dtstate.ProbeRefused}
	wait := w.jitter(w.Settings.Near) * 2
	switch {
	case s == nil || !s.Alive:
	case w.Cut(n.Domain, s.Domain):
		ev.Probe = dtstate.ProbeUnanswered
		wait = patience
	default:
		ev.Probe = dtstate.ProbeAnswered
		ev.Report = dtstate.ServerReport{Start: s.Start, Running: uint32(len(s.Running))}
	}
	const probeBytes = 420
	n.Bytes["probe"] += probeBytes
	n.Sent["probe"]++
	w.After(wait, func() { n.onLife(life, ev) })
}

// cancel frees the slot of an answer that nobody reads.
func (w *World) cancel(e dtstate.Cancel) {
	if s := w.Servers[e.Server]; s != nil {
		if a := s.Running[e.Request]; a != nil {
			a.done = true
			delete(s.Running, e.Request)
		}
	}
}

// lost cuts what a killed router had in flight, as its connections are closed.
func (w *World) lost(n *Node) {
	for _, s := range w.All {
		if s.Kind == dtconfig.KindService {
			continue
		}
		for _, id := range sortedKeys(s.Running) {
			if a := s.Running[id]; a.node == n {
				a.done = true
				delete(s.Running, id)
			}
		}
	}
}
