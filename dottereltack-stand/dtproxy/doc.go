// Package dtproxy provides a TCP proxy that injects network faults: delays, resets, data
// loss in one direction or both, and blackholed connections, which stay open without traffic.
package dtproxy
