package dtoperator

import (
	"crypto/subtle"
	"net"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"

	"github.com/dottereltack/dottereltack/core/dtintake"
	"github.com/dottereltack/dottereltack/core/dtstate"
	"github.com/dottereltack/dottereltack/dottereltack/dtsocket"
	"github.com/dottereltack/dottereltack/dottereltack/dttimeline"
)

// Paths of the operator API.
const (
	PathStatus   = "/operator/status"
	PathTimeline = "/operator/timeline"
	PathRefusals = "/operator/refusals"
	PathDomains  = "/operator/domains"
)

// Limits of operators' connections.
const (
	maxBodyBytes = 64 << 10
	maxConns     = 64
	readTimeout  = 5 * time.Second
	writeTimeout = 30 * time.Second // The timeline may be long.
	idleTimeout  = 30 * time.Second
)

// HeaderKey is the header with the shared key that authenticates an operator.
const HeaderKey = "X-Operator-Key"

// loop runs functions and posts events on the goroutine that owns the state.
type loop interface {
	Do(f func(*dtstate.State)) bool
	Post(ev dtstate.Event)
}

// eventSource returns the router's events since a hybrid timestamp.
type eventSource interface {
	Events(since uint64) []dttimeline.Event
}

// Status is a router's view of itself and of the fleet.
type Status struct {
	Router             string         `json:"router"`
	FailureDomain      string         `json:"failure_domain"`
	Start              uint64         `json:"start"` // Start time in Unix milliseconds; identifies the incarnation.
	ConfigVersion      uint64         `json:"config_version"`
	KnownConfigVersion uint64         `json:"config_known"`             // Newest version that the router knows of.
	ConfigProblem      string         `json:"config_problem,omitempty"` // Why the newest version is not in force.
	Leader             bool           `json:"keeper"`                   // Whether the router holds its failure domain's leader lease.
	FencingNumber      uint64         `json:"fencing_number,omitempty"`
	Requests           int            `json:"requests"` // Requests in flight that this router accepted.
	Slots              int            `json:"slots"`    // Attempts in flight at servers that the router owns.
	UnstoredRefusals   uint64         `json:"refusals_unstored"`
	LastRefusalNumber  uint64         `json:"refusals_numbered"`
	OrderPageWrites    uint64         `json:"order_page_writes"`
	Members            []MemberStatus `json:"members"`
	Domains            []DomainStatus `json:"failure_domains"`
	Servers            []ServerStatus `json:"servers"`
}

// MemberStatus is a router's view of a member of the fleet.
type MemberStatus struct {
	Router           string `json:"router"`
	FailureDomain    string `json:"failure_domain"`
	Address          string `json:"address"`
	OperatorsAddress string `json:"operators_address"`
	Status           string `json:"state"`
}

// DomainStatus is a router's view of a failure domain.
type DomainStatus struct {
	FailureDomain string `json:"failure_domain"`
	OutOfService  bool   `json:"out"`
	Reachable     bool   `json:"reachable"`
}

// ServerStatus is a router's view of a backend server.
type ServerStatus struct {
	Server        string `json:"server"`
	Group         string `json:"group"`
	FailureDomain string `json:"failure_domain"`
	Owner         string `json:"owner"`
	InFlight      uint32 `json:"inflight"`
	Work          uint32 `json:"work"`
	Cap           uint32 `json:"cap"`
	Cold          bool   `json:"cold"`
	Down          bool   `json:"down"`
	Draining      bool   `json:"leaving"`
	Owned         bool   `json:"mine"` // Whether the reporting router owns the server.
}

// PendingRefusals lists a router's refusals that the platform does not store yet.
type PendingRefusals struct {
	Router        string                `json:"router"`
	Start         uint64                `json:"start"`   // Start time in Unix milliseconds.
	LastNumber    uint64                `json:"numbers"` // Number of the incarnation's last refusal.
	Pages         []dtstate.RefusalPage `json:"pages"`
	PeerPositions []LedgerPosition      `json:"heard"` // Last refusal numbers that peers announced.
}

// LedgerPosition is the last refusal number that a router has announced for one of its
// incarnations.
type LedgerPosition struct {
	Router     string `json:"router"`
	Start      uint64 `json:"start"` // Start time in Unix milliseconds.
	LastNumber uint64 `json:"numbers"`
}

// Server serves the operator API.
type Server struct {
	app      *fiber.App
	listener net.Listener
	key      string
	loop     loop
	events   eventSource
	wg       conc.WaitGroup
}

// New returns a server that listens on address but does not serve yet.
func New(address, key string, l loop, events eventSource) (*Server, error) {
	listener, err := dtsocket.Listen(address, dtintake.NarrowReceiveBytes)
	if err != nil {
		return nil, merry.Wrap(err, merry.WithValue("step", "listen_operators"), merry.WithValue("peer", address))
	}
	s := &Server{listener: listener, key: key, loop: l, events: events, app: fiber.New(fiber.Config{
		BodyLimit: maxBodyBytes, Concurrency: maxConns, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
	})}
	s.app.Use(s.authorize)
	s.app.Get(PathStatus, s.status)
	s.app.Get(PathTimeline, s.timeline)
	s.app.Get(PathRefusals, s.refusals)
	s.app.Post(PathDomains+"/:name/:word", s.switchDomain)
	return s, nil
}

