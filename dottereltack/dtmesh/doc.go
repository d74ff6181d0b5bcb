// Package dtmesh exchanges control messages between routers that send requests directly
// to backend servers. Messages are msgpack in length-prefixed frames over TCP.
package dtmesh
