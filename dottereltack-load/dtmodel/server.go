package dtmodel

import (
	"fmt"
	"time"

	"github.com/dottereltack/dottereltack/core/dtconfig"
	"github.com/dottereltack/dottereltack/core/dtstate"
	"github.com/dottereltack/dottereltack/dottereltack-stand/dtengine"
)

// ServerSettings describes the behavior of simulated backend servers.
type ServerSettings struct {
	Slots           int
	ColdMaxInFlight int           // Requests in flight allowed at a cold engine.
	ColdTime        time.Duration // Duration of the cold period after a start; zero for none.
	TokenTime       time.Duration // Time per generated token.
	PrefillTime     time.Duration // Time per uncached prompt token.
	CacheTokens     int
	CallTime        time.Duration // Time per call of a plain service.
	RestartTime     time.Duration
}

// Server is a simulated backend server.
type Server struct {
	ID                         dtstate.ServerID
	Domain                     string
	Group                      string
	Kind                       string
	Start                      uint64 // Start of this incarnation in Unix milliseconds.
	Alive                      bool
	Silent                     bool // Open connections transfer no data.
	Cache                      *dtengine.Cache
	Running                    map[dtstate.RequestID]*attempt
	Executions                 map[string]int // Executions by order key.
	CachedTokens, PromptTokens int            // Prompt tokens found in the cache, and in total.
	MaxRunningCold             int            // Most requests in flight while it was cold.
	Crashes                    int
	LastWorkAfterDraining      time.Duration // Time from being listed as draining to its last new request.
	DispatchExcess             float64       // Requests above its load bound when it last got one; negative below the bound.
	drainingSince              time.Time
	coldUntil                  time.Time
	sim                        *Simulation
}

// attempt is a request in flight at a server.
type attempt struct {
	router      *Router
	incarnation int
	request     *Request
	number      uint32
	offset      uint32
	ended       bool
}

// addServers creates the backend servers and adds them to the list of hosts.
func (sim *Simulation) addServers() {
	for d := range sim.Settings.Domains {
		for i := range sim.Settings.EnginesPerDomain {
			g := i % max(sim.Settings.EngineGroups, 1)
			sim.addServer(fmt.Sprintf("engine-%d-%d", d, i), dtconfig.KindEngine, GroupName(g), d)
		}
		for i := range sim.Settings.ServicesPerDomain {
			sim.addServer(fmt.Sprintf("service-%d-%d", d, i), dtconfig.KindService, ServiceGroup, d)
		}
	}
}

func (sim *Simulation) addServer(id, kind, group string, domain int) {
	s := &Server{ID: dtstate.ServerID(id), Domain: DomainName(domain), Group: group, Kind: kind, sim: sim, Executions: map[string]int{}}
	s.start()
	sim.ServersByID[s.ID] = s
	sim.Servers = append(sim.Servers, s)
	sim.Platform.hostRevision++
	sim.Platform.hosts = append(sim.Platform.hosts, s.hostEntry(sim.Platform.hostRevision))
}

func (s *Server) hostEntry(revision uint64) dtstate.Host {
	var d int
	_, _ = fmt.Sscanf(s.Domain, "dom-%d", &d)
	return dtstate.Host{
		ID: string(s.ID), Kind: s.Kind, Address: string(s.ID), Domain: dtstate.FailureDomain(s.Domain),
		Region: dtstate.Region(s.sim.region(d)), Group: s.Group, Revision: revision,
	}
}

// SetListed lists the server as draining, as gone or as live again.
func (s *Server) SetListed(draining, gone bool) {
	h := s.hostEntry(0)
	h.Draining, h.Gone = draining, gone
	s.drainingSince = time.Time{}
	if draining {
		s.drainingSince = s.sim.Now
	}
	s.sim.Platform.UpdateHost(h)
}

// start begins a new incarnation.
func (s *Server) start() {
	s.Start = uint64(s.sim.Now.UnixMilli())
	s.Alive = true
	s.Running = map[dtstate.RequestID]*attempt{}
	s.MakeCold(s.sim.Settings.Server.ColdTime)
}

