// Package dtcapacity estimates what backend servers can take: how much longer than usual work takes at a server, when a
// request would start there, and how many requests a server bears that has just started or recovered. It has no I/O and
// knows nothing of routers and requests; the present time is an argument.
package dtcapacity
