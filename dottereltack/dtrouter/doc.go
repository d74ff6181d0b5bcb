// Package dtrouter runs a router: a single goroutine owns the reducer's state, and other
// goroutines carry traffic and perform the effects that wait for the network.
package dtrouter
