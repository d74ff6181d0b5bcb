package dtstate

import (
	"github.com/cespare/xxhash/v2"
)

// RouterID identifies a router in the fleet.
type RouterID string

// ServerID identifies a backend server in the fleet.
type ServerID string

// FailureDomain names a set of hosts that may fail or become unreachable together.
type FailureDomain string

// Region names a set of failure domains that are close to each other.
type Region string

// ClientAccount names the account that a caller's key belongs to.
type ClientAccount string

// RequestID identifies a request in the fleet.
type RequestID string

// HashString returns the 64-bit xxHash of the parts, each terminated by a zero byte.
func HashString(parts ...string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, p := range parts {
		_, _ = d.WriteString(p)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// mix distributes the bits of x over the result (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
