// Package dttunnel carries connections to backend servers by way of another router: it opens them, copies their bytes and
// keeps the ends of a server's side and of the link between the routers apart.
package dttunnel
