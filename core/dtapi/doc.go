// Package dtapi defines the JSON bodies, headers and paths of the HTTP APIs for callers,
// of backend servers and of the platform.
package dtapi
