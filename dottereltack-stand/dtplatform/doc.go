// Package dtplatform simulates the platform: a key-value service with compare-and-swap,
// expiry and watches, and a list of hosts that lags behind. It enforces rate limits and
// injects faults: outages, slow responses, and responses lost after the write took effect.
package dtplatform
