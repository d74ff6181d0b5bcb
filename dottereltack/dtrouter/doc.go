// Package dtrouter runs a router: a single goroutine owns the reducer's state and
// passes its effects to the goroutines that carry traffic.
package dtrouter
