// Package dtservice simulates a backend service that counts the executions of its calls by
// idempotency key.
package dtservice
