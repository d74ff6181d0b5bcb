// Package dtfleet runs real routers, with a simulated platform and simulated backend
// servers, as processes on loopback and injects faults into them. Tests, measurements
// and the demonstration use it.
package dtfleet
