// Package dtcommand implements the command line, which runs a router and operates a fleet
// of them.
package dtcommand
