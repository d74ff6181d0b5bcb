// Package dtfleet runs a fleet of real routers and of stand-ins for the platform and the
// backend servers as processes on loopback, and injects faults into it. Tests,
// measurements and the demonstration use it.
package dtfleet
