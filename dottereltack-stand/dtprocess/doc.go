// Package dtprocess reads from the kernel what another process holds: memory, bytes that its sockets have received and it
// has not read, and open descriptors. It is for tests on Linux.
package dtprocess
