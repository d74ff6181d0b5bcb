package dtoperator

import (
	"crypto/subtle"
	"net"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"

	"github.com/dottereltack/dottereltack/core/dtstate"
	"github.com/dottereltack/dottereltack/dottereltack/dttimeline"
)

// Paths of the operators' interface.
const (
	PathStatus   = "/operator/status"
	PathTimeline = "/operator/timeline"
	PathRefusals = "/operator/refusals"
	PathDomains  = "/operator/domains"
)

// HeaderKey carries the shared key that proves an operator's call.
const HeaderKey = "X-Operator-Key"

// control runs f on the goroutine that owns the state.
type control interface {
	Ask(f func(*dtstate.State)) bool
	Post(ev dtstate.Event)
}

// timeline is the router's ring of events.
type timeline interface {
	Events(since uint64) []dttimeline.Event
}

// Status is what a router says of itself and of the fleet.
type Status struct {
	Router        string         `json:"router"`
	FailureDomain string         `json:"failure_domain"`
	Start         uint64         `json:"start"`
	Version       uint64         `json:"config_version"`
	Known         uint64         `json:"config_known"`
	Problem       string         `json:"config_problem,omitempty"`
	Keeper        bool           `json:"keeper"`
	Fence         uint64         `json:"fencing_number,omitempty"`
	Requests      int            `json:"requests"`
	Slots         int            `json:"slots"`
	Unstored      uint64         `json:"refusals_unstored"`
	Refusals      uint64         `json:"refusals_numbered"`
	PageWrites    uint64         `json:"order_page_writes"`
	Members       []MemberStatus `json:"members"`
	Domains       []DomainStatus `json:"failure_domains"`
	Servers       []ServerStatus `json:"servers"`
}

// MemberStatus is what a router believes of another.
type MemberStatus struct {
	Router        string `json:"router"`
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"`
	Operators     string `json:"operators_address"`
	State         string `json:"state"`
}

// DomainStatus is whether a failure domain is in service and reachable.
type DomainStatus struct {
	FailureDomain string `json:"failure_domain"`
	Out           bool   `json:"out"`
	Reachable     bool   `json:"reachable"`
}

// ServerStatus is what a router knows of a backend server.
type ServerStatus struct {
	Server        string `json:"server"`
	Group         string `json:"group"`
	FailureDomain string `json:"failure_domain"`
	Owner         string `json:"owner"`
	Inflight      uint32 `json:"inflight"`
	Work          uint32 `json:"work"`
	Cap           uint32 `json:"cap"`
	Cold          bool   `json:"cold"`
	Down          bool   `json:"down"`
	Leaving       bool   `json:"leaving"`
	Mine          bool   `json:"mine"`
}

// Pending is the refusals that the platform does not hold yet.
type Pending struct {
	Router  string                `json:"router"`
	Start   uint64                `json:"start"`
	Numbers uint64                `json:"numbers"`
	Pages   []dtstate.RefusalPage `json:"pages"`
	Heard   []Mark                `json:"heard"`
}

// Mark is how many refusals a router said that it has numbered.
type Mark struct {
	Router  string `json:"router"`
	Start   uint64 `json:"start"`
	Numbers uint64 `json:"numbers"`
}

// Server serves operators.
type Server struct {
	app     *fiber.App
	ln      net.Listener
	key     string
	control control
	ring    timeline
	group   conc.WaitGroup
}

// New returns a server that holds its address but does not serve yet.
func New(address, key string, c control, ring timeline) (*Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, merry.Wrap(err, merry.WithValue("step", "listen_operators"), merry.WithValue("peer", address))
	}
	s := &Server{ln: ln, key: key, control: c, ring: ring, app: fiber.New()}
	s.app.Use(s.authorize)
	s.app.Get(PathStatus, s.status)
	s.app.Get(PathTimeline, s.timeline)
	s.app.Get(PathRefusals, s.refusals)
	s.app.Post(PathDomains+"/:name/:word", s.domain)
	return s, nil
}

// Start serves in the background.
func (s *Server) Start() {
	s.group.Go(func() { _ = s.app.Listener(s.ln, fiber.ListenConfig{DisableStartupMessage: true}) })
}

// Stop ends the server.
func (s *Server) Stop() {
	_ = s.app.ShutdownWithTimeout(time.Second)
	s.group.Wait()
}

