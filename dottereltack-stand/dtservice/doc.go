// Package dtservice simulates a backend service that counts the runs of its calls by
// idempotency key.
package dtservice