// Start serves in the background.
func (s *Server) Start() {
	s.wg.Go(func() { _ = s.app.Listener(s.listener, fiber.ListenConfig{DisableStartupMessage: true}) })
}

// Stop shuts the server down.
func (s *Server) Stop() {
	_ = s.app.ShutdownWithTimeout(time.Second)
	s.wg.Wait()
}

// authorize rejects requests without the shared key.
func (s *Server) authorize(c fiber.Ctx) error {
	if subtle.ConstantTimeCompare([]byte(c.Get(HeaderKey)), []byte(s.key)) != 1 {
		return c.SendStatus(fiber.StatusUnauthorized)
	}
	return c.Next()
}

func (s *Server) status(c fiber.Ctx) error {
	var out Status
	now := time.Now()
	if !s.loop.Do(func(st *dtstate.State) { out = StatusOf(st, now) }) {
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	return c.JSON(out)
}

// StatusOf returns the status of the router with the given state.
func StatusOf(st *dtstate.State, now time.Time) Status {
	out := Status{
		Router: string(st.Settings.Self), FailureDomain: string(st.Settings.Domain), Start: st.Settings.Start,
		ConfigVersion: st.Config.Version, KnownConfigVersion: st.Config.KnownVersion, ConfigProblem: st.Config.Problem,
		Leader: st.Leader.HoldsLease(now), FencingNumber: st.Leader.FencingNumber,
		Requests: len(st.Entry.Requests), Slots: len(st.Owner.Slots),
		UnstoredRefusals: st.Ledger.Unstored(), LastRefusalNumber: st.Ledger.LastNumber, OrderPageWrites: st.Orders.WriteCount,
	}
	for _, id := range st.MemberIDs() {
		m := st.Members.ByID[id]
		out.Members = append(out.Members, MemberStatus{
			Router: string(id), FailureDomain: string(m.Domain), Address: m.Address, OperatorsAddress: m.OperatorsAddress, Status: m.Status.String(),
		})
	}
	for _, d := range st.Fleet.Domains {
		out.Domains = append(out.Domains, DomainStatus{
			FailureDomain: string(d), OutOfService: st.DomainOutOfService(d), Reachable: st.DomainReachable(d, now),
		})
	}
	for _, name := range st.Fleet.GroupNames {
		for _, sv := range st.Fleet.Groups[name].Servers {
			out.Servers = append(out.Servers, serverStatus(sv))
		}
	}
	return out
}

func serverStatus(sv *dtstate.BackendServer) ServerStatus {
	out := ServerStatus{
		Server: string(sv.ID), Group: sv.Group, FailureDomain: string(sv.Domain),
		InFlight: sv.Load.InFlight, Work: sv.Load.Work, Cap: sv.Load.Cap,
		Cold: sv.Cold(), Down: sv.Down(), Draining: sv.Draining, Owned: sv.Owned != nil,
	}
	if sv.Shard != nil {
		out.Owner = string(sv.Shard.Owner)
	}
	return out
}

func (s *Server) timeline(c fiber.Ctx) error {
	since, _ := strconv.ParseUint(c.Query("since"), 10, 64)
	return c.JSON(s.events.Events(since))
}

func (s *Server) refusals(c fiber.Ctx) error {
	var out PendingRefusals
	ok := s.loop.Do(func(st *dtstate.State) {
		out = PendingRefusals{Router: string(st.Settings.Self), Start: st.Settings.Start, LastNumber: st.Ledger.LastNumber}
		out.Pages = st.Ledger.Pages()
		for id, positions := range st.Members.LedgerPositions {
			for _, position := range positions {
				out.PeerPositions = append(out.PeerPositions, LedgerPosition{Router: string(id), Start: position.Start, LastNumber: position.Number})
			}
		}
	})
	if !ok {
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	return c.JSON(out)
}

func (s *Server) switchDomain(c fiber.Ctx) error {
	action := c.Params("word")
	if action != "out" && action != "in" {
		return c.SendStatus(fiber.StatusBadRequest)
	}
	name := dtstate.FailureDomain(append([]byte(nil), c.Params("name")...))
	var problem string
	force := c.Query("force") != ""
	s.loop.Do(func(st *dtstate.State) { problem = checkSwitch(st, name, action == "out", force) })
	if problem != "" {
		return c.Status(fiber.StatusConflict).SendString(problem)
	}
	s.loop.Post(dtstate.DomainSwitched{Domain: name, Out: action == "out"})
	return c.SendStatus(fiber.StatusAccepted)
}

// checkSwitch returns why a failure domain may not be switched, or "" if it may.
func checkSwitch(st *dtstate.State, name dtstate.FailureDomain, out, force bool) string {
	if st.Config.Site == nil {
		return "this router has no configuration yet"
	}
	othersInService := 0
	for d := range st.Config.Site.FailureDomains {
		if d != string(name) && !st.DomainOutOfService(dtstate.FailureDomain(d)) {
			othersInService++
		}
	}
	_, known := st.Config.Site.FailureDomains[string(name)]
	switch {
	case !known:
		return "unknown failure domain " + string(name)
	case out && othersInService == 0 && !force:
		return "no other failure domain is in service; force is needed"
	}
	return ""
}
