// Package dtserver is the HTTP client for backend servers. It manages its connections
// itself, because an HTTP client library may retry a request or return a response to
// the wrong request.
package dtserver
