// Package dtstand runs the simulated systems around the fleet in one process, with an
// admin interface through which a test or a demonstration injects faults.
package dtstand