// authorize lets only those through who hold the shared key.
func (s *Server) authorize(c fiber.Ctx) error {
	if subtle.ConstantTimeCompare([]byte(c.Get(HeaderKey)), []byte(s.key)) != 1 {
		return c.SendStatus(fiber.StatusUnauthorized)
	}
	return c.Next()
}

func (s *Server) status(c fiber.Ctx) error {
	var out Status
	now := time.Now()
	if !s.control.Ask(func(st *dtstate.State) { out = StatusOf(st, now) }) {
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	return c.JSON(out)
}

// StatusOf returns what a state says of itself and of the fleet.
func StatusOf(st *dtstate.State, now time.Time) Status {
	out := Status{
		Router: string(st.Settings.Self), FailureDomain: string(st.Settings.Domain), Start: st.Settings.Start,
		Version: st.Config.Version, Known: st.Config.KnownVersion, Problem: st.Config.Problem,
		Keeper: st.Leader.HoldsLease(now), Fence: st.Leader.FencingNumber,
		Requests: len(st.Entry.Requests), Slots: len(st.Owner.Slots),
		Unstored: st.Ledger.Unstored(), Refusals: st.Ledger.LastNumber, PageWrites: st.Orders.Writes,
	}
	for _, id := range st.MemberIDs() {
		m := st.Members.ByID[id]
		out.Members = append(out.Members, MemberStatus{
			Router: string(id), FailureDomain: string(m.Domain), Address: m.Address, Operators: m.OperatorAddress, State: m.Status.String(),
		})
	}
	for _, d := range st.Fleet.Domains {
		out.Domains = append(out.Domains, DomainStatus{
			FailureDomain: string(d), Out: st.DomainOut(d), Reachable: st.DomainReachable(d, now),
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
		Inflight: sv.Load.Inflight, Work: sv.Load.Work, Cap: sv.Load.Cap,
		Cold: sv.Cold(), Down: sv.Down(), Leaving: sv.Leaving, Mine: sv.Owned != nil,
	}
	if sv.Shard != nil {
		out.Owner = string(sv.Shard.Owner)
	}
	return out
}

func (s *Server) timeline(c fiber.Ctx) error {
	since, _ := strconv.ParseUint(c.Query("since"), 10, 64)
	return c.JSON(s.ring.Events(since))
}

func (s *Server) refusals(c fiber.Ctx) error {
	var out Pending
	ok := s.control.Ask(func(st *dtstate.State) {
		out = Pending{Router: string(st.Settings.Self), Start: st.Settings.Start, Numbers: st.Ledger.LastNumber}
		out.Pages = st.Ledger.Pages()
		for id, marks := range st.Members.LedgerPositions {
			for _, mark := range marks {
				out.Heard = append(out.Heard, Mark{Router: string(id), Start: mark.Start, Numbers: mark.Number})
			}
		}
	})
	if !ok {
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	return c.JSON(out)
}

func (s *Server) domain(c fiber.Ctx) error {
	word := c.Params("word")
	if word != "out" && word != "in" {
		return c.SendStatus(fiber.StatusBadRequest)
	}
	name := dtstate.FailureDomain(append([]byte(nil), c.Params("name")...))
	var problem string
	force := c.Query("force") != ""
	s.control.Ask(func(st *dtstate.State) { problem = maySwitch(st, name, word == "out", force) })
	if problem != "" {
		return c.Status(fiber.StatusConflict).SendString(problem)
	}
	s.control.Post(dtstate.DomainSwitched{Domain: name, Out: word == "out"})
	return c.SendStatus(fiber.StatusAccepted)
}

// maySwitch returns why a failure domain may not be switched, or nothing.
func maySwitch(st *dtstate.State, name dtstate.FailureDomain, out, force bool) string {
	if st.Config.Site == nil {
		return "this router has no configuration yet"
	}
	others := 0
	for d := range st.Config.Site.FailureDomains {
		if d != string(name) && !st.DomainOut(dtstate.FailureDomain(d)) {
			others++
		}
	}
	_, known := st.Config.Site.FailureDomains[string(name)]
	switch {
	case !known:
		return "unknown failure domain " + string(name)
	case out && others == 0 && !force:
		return "no other failure domain is in service; force is needed"
	}
	return ""
}
