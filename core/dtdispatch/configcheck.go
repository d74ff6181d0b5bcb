package dtdispatch

import (
	"fmt"
	"strings"
)

// ConfigError is a setting of a configuration that makes a route unusable.
type ConfigError struct {
	Route  string
	Field  string
	Value  string
	Reason string
}

// Error implements the error interface.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("route %q: %s: %q %s", e.Route, e.Field, e.Value, e.Reason)
}

// Check returns the problems of the configuration, ordered by host.
func (c *Config) Check() []*ConfigError {
	var problems []*ConfigError
	for _, host := range sortedKeys(c.RoutesByHost) {
		seen := map[string]string{}
		for i := range c.RoutesByHost[host] {
			route := &c.RoutesByHost[host][i]
			problems = append(problems, c.checkRoute(route)...)
			if other, isDuplicate := seen[route.Prefix]; isDuplicate {
				problems = append(problems, route.problem("prefix", route.Prefix, "is also used by route "+other+" on the same host"))
			}
			seen[route.Prefix] = route.Name
		}
	}
	return problems
}

// problem returns an error about one field of the route.
func (r *Route) problem(field, value, reason string) *ConfigError {
	return &ConfigError{Route: r.Name, Field: field, Value: value, Reason: reason}
}

// checkRoute returns the problems of one route.
func (c *Config) checkRoute(r *Route) []*ConfigError {
	var problems []*ConfigError
	if r.Host == "" {
		problems = append(problems, r.problem("host", r.Host, "is empty"))
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		problems = append(problems, r.problem("prefix", r.Prefix, "does not begin and end with a slash"))
	}
	if r.Timeout <= 0 {
		problems = append(problems, r.problem("timeout", r.Timeout.String(), "is not positive"))
	}
	total := 0
	for _, share := range r.Shares {
		total += max(share.Weight, 0)
		if _, known := c.Services[share.Service]; !known {
			problems = append(problems, r.problem("service", share.Service, "is not among the services"))
		}
	}
	if total == 0 {
		problems = append(problems, r.problem("service", "", "the share weights add up to zero"))
	}
	return problems
}
