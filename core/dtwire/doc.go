// Package dtwire encodes the messages between routers as length-prefixed msgpack
// frames and authenticates each new connection with a shared key.
package dtwire
