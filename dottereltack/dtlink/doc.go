// Package dtlink exchanges messages between routers over TCP. Each peer has its own
// queue and goroutine, so a slow peer does not delay the others.
package dtlink
