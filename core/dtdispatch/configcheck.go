package dtdispatch

import (
	"fmt"
	"strconv"
	"strings"
)

// ConfigError describes an invalid value in the configuration that makes it or one of its routes unusable.
type ConfigError struct {
	Route  string
	Field  string
	Value  string
	Reason string
}

// Error formats the error as `route "name": field: "value" reason`, without the route if the value is of none.
func (e *ConfigError) Error() string {
	if e.Route == "" {
		return fmt.Sprintf("%s: %q %s", e.Field, e.Value, e.Reason)
	}
	return fmt.Sprintf("route %q: %s: %q %s", e.Route, e.Field, e.Value, e.Reason)
}

// Check returns the errors of the configuration, ordered by host.
func (c *Config) Check() []*ConfigError {
	var errs []*ConfigError
	if c.Version <= 0 {
		errs = append(errs, &ConfigError{Field: "version", Value: strconv.FormatInt(c.Version, 10), Reason: "is not positive"})
	}
	if len(c.RoutesByHost) == 0 {
		errs = append(errs, &ConfigError{Field: "routes", Reason: "is empty"})
	}
	errs = append(errs, c.Limits.check()...)
	for _, name := range sortedKeys(c.Services) {
		errs = append(errs, c.Services[name].check()...)
	}
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
	if r.LatencyObjective < 0 {
		errs = append(errs, r.configError("latency objective", r.LatencyObjective.String(), "is negative"))
	}
	if r.MaxEventGap < 0 {
		errs = append(errs, r.configError("event gap", r.MaxEventGap.String(), "is negative"))
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

func (v Service) check() []*ConfigError {
	var errs []*ConfigError
	if v.MaxConnections < 0 {
		errs = append(errs, &ConfigError{Field: "connections of " + v.Name, Value: strconv.Itoa(v.MaxConnections), Reason: "is negative"})
	}
	if v.ColdRate < 0 {
		errs = append(errs, &ConfigError{Field: "cold rate of " + v.Name, Value: strconv.FormatFloat(v.ColdRate, 'g', -1, 64), Reason: "is negative"})
	}
	return errs
}

func (l *Limits) check() []*ConfigError {
	var errs []*ConfigError
	for _, limit := range []struct {
		name  string
		value int64
	}{
		{"header bytes", int64(l.MaxHeaderBytes)},
		{"body bytes", int64(l.MaxBodyBytes)},
		{"header timeout", int64(l.HeaderTimeout)},
		{"idle timeout", int64(l.IdleTimeout)},
	} {
		if limit.value < 0 {
			errs = append(errs, &ConfigError{Field: limit.name, Value: strconv.FormatInt(limit.value, 10), Reason: "is negative"})
		}
	}
	return errs
}
