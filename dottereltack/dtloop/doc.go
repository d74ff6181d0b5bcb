// Package dtloop runs a reducer on a single goroutine that owns its state.
package dtloop
