package dtdispatch

import (
	"fmt"
	"strings"
)

// ConfigError describes an invalid value in the configuration that makes a route unusable.
type ConfigError struct {
	Route  string
	Field  string
	Value  string
	Reason string
}

// Error formats the error as `route "name": field: "value" reason`.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("route %q: %s: %q %s", e.Route, e.Field, e.Value, e.Reason)
}

// Check returns the errors of the configuration, ordered by host.
func (c *Config) Check() []*ConfigError {
	var errs []*ConfigError
	for _, host := range sortedKeys(c.RoutesByHost) {
		seen := map[string]string{}
		for i := range c.RoutesByHost[host] {
			route := &c.RoutesByHost[host][i]
			errs = append(errs, c.checkRoute(route)...)
			if other, isDuplicate := seen[route.Prefix]; isDuplicate {
				errs = append(errs, route.configError("prefix", route.Prefix, "is also used by route "+other+" on the same host"))
			}
			seen[route.Prefix] = route.Name
		}
	}
	return errs
}

func (r *Route) configError(field, value, reason string) *ConfigError {
	return &ConfigError{Route: r.Name, Field: field, Value: value, Reason: reason}
}

func (c *Config) checkRoute(r *Route) []*ConfigError {
	var errs []*ConfigError
	if r.Host == "" {
		errs = append(errs, r.configError("host", r.Host, "is empty"))
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		errs = append(errs, r.configError("prefix", r.Prefix, "does not begin and end with a slash"))
	}
	if r.Timeout <= 0 {
		errs = append(errs, r.configError("timeout", r.Timeout.String(), "is not positive"))
	}
	total := 0
	for _, share := range r.Shares {
		total += max(share.Weight, 0)
		if _, known := c.Services[share.Service]; !known {
			errs = append(errs, r.configError("service", share.Service, "is not among the services"))
		}
	}
	if total == 0 {
		errs = append(errs, r.configError("service", "", "cannot be selected because the share weights add up to zero"))
	}
	return errs
}
