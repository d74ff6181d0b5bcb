// Package dtadmission decides who goes first when the servers of a service have no room: the order of the requests that
// wait at one router, which of them are shed, whether this router may start one, and when refused callers are to return.
// All decisions are pure; the present time is an argument.
package dtadmission
