// Package dtengine simulates a model engine: continuous batching with a fixed number of
// slots, a prefix cache of limited size, cold starts, stale load reports, resumption and
// cancellation of streams, fencing, and requests that crash the engine.
package dtengine
