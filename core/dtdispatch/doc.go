// Package dtdispatch is the reducer of a router that sends requests directly to
// backend servers. It decides where each request runs, whether it may be retried
// and which response its caller gets. State.Step takes an event and the current
// time and returns effects as data.
package dtdispatch
