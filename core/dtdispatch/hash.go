package dtdispatch

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Mix combines two hashes into one with the finalizer of SplitMix64.
func Mix(a, b uint64) uint64 {
	x := a ^ (b*0x9e3779b97f4a7c15 + 0x7f4a7c159e3779b9)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// HashString returns a hash of s that is identical on all routers.
func HashString(s string) uint64 { return xxhash.Sum64String(s) }

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
