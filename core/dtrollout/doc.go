// Package dtrollout decides how far a roll-out may go: how many of a service's requests the servers of a
// new software version get, whether that version is bad, and when all traffic has moved to it. It counts
// for one router, merges the counts of the others, and takes the present time as an argument. Two routers
// with the same counts and the same order reach the same decision.
package dtrollout
