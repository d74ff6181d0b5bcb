package dtdispatch

import (
	"slices"
	"strings"
	"time"
)

// Config is one version of the operators' configuration.
type Config struct {
	Version       int64
	RoutesByHost  map[string][]Route // Routes by lower-case host name, longest prefix first.
	Services      map[string]Service
	AccountsByKey map[string]Account // Client accounts by API key; nil if API keys are not used.
	Limits        Limits
	Source        []byte // The text the configuration was decoded from, for forwarding to peers.
}

// NewConfig returns a configuration that matches the longest route prefix first.
func NewConfig(version int64, routes []Route) *Config {
	config := &Config{Version: version, RoutesByHost: map[string][]Route{}, Services: map[string]Service{}}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		config.RoutesByHost[host] = append(config.RoutesByHost[host], routes[i])
	}
	for _, hostRoutes := range config.RoutesByHost {
		slices.SortStableFunc(hostRoutes, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return config
}

// MatchRoute returns the route that serves path on host, or nil if there is none.
func (c *Config) MatchRoute(host, path string) *Route {
	routes := c.RoutesByHost[hostName(host)]
	for i := range routes {
		if strings.HasPrefix(path, routes[i].Prefix) {
			return &routes[i]
		}
	}
	return nil
}

// hostName returns the value of a Host header in lower case and without its port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Route describes how requests under one path prefix are served.
type Route struct {
	Name             string
	Host             string
	Prefix           string
	Streaming        bool
	Idempotent       bool // Requests may be executed more than once.
	Resumable        bool // An interrupted stream may be resumed on another server.
	Affinity         bool // Requests list the parts of their prompt and are placed by prompt affinity.
	Public           bool // No API key is required.
	Timeout          time.Duration
	LatencyObjective time.Duration
	MaxEventGap      time.Duration // Target for the maximum time between two events of a stream.
	MaxAttempts      int
	Priority         int // Zero is the most urgent.
	Shares           []Share
	AllowedRegions   []string // Regions whose servers may run a request; empty for all.
}

// IsRetryable reports whether a request may be retried after it may have been executed.
func (r *Route) IsRetryable() bool { return r.Idempotent || (r.Streaming && r.Resumable) }

// Kind returns the kind of the route as it appears in logs and metrics.
func (r *Route) Kind() string {
	switch {
	case r.Streaming:
		return "stream"
	case r.Idempotent:
		return "repeatable"
	}
	return "once"
}

// PickService returns the service that hash selects in proportion to the route's share
// weights, or "" if all weights are zero.
func (r *Route) PickService(hash uint64) string {
	total := uint64(0)
	for _, share := range r.Shares {
		total += uint64(max(share.Weight, 0))
	}
	if total == 0 {
		return ""
	}
	at := hash % total
	for _, share := range r.Shares {
		weight := uint64(max(share.Weight, 0))
		if at < weight {
			return share.Service
		}
		at -= weight
	}
	return ""
}

// Share assigns a weighted part of a route's requests to a service.
type Share struct {
	Service string
	Weight  int
}

// Service is the configuration of a group of backend servers.
type Service struct {
	Name           string
	MaxConnections int     // Maximum number of connections to one server from all routers together.
	ColdRate       float64 // Requests per second that a cold server can handle.
	StatusPath     string  // Path at which each server states its identity without running a request, or "".
	NamesStart     bool    // The answer there needs no slot of the server and names its start.
}

// Account is the configuration of a client account.
type Account struct {
	Name           string
	Priority       int      // Overrides the priority of the route unless negative.
	AllowedRegions []string // Regions whose servers may run a request; empty for all.
}

// Limits bound the size and the duration of what a caller sends.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}
