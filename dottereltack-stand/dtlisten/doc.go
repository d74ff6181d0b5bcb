// Package dtlisten provides an HTTP server that can reset all its connections at once and
// restart later, to simulate the crash and restart of a host.
package dtlisten
