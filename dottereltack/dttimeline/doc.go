// Package dttimeline keeps a bounded ring of a process's events with hybrid logical
// timestamps, so that the events of several processes can be merged in causal order.
package dttimeline