// MakeCold clears the cache and makes the server cold for d.
func (s *Server) MakeCold(d time.Duration) {
	s.Cache = dtengine.NewCache(max(s.sim.Settings.Server.CacheTokens, 1))
	s.coldUntil = s.sim.Now.Add(d)
}

// Crash ends the server and interrupts its requests; it restarts after RestartTime.
func (s *Server) Crash() {
	if !s.Alive {
		return
	}
	s.Alive = false
	s.Crashes++
	interrupted := s.Running
	s.Running = map[dtstate.RequestID]*attempt{}
	for _, id := range sortedKeys(interrupted) {
		interrupted[id].disconnect()
	}
	s.sim.AfterFunc(s.sim.Settings.Server.RestartTime, s.start)
}

// disconnect reports a lost connection to the router.
func (a *attempt) disconnect() {
	if a.ended {
		return
	}
	a.ended = true
	a.reportOutcome(dtstate.OutcomeCut)
}

// reportOutcome reports the outcome to the router incarnation that sent the attempt.
func (a *attempt) reportOutcome(outcome dtstate.Outcome) {
	ev := dtstate.AttemptEnded{Request: a.request.ID, Attempt: a.number, Outcome: outcome, Offset: a.offset, Status: 200}
	if a.request.Key != "" {
		ev.Answer = []byte(a.request.Key)
	}
	sim := a.router.sim
	incarnation := a.incarnation
	sim.AfterFunc(sim.jitter(sim.Settings.SameDomainDelay), func() {
		if outcome == dtstate.OutcomeCompleted && a.router.incarnation == incarnation && a.router.Alive {
			sim.completeRequest(a.request, ev)
		}
		a.router.deliverTo(incarnation, ev)
	})
}

// dispatch sends an attempt to its server, or reports that it could not be sent.
func (sim *Simulation) dispatch(router *Router, e dtstate.Dispatch) {
	request := sim.Requests[e.Request]
	if request == nil {
		return
	}
	a := &attempt{router: router, incarnation: router.incarnation, request: request, number: e.Attempt, offset: e.Offset}
	s := sim.ServersByID[e.Server]
	if sim.Now.After(e.SendBefore) || s == nil || !s.Alive || sim.IsPartitioned(router.Domain, s.Domain) {
		a.ended = true
		a.reportOutcome(dtstate.OutcomeNotSent)
		return
	}
	sim.AfterFunc(sim.networkDelay(router.Domain, s.Domain), func() { s.receive(a) })
}

func (s *Server) receive(a *attempt) {
	sim := s.sim
	if !s.Alive {
		a.disconnect()
		return
	}
	s.Running[a.request.ID] = a
	a.request.Attempts++
	a.request.Server = s.ID
	sim.recordDispatchExcess(s)
	if !s.drainingSince.IsZero() {
		s.LastWorkAfterDraining = max(s.LastWorkAfterDraining, sim.Now.Sub(s.drainingSince))
	}
	if sim.Now.Before(s.coldUntil) {
		s.MaxRunningCold = max(s.MaxRunningCold, len(s.Running))
	}
	if a.request.Poison {
		sim.AfterFunc(sim.Settings.Server.TokenTime, s.Crash)
		return
	}
	if s.Kind == dtconfig.KindService {
		s.executeServiceCall(a)
		return
	}
	s.generate(a)
}

// recordDispatchExcess updates the DispatchExcess of a server that has just received a
// request. Its bound is LoadBound times the group's actual mean in flight, plus one.
func (sim *Simulation) recordDispatchExcess(s *Server) {
	total, n := 0, 0
	for _, other := range sim.Servers {
		if other.Group == s.Group && other.Alive {
			total += len(other.Running)
			n++
		}
	}
	bound := sim.Settings.Site.Limits.LoadBound*float64(total)/float64(max(n, 1)) + 1
	s.DispatchExcess = float64(len(s.Running)) - bound
	sim.MaxDispatchExcess = max(sim.MaxDispatchExcess, s.DispatchExcess)
}

