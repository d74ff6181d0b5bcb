// Package dtnode implements a router that sends requests directly to backend servers. It
// combines the reducer's loop, the HTTP relay, the links to peers and the log.
package dtnode
