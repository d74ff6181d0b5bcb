package dtdispatch

import (
	"time"

	"github.com/dottereltack/dottereltack/core/dtcapacity"
)

const (
	// speedServiceAge is the time since its last statement for which a service counts as one whose servers state a speed.
	speedServiceAge = 15 * time.Second
	// speedMeanInterval is the interval at which the mean slowdown of a service is calculated.
	speedMeanInterval = 100 * time.Millisecond
	// serviceLoadInterval is the interval at which the load of a service is calculated that paces depend on.
	serviceLoadInterval = 50 * time.Millisecond
	// minReadTokens is the length of a prompt below which its reading can't be told from the rest of the time.
	minReadTokens = 1000
	// An answer is late if it takes lateFactor times the expected time and lateMargin. Prompts of one route differ by less.
	lateFactor = 3
	lateMargin = 100 * time.Millisecond
	// newsRatio is the least difference between a statement and the estimate that other routers are told of.
	newsRatio = 0.2
)

// Capacity is what a router knows of the capacity of servers.
type Capacity struct {
	Speeds   map[ServerID]*dtcapacity.Speed
	Services map[string]*ServiceCapacity
	Paces    map[ServerID]*ServerPace
	News     CapacityOutboxes
}

// ServiceCapacity is what a router knows of the servers of one service together.
type ServiceCapacity struct {
	StatedAt     time.Time                    // When one of them last stated its speed.
	Hold         dtcapacity.Usual             // Time for which a request holds a slot.
	Response     map[string]*dtcapacity.Usual // Time until the first event or the response, by route.
	PerToken     dtcapacity.Usual             // Time to read a token of a prompt.
	MeanSlowdown float64
	MeanAt       time.Time // When it was calculated.
	Load         dtcapacity.ServiceLoad
	Limit        float64   // Of the load of each server.
	LoadAt       time.Time // When Load and Limit were calculated.
}

// CapacityView is the view of the capacity of the servers of a service that one placement uses; nil for a service whose servers
// state no speed.
type CapacityView struct {
	Speeds       map[ServerID]*dtcapacity.Speed
	MeanSlowdown float64
	Work         dtcapacity.Work // Of the request.
	Deadline     time.Time       // Of the request.
}

// statesSpeed reports whether servers of a service have stated their speed lately.
func (c *Capacity) statesSpeed(service string, now time.Time) bool {
	known := c.Services[service]
	return known != nil && !known.StatedAt.IsZero() && now.Sub(known.StatedAt) < speedServiceAge
}

// serviceCapacity returns what is known of a service, creating it if needed.
func (c *Capacity) serviceCapacity(name string) *ServiceCapacity {
	if c.Services == nil {
		c.Services = map[string]*ServiceCapacity{}
	}
	return getOrCreate(c.Services, name, func() *ServiceCapacity {
		return &ServiceCapacity{Response: map[string]*dtcapacity.Usual{}}
	})
}

// speed returns the speed of a server, creating it if needed.
func (c *Capacity) speed(id ServerID) *dtcapacity.Speed {
	if c.Speeds == nil {
		c.Speeds = map[ServerID]*dtcapacity.Speed{}
	}
	return getOrCreate(c.Speeds, id, func() *dtcapacity.Speed { return &dtcapacity.Speed{} })
}

// Slowdown returns how long work takes at a server, as a multiple of the usual time.
func (c *Capacity) Slowdown(id ServerID, now time.Time) float64 {
	if speed := c.Speeds[id]; speed != nil {
		return speed.Slowdown(now)
	}
	return 1
}

// forget discards what is known of a server.
func (c *Capacity) forget(id ServerID) {
	delete(c.Speeds, id)
	delete(c.Paces, id)
}

// observeSpeed records the speed that a server has stated, and tells other routers if it is not what was expected.
func (s *State) observeSpeed(server *Server, slowdown float64, statedAt time.Time) (isNews bool) {
	if slowdown <= 0 {
		return false
	}
	speed := s.Capacity.speed(server.ID)
	estimate := speed.Slowdown(statedAt)
	speed.State(slowdown, statedAt)
	service := s.Capacity.serviceCapacity(server.Service)
	service.StatedAt = later(service.StatedAt, statedAt)
	return slowdown > (1+newsRatio)*estimate || slowdown*(1+newsRatio) < estimate
}

// capacityView returns the view for the placement of a request, or nil if the servers of its service state no speed.
func (s *State) capacityView(r *Request, now time.Time) *CapacityView {
	if !s.Capacity.statesSpeed(r.Service, now) {
		return nil
	}
	service := s.Capacity.Services[r.Service]
	if now.Sub(service.MeanAt) >= speedMeanInterval {
		sum, servers := 0.0, s.Roster.ByService[r.Service]
		for _, server := range servers {
			sum += s.Capacity.Slowdown(server.ID, now)
		}
		service.MeanSlowdown, service.MeanAt = sum/float64(max(len(servers), 1)), now
	}
	return &CapacityView{
		Speeds: s.Capacity.Speeds, MeanSlowdown: service.MeanSlowdown, Deadline: r.Deadline,
		Work: dtcapacity.Work{Hold: service.Hold.Time(), PerToken: service.PerToken.Time()},
	}
}

// Slowdown returns how long work takes at a server, as a multiple of the usual time.
func (v *LoadView) Slowdown(server *Server) float64 {
	if v.Capacity == nil {
		return 1
	}
	if speed := v.Capacity.Speeds[server.ID]; speed != nil {
		return speed.Slowdown(v.Now)
	}
	return 1
}

// WeightedLoad returns the load of a server with one more request, weighted by how much longer than the mean of the service work takes
// there. It is the plain load where servers state no speed, or the server is not slower than the mean.
func (v *LoadView) WeightedLoad(server *Server, load int) float64 {
	if v.Capacity == nil {
		return float64(load + 1)
	}
	return float64(load+1) * max(v.Slowdown(server)/v.Capacity.MeanSlowdown, 1)
}

// ExpectedStart returns when a request with so many tokens to read would start at a server with a load.
func (v *LoadView) ExpectedStart(server *Server, load, tokens int) dtcapacity.Start {
	if v.Capacity == nil {
		return dtcapacity.Start{}
	}
	slots := server.Slots
	if known := v.Loads[server.ID]; known != nil {
		if known.Slots > 0 {
			slots = known.Slots
		}
		if v.Now.Sub(known.ReportedAt) < maxReportAge {
			load = max(load, known.Reported+known.SentSinceReport)
		}
	}
	work := v.Capacity.Work
	work.Tokens = tokens
	return dtcapacity.ExpectedStart(dtcapacity.Load{InFlight: load, Slots: slots, Slowdown: v.Slowdown(server)}, work)
}

// tokensToRead returns how many tokens of a prompt a server has still to read, as far as is known.
func (s *State) tokensToRead(parts []PromptPart, server *Server, now time.Time) int {
	tokens := 0
	for i := len(parts) - 1; i >= 0; i-- {
		if holder, isKnown := s.Prompts.Holder(parts[i].ID, now); isKnown && holder == server.Ref() {
			break
		}
		tokens += max(parts[i].Tokens, 0)
	}
	return tokens
}
