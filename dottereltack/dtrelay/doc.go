// Package dtrelay forwards requests and responses between callers and backend servers
// over HTTP/1.1. It makes no decisions: it posts events to the reducer and carries out
// the effects that the reducer returns.
package dtrelay
