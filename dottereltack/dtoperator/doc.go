// Package dtoperator serves the HTTP API of a router for operators: its status,
// timeline and refusals, and taking failure domains out of service and back.
package dtoperator
