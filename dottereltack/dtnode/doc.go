// Package dtnode assembles a router that sends requests directly to backend servers
// from the reducer's loop, the HTTP relay, the links to peers and the log.
package dtnode
