// Package dtsocket gives access to TCP socket options and state that the net package
// does not expose.
package dtsocket
