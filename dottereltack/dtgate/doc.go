// Package dtgate is the HTTP API for callers. It authenticates requests, posts them to
// the reducer as events, and relays the responses. The reducer decides where a request
// runs.
package dtgate
