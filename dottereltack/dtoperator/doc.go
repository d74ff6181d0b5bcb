// Package dtoperator serves a router's HTTP API for operators, which reports its status,
// timeline and pending refusals and switches failure domains out of and into service.
package dtoperator
