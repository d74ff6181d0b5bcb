// Package dthead reads the heads of HTTP/1 responses by RFC 9112, and accepts only those that every recipient parses the same way:
// a server in trouble may send bytes of which one parser makes another response than the next. Its syntax is that of requests, too.
package dthead
