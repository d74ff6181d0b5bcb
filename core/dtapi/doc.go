// Package dtapi defines the JSON bodies, headers and paths that callers, backend
// servers, the platform and operators exchange with the fleet over HTTP.
package dtapi