func (s *Server) executeServiceCall(a *attempt) {
	if a.request.Key != "" {
		s.Executions[a.request.Key]++
		s.sim.recordExecution(a.request)
	}
	s.sim.AfterFunc(s.sim.jitter(s.sim.Settings.Server.CallTime), func() { s.complete(a) })
}

// generate simulates an answer: prefill, then one token after another. Cold servers and
// servers with more requests than slots are slower.
func (s *Server) generate(a *attempt) {
	sim := s.sim
	cached := s.Cache.Lookup(a.request.Prefixes)
	prompt := 0
	for _, p := range a.request.Prefixes {
		prompt += p.Tokens
	}
	s.CachedTokens += cached
	s.PromptTokens += prompt
	firstTokenTime := time.Duration(prompt-cached)*sim.Settings.Server.PrefillTime + sim.Settings.Server.TokenTime
	const coldFactor = 10
	if sim.Now.Before(s.coldUntil) {
		firstTokenTime *= coldFactor
	}
	if excess := len(s.Running) - sim.Settings.Server.Slots; excess > 0 {
		firstTokenTime += time.Duration(excess*int(a.request.Tokens)/max(sim.Settings.Server.Slots, 1)) * sim.Settings.Server.TokenTime
	}
	sim.AfterFunc(firstTokenTime, func() {
		if a.ended {
			return
		}
		a.request.RecordFirstByte(sim.Now)
		a.router.deliverTo(a.incarnation, dtstate.FirstByte{Request: a.request.ID, Attempt: a.number, Wait: firstTokenTime})
		remaining := max(int(a.request.Tokens)-int(a.offset), 1)
		sim.AfterFunc(time.Duration(remaining)*sim.Settings.Server.TokenTime, func() {
			s.Cache.Add(a.request.Prefixes)
			a.offset = a.request.Tokens
			s.complete(a)
		})
	})
}

// complete ends an attempt with a complete answer, unless it has already ended.
func (s *Server) complete(a *attempt) {
	if a.ended {
		return
	}
	a.ended = true
	delete(s.Running, a.request.ID)
	a.reportOutcome(dtstate.OutcomeCompleted)
}

// probe requests a server's load report.
func (sim *Simulation) probe(router *Router, e dtstate.Probe) {
	const probeTimeout = 700 * time.Millisecond
	incarnation := router.incarnation
	s := sim.ServersByID[e.Server]
	ev := dtstate.ProbeCompleted{Server: e.Server, Result: dtstate.ProbeRefused}
	delay := sim.jitter(sim.Settings.SameDomainDelay) * 2
	switch {
	case s == nil || !s.Alive:
	case sim.IsPartitioned(router.Domain, s.Domain):
		ev.Result = dtstate.ProbeUnanswered
		delay = probeTimeout
	default:
		ev.Result = dtstate.ProbeAnswered
		ev.Report = dtstate.ServerReport{Start: s.Start, Running: uint32(len(s.Running))}
	}
	const probeBytes = 420
	router.SentBytes["probe"] += probeBytes
	router.SentMessages["probe"]++
	sim.AfterFunc(delay, func() { router.deliverTo(incarnation, ev) })
}

// cancel ends a request whose answer is no longer wanted and reports no outcome.
func (sim *Simulation) cancel(e dtstate.Cancel) {
	if s := sim.ServersByID[e.Server]; s != nil {
		if a := s.Running[e.Request]; a != nil {
			a.ended = true
			delete(s.Running, e.Request)
		}
	}
}

// dropAttempts ends the requests in flight of a killed router, whose connections close;
// calls of plain services run on.
func (sim *Simulation) dropAttempts(router *Router) {
	for _, s := range sim.Servers {
		if s.Kind == dtconfig.KindService {
			continue
		}
		for _, id := range sortedKeys(s.Running) {
			if a := s.Running[id]; a.router == router {
				a.ended = true
				delete(s.Running, id)
			}
		}
	}
}
